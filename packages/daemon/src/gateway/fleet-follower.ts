/**
 * Follows the fleet in the platform's store: one listing, then the changes after it, through
 * outages, dropped history and a store that turns this VM away. Whatever it last knew stays in
 * force meanwhile.
 */
import { setTimeout as sleep } from 'node:timers/promises';
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
import type { Child } from '../supervisor/supervisor.js';
import type { GatewayLog } from './gateway-log.js';

/** Longest wait of one question for changes: short, so that a silent connection is noticed. */
const WATCH_WAIT_MS = 1500;
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

/** Makes the follower. */
export function createFleetFollower(options: FleetFollowerOptions): Child {
  const { fleet, view, nowMs, log, random } = options;
  const pace = createNewsPace(options.pace);
  let stopped = true;
  let isAway = false;
  const loggedFaults = new Set<string>();

  function noteAway(failure: Failure): void {
    if (!isAway) {
      log.warn('store lost', { cause: failure.message, revision: view.revision });
    }
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

  function take(
    reading: Result<FleetReading, Failure>,
    apply: typeof applyChanges,
  ): Failure | null {
    if (reading.isErr()) return reading.error;
    noteBack();
    const { changes, faults, revision } = reading.value;
    for (const fault of faults) noteFault(fault);
    const versionBefore = view.table?.configuration.version ?? 0;
    for (const change of changes) noteNewStart(change);
    apply(view, changes, revision, nowMs());
    const version = view.table?.configuration.version ?? 0;
    if (version !== versionBefore) log.info('configuration in force', { version, revision });
    options.onChanged();
    return null;
  }

  async function turn(): Promise<void> {
    const isListing = view.revision === 0;
    const failure = isListing
      ? take(await fleet.list(), applyListing)
      : take(await fleet.changesAfter(view.revision, WATCH_WAIT_MS), applyChanges);
    settleDoubts(view, nowMs());
    if (failure === null) {
      const pauseMs = pauseAfterNewsMs(pace, nowMs());
      await sleep(isListing ? 0 : pauseMs);
      return;
    }
    if (FLEET_HISTORY_GONE.is(failure)) {
      log.warn('fleet listed anew', { cause: failure.message, revision: view.revision });
      const listed = take(await fleet.list(), applyListing);
      if (listed === null) return;
    }
    noteAway(failure);
    await sleep(pauseAfterFailureMs(pace, random));
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
