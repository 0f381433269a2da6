/**
 * Follows the fleet in the platform's store: it reads one listing and then the changes after it. It
 * continues through outages, compacted watch history and a store that rejects this VM; the last
 * known state of the fleet remains in use meanwhile.
 */
import { setImmediate as nextLoopTurn } from 'node:timers/promises';
import {
  type Failure,
  type FleetChange,
  FleetChangeKind,
  type FleetView,
  type PollIntervalOptions,
  type Random,
  admitDoubtedTargets,
  applyChanges,
  applyListing,
  createPollInterval,
  createStoreContact,
  describeRevision,
  eraOf,
  latestGraceEndMs,
  recordCallAnswered,
  recordCallLost,
  recordStoreAnswer,
  pauseAfterFailureMs,
  pauseAfterAnswerMs,
  removeMissingTargets,
  watchLimits,
} from '@cassiamast/coordination';
import {
  type InvalidEntry,
  FLEET_HISTORY_GONE,
  type FleetPort,
  type FleetChangeBatch,
  KEY_VALUE_REFUSED,
} from '@cassiamast/ports';
import type { Result } from 'neverthrow';
import { withResolvers } from '../node/promises.js';
import type { Child } from '../supervisor/supervisor.js';
import type { BeginCall } from './gateway-count.js';
import type { GatewayLog } from './gateway-log.js';

/** The wait of a call for changes up to now. */
const NO_WAIT_MS = 1;
const READ_NOW_TIMEOUT_MS = 1000;
/** Time limit of a listing, which takes one or more pages. */
const LISTING_TIMEOUT_MS = 1500;
/**
 * Gateways spread over this time what they write again after the store came back from an older copy,
 * since each of them knows the same and only the first write is needed.
 */
const REWRITE_SPREAD_MS = 1000;
/** Maximum number of invalid entries remembered as logged; beyond it, entries are logged again. */
const MAX_LOGGED_FAULTS = 256;

/** Dependencies of the follower. */
export interface FleetFollowerOptions {
  readonly fleet: FleetPort;
  readonly view: FleetView;
  readonly pace: PollIntervalOptions;
  readonly random: Random;
  readonly nowMs: () => number;
  readonly sleep: (delayMs: number, signal?: AbortSignal) => Promise<unknown>;
  readonly log: GatewayLog;
  readonly count: (name: string) => void;
  /**
   * Awaited before the first listing. Without it, gateways that start together would see each
   * other's announcements from before the restart, and several would schedule the same engines.
   */
  readonly beforeFirstListing: () => Promise<unknown>;
  /** Called when a read begins; its result is called when the answer was applied. */
  readonly beginRead: BeginCall;
  /** Called for each gateway whose announcement was read. */
  readonly onGateway: (id: string) => void;
  /** Called when the store has come back from an older copy of itself. */
  readonly onRestored: () => void;
  readonly onChanged: () => void;
}

/** A call to the store whose answer may arrive after its timeout, when another call was made. */
interface PendingRead {
  readonly isListing: boolean;
  /** The revision that was known when the call was made. */
  readonly afterRevision: number;
  readonly startedAtMs: number;
  readonly timeoutMs: number;
  readonly reading: PromiseLike<Result<FleetChangeBatch, Failure>>;
  readonly confirmRead: () => void;
}

/** Follows the fleet. */
export interface FleetFollower {
  readonly child: Child;
  /** Applies all changes up to now; resolves with whether the store has answered. */
  readonly readChanges: () => Promise<boolean>;
}

