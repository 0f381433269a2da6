/**
 * Follows the fleet in the platform's store: one listing, then the changes after it, through
 * outages, dropped history and a store that turns this VM away. Whatever it last knew stays in
 * force meanwhile.
 */
import { setImmediate as turnLoop, setTimeout as sleep } from 'node:timers/promises';
import {
  type Failure,
  type FleetChange,
  FleetChangeKind,
  type FleetView,
  type NewsPaceOptions,
  type Random,
  applyChanges,
  applyListing,
  createNewsPace,
  noteStoreAnswer,
  pauseAfterFailureMs,
  pauseAfterNewsMs,
  settleDoubts,
} from '@cassiamast/coordination';
import {
  type EntryFault,
  FLEET_HISTORY_GONE,
  type FleetPort,
  type FleetReading,
} from '@cassiamast/ports';
import type { Result } from 'neverthrow';
import { withResolvers } from '../node/http-body.js';
import type { Child } from '../supervisor/supervisor.js';
import type { GatewayLog } from './gateway-log.js';

/** Longest wait of one question for changes: short, so that a silent connection is noticed. */
const WATCH_WAIT_MS = 1500;
/** A question that is not answered so long after it could be is asked anew. */
const PATIENCE_MS = 1000;
/** A listing is a page or more. */
const LISTING_PATIENCE_MS = 1500;
/** Entries of other writers that are remembered as logged; more of them are logged again. */
const MAX_LOGGED_FAULTS = 256;

/** What the follower needs. */
export interface FleetFollowerOptions {
  readonly fleet: FleetPort;
  readonly view: FleetView;
  readonly pace: NewsPaceOptions;
  readonly random: Random;
  readonly nowMs: () => number;
  readonly log: GatewayLog;
  readonly count: (name: string) => void;
  /**
   * Waited for before the first listing. Guards against gateways that start together and each see
   * the others' announcements of before: it shows as several schedulers for the same engines.
   */
  readonly beforeFirstListing: () => Promise<unknown>;
  readonly onChanged: () => void;
}

/** A question to the store whose answer may come after it was asked anew. */
interface Question {
  readonly isListing: boolean;
  /** The revision that was known when it was asked. */
  readonly afterRevision: number;
  readonly patienceMs: number;
  readonly reading: PromiseLike<Result<FleetReading, Failure>>;
}

/** Makes the follower. */
export function createFleetFollower(options: FleetFollowerOptions): Child {
  const { fleet, view, nowMs, log, random } = options;
  const pace = createNewsPace(options.pace);
  let stopped = true;
  let isAway = false;
  let needsListing = true;
  /** Ends the wait for the answer to the question under way. */
  let askAnew: () => void = () => undefined;
  const loggedFaults = new Set<string>();

  function noteAway(cause: string): void {
    if (!isAway) log.warn('store lost', { cause, revision: view.revision });
    isAway = true;
  }

  function noteBack(): void {
    noteStoreAnswer(view, nowMs());
    if (isAway) log.info('store regained', { revision: view.revision });
    isAway = false;
  }

  /** Such an entry may be written again with each heartbeat of its writer: logged once. */
  function noteFault({ key }: EntryFault): void {
    options.count('fleet_entries_ignored_total');
    if (loggedFaults.has(key)) return;
    if (loggedFaults.size >= MAX_LOGGED_FAULTS) loggedFaults.clear();
    loggedFaults.add(key);
    log.warn('entry ignored', { key, reason: 'fields missing, of another type, or not readable' });
  }

  function noteNewStart(change: FleetChange): void {
    if (change.kind !== FleetChangeKind.Target) return;
    const { id, name } = change.target;
    const before = view.idsByName.get(name);
    if (before === undefined || before === id) return;
    log.info('target started again', { target: id, before, revision: change.revision });
  }

  function take({ changes, faults, revision }: FleetReading, isListing: boolean): void {
    noteBack();
    for (const fault of faults) noteFault(fault);
    const versionBefore = view.table?.configuration.version ?? 0;
    for (const change of changes) noteNewStart(change);
    if (isListing) applyListing(view, changes, revision, nowMs());
    else applyChanges(view, changes, revision, nowMs());
    if (isListing) needsListing = false;
    const version = view.table?.configuration.version ?? 0;
    if (version !== versionBefore) log.info('configuration in force', { version, revision });
    options.onChanged();
  }

  function ask(): Question {
    const afterRevision = view.revision;
    return needsListing
      ? { isListing: true, afterRevision, patienceMs: LISTING_PATIENCE_MS, reading: fleet.list() }
      : {
          isListing: false,
          afterRevision,
          patienceMs: WATCH_WAIT_MS + PATIENCE_MS,
          reading: fleet.changesAfter(afterRevision, WATCH_WAIT_MS),
        };
  }

  /**
   * Takes an answer that comes after its question was asked anew. Guards against a store that answers
   * each question later than a gateway waits: it shows as gateways that start and never serve, and
   * feed the store's load with listings that are all thrown away. An answer that is older than what
   * has come since is of no use.
   */
  async function takeLate({ isListing, afterRevision, reading }: Question): Promise<void> {
    const late = await reading;
    if (stopped) return;
    if (late.isErr()) {
      const isNews = !needsListing && afterRevision === view.revision;
      if (isNews && noteIfHistoryGone(late.error)) askAnew();
      return;
    }
    if (late.value.revision < view.revision) return;
    options.count('store_late_answers_total');
    take(late.value, isListing);
  }

  /** What is missing then can only be listed. */
  function noteIfHistoryGone(failure: Failure): boolean {
    if (!FLEET_HISTORY_GONE.is(failure)) return false;
    log.warn('fleet listed anew', { cause: failure.message, revision: view.revision });
    needsListing = true;
    return true;
  }

  /** Asks once; gives the pause before the next question. */
  async function askOnce(): Promise<number> {
    const question = ask();
    const wokenEarly = withResolvers<null>();
    askAnew = () => {
      wokenEarly.resolve(null);
    };
    const inTime = within(question.reading, question.patienceMs);
    const answer = await Promise.race([inTime, wokenEarly.promise]);
    if (answer === null && needsListing && !question.isListing) return 0;
    if (answer === null) {
      noteAway(`no answer within ${String(question.patienceMs)} ms`);
      void takeLate(question);
      return pauseAfterFailureMs(pace, random);
    }
    if (answer.isErr()) {
      if (noteIfHistoryGone(answer.error)) return 0;
      noteAway(answer.error.message);
      return pauseAfterFailureMs(pace, random);
    }
    take(answer.value, question.isListing);
    const pauseMs = pauseAfterNewsMs(pace, nowMs());
    return question.isListing ? 0 : pauseMs;
  }

  async function turn(): Promise<void> {
    const pauseMs = await askOnce();
    settleDoubts(view, nowMs());
    await sleep(pauseMs);
  }

  return {
    name: 'fleet-follower',
    start: () => {
      stopped = false;
      void (async () => {
        await options.beforeFirstListing();
        while (!stopped) await turn();
      })();
      return Promise.resolve();
    },
    stop: () => {
      stopped = true;
      return Promise.resolve();
    },
  };
}

/** The answer, or null where it does not come in time; what has come in by then is read first. */
async function within<Answer>(
  answer: PromiseLike<Answer>,
  timeoutMs: number,
): Promise<Answer | null> {
  const timer = new AbortController();
  const over = sleep(timeoutMs, null, { signal: timer.signal }).then(
    () => turnLoop(null),
    () => null,
  );
  const first = await Promise.race([answer, over]);
  timer.abort();
  return first;
}