/** Creates the follower. */
export function createFleetFollower(options: FleetFollowerOptions): FleetFollower {
  const { fleet, view, nowMs, sleep, log, random } = options;
  const pace = createPollInterval(options.pace);
  const watch = watchLimits(options.pace);
  const contact = createStoreContact(nowMs());
  let stopped = true;
  let isStoreLost = false;
  let needsListing = true;
  /** Number of listings since the last answer with changes. */
  let listingsInARow = 0;
  /** Ends the wait for the answer to the pending call. */
  let interruptWait: () => void = () => undefined;
  const loggedFaults = new Set<string>();

  const knownRevision = (): string => describeRevision(view.revision);

  function noteStoreLost({ startedAtMs }: PendingRead, cause: string): void {
    if (!isStoreLost) log.warn('store lost', { cause, revision: knownRevision() });
    isStoreLost = true;
    recordCallLost(contact, startedAtMs);
  }

  function noteStoreRegained(pauseMs: number): void {
    const atMs = nowMs();
    const silentForMs = Math.round(atMs - contact.answeredAtMs);
    recordStoreAnswer(
      view,
      atMs,
      pauseMs + watch.waitMs,
      latestGraceEndMs(contact, options.pace.contactMs),
    );
    recordCallAnswered(contact, atMs);
    if (!isStoreLost) return;
    isStoreLost = false;
    const graceMs = Math.max(0, Math.round(view.graceUntilMs - atMs));
    log.info('store regained', { revision: knownRevision(), silentForMs, graceMs });
  }

  /** Returns whether the store has come back from an older copy since the last answer. */
  function isRestored({ revision }: FleetChangeBatch): boolean {
    return view.revision > 0 && eraOf(revision) > eraOf(view.revision);
  }

  function logRestore({ revision }: FleetChangeBatch): void {
    options.count('store_restores_total');
    log.lifecycle('store came back from an older copy', {
      revision: describeRevision(revision),
      before: describeRevision(view.revision),
    });
  }

  /** Logs an invalid entry once, since its writer may write it again with each heartbeat. */
  function recordFault({ key }: InvalidEntry): void {
    options.count('fleet_entries_ignored_total');
    if (loggedFaults.has(key)) return;
    if (loggedFaults.size >= MAX_LOGGED_FAULTS) loggedFaults.clear();
    loggedFaults.add(key);
    log.warn('entry ignored', { key, reason: 'fields missing, of another type, or not readable' });
  }

  function logTargetRestart(change: FleetChange): void {
    if (change.kind !== FleetChangeKind.Target) return;
    const { id, name } = change.target;
    const before = view.idsByName.get(name);
    if (before === undefined || before === id) return;
    const revision = describeRevision(change.revision);
    log.info('target started again', { target: id, before, revision });
  }

  /** Applies an answer, after which the store is not called for `pauseMs`. */
  function applyReading(batch: FleetChangeBatch, isListing: boolean, pauseMs: number): void {
    noteStoreRegained(pauseMs);
    applyBatch(batch, isListing);
  }

  function applyBatch(batch: FleetChangeBatch, isListing: boolean): void {
    const { changes, faults, revision } = batch;
    const restored = isRestored(batch);
    if (restored) logRestore(batch);
    const rewriteAtMs = nowMs() + random() * REWRITE_SPREAD_MS;
    for (const fault of faults) recordFault(fault);
    const versionBefore = view.table?.configuration.version ?? 0;
    for (const change of changes) {
      logTargetRestart(change);
      if (change.kind === FleetChangeKind.Gateway) options.onGateway(change.gateway.id);
    }
    if (isListing)
      applyListing(view, changes, revision, nowMs(), restored ? { rewriteAtMs } : null);
    else applyChanges(view, changes, revision, nowMs());
    if (isListing) needsListing = false;
    listingsInARow = isListing ? listingsInARow + 1 : 0;
    if (restored) options.onRestored();
    const version = view.table?.configuration.version ?? 0;
    if (version !== versionBefore)
      log.info('configuration in force', { version, revision: knownRevision() });
    options.onChanged();
  }

  function startRead(): PendingRead {
    const afterRevision = view.revision;
    const confirmRead = options.beginRead();
    const begun = { afterRevision, startedAtMs: nowMs(), confirmRead };
    return needsListing
      ? { ...begun, isListing: true, timeoutMs: LISTING_TIMEOUT_MS, reading: fleet.list() }
      : {
          ...begun,
          isListing: false,
          timeoutMs: watch.timeoutMs,
          reading: fleet.changesAfter(afterRevision, watch.waitMs),
        };
  }

  /**
   * Applies an answer that arrives after its timeout, unless it is older than the current view. If
   * late answers were discarded, gateways would never start to serve while the store answers each
   * call later than they wait, and their repeated listings would add to the store's load.
   */
  async function applyLateReading({
    isListing,
    afterRevision,
    reading,
    confirmRead,
  }: PendingRead): Promise<void> {
    const late = await reading;
    if (stopped) return;
    if (late.isErr()) {
      const isCurrent = !needsListing && afterRevision === view.revision;
      if (isCurrent && relistIfHistoryGone(late.error)) interruptWait();
      return;
    }
    if (late.value.revision < view.revision) return;
    options.count('store_late_answers_total');
    // The connection was not silent: the store was slow.
    recordCallAnswered(contact, nowMs());
    applyReading(late.value, isListing, 0);
    confirmRead();
  }

  /** Requests a new listing if the store no longer has the changes after the known revision. */
  function relistIfHistoryGone(failure: Failure): boolean {
    if (!FLEET_HISTORY_GONE.is(failure)) return false;
    log.warn('fleet listed again', { cause: failure.message, revision: knownRevision() });
    needsListing = true;
    return true;
  }

  /** Makes one call and applies its answer. Returns the pause before the next call, in ms. */
  async function readOnce(): Promise<number> {
    const read = startRead();
    const interrupted = withResolvers<null>();
    interruptWait = () => {
      interrupted.resolve(null);
    };
    const inTime = withTimeout(read.reading, read.timeoutMs);
    const answer = await Promise.race([inTime, interrupted.promise]);
    if (stopped) return 0;
    if (answer === null && needsListing && !read.isListing) return 0;
    if (answer === null) {
      noteStoreLost(read, `no answer within ${String(read.timeoutMs)} ms`);
      fleet.renewConnections();
      void applyLateReading(read);
      return pauseAfterFailureMs(pace, random);
    }
    if (answer.isErr()) {
      // A history that is gone right after a listing may be gone after the next one as well.
      if (relistIfHistoryGone(answer.error)) {
        return listingsInARow > 1 ? pauseAfterFailureMs(pace, random) : 0;
      }
      noteStoreLost(read, answer.error.message);
      if (!KEY_VALUE_REFUSED.is(answer.error)) fleet.renewConnections();
      return pauseAfterFailureMs(pace, random);
    }
    const settledPauseMs = pauseAfterAnswerMs(pace, nowMs());
    const pauseMs = read.isListing ? 0 : settledPauseMs;
    applyReading(answer.value, read.isListing, pauseMs);
    read.confirmRead();
    return pauseMs;
  }

  async function poll(): Promise<void> {
    const pauseMs = await readOnce();
    removeMissingTargets(view, nowMs());
    admitDoubtedTargets(view, nowMs());
    await sleep(pauseMs);
  }

  async function readChanges(): Promise<boolean> {
    if (needsListing) return false;
    const answer = await withTimeout(
      fleet.changesAfter(view.revision, NO_WAIT_MS),
      READ_NOW_TIMEOUT_MS,
    );
    if (stopped || answer === null || answer.isErr()) return false;
    // When the store answers next is counted from the calls in series alone.
    if (answer.value.revision >= view.revision) applyBatch(answer.value, false);
    return true;
  }

  const child: Child = {
    name: 'fleet-follower',
    start: () => {
      stopped = false;
      void (async () => {
        await options.beforeFirstListing();
        while (!stopped) await poll();
      })();
      return Promise.resolve();
    },
    stop: () => {
      stopped = true;
      return Promise.resolve();
    },
  };
  return { child, readChanges };

  /**
   * Resolves with the answer, or with null after the timeout. The timeout takes effect one event loop
   * turn late, so an answer that has already been received is still processed.
   */
  async function withTimeout<Answer>(
    answer: PromiseLike<Answer>,
    timeoutMs: number,
  ): Promise<Answer | null> {
    const timer = new AbortController();
    const over = sleep(timeoutMs, timer.signal).then(
      () => nextLoopTurn(null),
      () => null,
    );
    const first = await Promise.race([answer, over]);
    timer.abort();
    return first;
  }
}
