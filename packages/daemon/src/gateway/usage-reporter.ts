/**
 * Reports the usage of each window to the platform, from one gateway at a time. The counts of a
 * window are fixed in the store before they are sent, under the lease of the one that fixes them, so
 * that whoever repeats a report sends the very same counts. They are sent once the other gateways have
 * acknowledged them or have read them there, as the store may come back from an older copy without
 * them.
 */
import {
  type FleetView,
  type Random,
  UNACKNOWLEDGED_AFTER_RENEWAL_MS,
  type UsageCounts,
  type UsageGuards,
  eraOf,
  trueTimeMs,
  usageWindowAt,
} from '@cassiamast/coordination';
import type { DutyPort, LeaseStore } from '@cassiamast/ports';
import { createPeriodic } from '../node/timers.js';
import type { Child } from '../supervisor/supervisor.js';
import type { GatewayLog } from './gateway-log.js';
import type { RpcClient } from '../node/rpc-client.js';
import type { RecentGateways } from './recent-gateways.js';
import { createUsageAcknowledgements } from './usage-acknowledgements.js';
import type { UsageCollector } from './usage-collector.js';
import type { UsageEvidenceCollector } from './usage-evidence.js';
import { FixingOutcome, createUsageFixing } from './usage-fixing.js';
import { type UsageHistory, createUsageHistory } from './usage-history.js';
import { USAGE_LEASE_KEY, createUsageLease } from './usage-lease.js';
import type { UsageMeter } from './usage-meter.js';
import { createUsageRounds } from './usage-rounds.js';

const TICK_MS = 100;
/** Pause after a call to the store or to the platform that failed. */
const RETRY_PAUSE_MS = 500;
/** A report is sent this long before it is due, though some gateways may not know its counts yet. */
export const LAST_SEND_MS = 1500;

/** The counts of a window that are fixed in the store. */
interface FixedCounts {
  readonly counts: UsageCounts;
  /** From then on all gateways have read them in the store. */
  readonly readByAllAtMs: number;
}

/** What the operators ask of reports. */
export interface UsageSettings {
  readonly windowMs: number;
  /** A report is due this long after the end of its window. */
  readonly dueMs: number;
}

/** Dependencies of the reporter. */
export interface UsageReporterOptions {
  readonly selfId: string;
  /** The name under which this gateway makes calls to the platform. */
  readonly name: string;
  readonly settings: UsageSettings;
  /** Time within which all gateways have read a change of the store. */
  readonly maxUpdateDelayMs: number;
  readonly duties: DutyPort;
  readonly store: LeaseStore;
  readonly view: Pick<FleetView, 'fixedUsage' | 'gateways' | 'revision'>;
  readonly recent: Pick<RecentGateways, 'others'>;
  readonly rpc: Pick<RpcClient, 'call'>;
  readonly meter: UsageMeter;
  readonly collector: UsageCollector;
  readonly evidence: UsageEvidenceCollector;
  /** Whether this gateway may become the reporter. */
  readonly isCandidate: () => boolean;
  readonly gatewayCount: () => number;
  readonly random: Random;
  /** A clock that includes the time during which the VM is suspended. */
  readonly elapsedMs: () => number;
  readonly nowMs: () => number;
  readonly sleep: (forMs: number) => Promise<unknown>;
  readonly log: GatewayLog;
  readonly count: (name: string) => void;
  readonly guards: UsageGuards;
}

/** The reporter of one gateway. */
export interface UsageReporter {
  readonly child: Child;
  /** Returns whether nobody else can have fixed counts since this gateway gained the lease. */
  readonly isOnlyFixer: () => boolean;
  /** Must be called when the store has come back from an older copy. */
  readonly noteRestored: () => void;
  readonly close: () => void;
}

/** Creates the reporter. */
export function createUsageReporter(options: UsageReporterOptions): UsageReporter {
  const { settings, duties, meter, collector, evidence, log, nowMs, count, guards } = options;
  const { windowMs, dueMs } = settings;
  const reported = new Set<number>();
  const startedAtMs = nowMs();
  /** Windows that are left out unless their counts become known. */
  const leftOut = new Set<number>();
  /** Fixed counts of windows that are not reported yet. */
  const unreported = new Map<number, FixedCounts>();
  /** Times before which windows are not tried again after a failed call. */
  const retryAtMs = new Map<number, number>();
  const lease = createUsageLease({
    ...options,
    lastReadAtMs: meter.lastReadAtMs,
    onGained: (earlierSendsUntilMs, isRegained) => {
      noteEra(eraOf(lease.state.fence), isRegained);
      evidence.noteGained(earlierSendsUntilMs, isRegained);
      rounds.restart(earlierSendsUntilMs);
    },
    onLost: (eraBegun) => {
      if (eraBegun !== null) noteEra(eraBegun, true);
      unreported.clear();
      acknowledgements.forgetAll();
    },
  });

  const nowTrueMs = (): number => trueTimeMs(meter.time, nowMs());
  const endOf = (window: number): number => (window + 1) * windowMs;
  const endMonotonicMs = (window: number): number => endOf(window) - meter.time.offsetMs;

  const firstOpenWindow = (): number => usageWindowAt(nowTrueMs() - dueMs, windowMs) - 1;

  /** Returns the windows that are over, whose reports are not done and not long overdue. */
  function openWindows(): readonly number[] {
    const current = usageWindowAt(nowTrueMs(), windowMs);
    const windows: number[] = [];
    for (let window = firstOpenWindow(); window < current; window += 1) {
      if (!reported.has(window)) windows.push(window);
    }
    return windows;
  }

  const acknowledgements = createUsageAcknowledgements({
    ...options,
    readings: collector.readings,
  });
  const rounds = createUsageRounds({
    ...options,
    fence: () => (lease.holds() ? lease.state.fence : null),
    openWindows,
    endMs: endMonotonicMs,
    currentWindow: () => usageWindowAt(nowTrueMs(), windowMs),
  });
  const fixCounts = createUsageFixing({
    ...options,
    leaseKey: USAGE_LEASE_KEY,
    total: collector.total,
    isUnreported: (window) =>
      !guards.leavesOutUncertain || evidence.isUnreported(window, endMonotonicMs(window)),
  });
  const history: UsageHistory = createUsageHistory({
    ...options,
    fixedUsage: options.view.fixedUsage,
    windowAt: (atMs) => usageWindowAt(trueTimeMs(meter.time, atMs), windowMs),
    firstOpenWindow,
    isTimeKnown: meter.isTimeCompared,
  });

  function noteEra(era: number, isOnlyFixer?: boolean): void {
    const isRestored = evidence.noteEra(era, isOnlyFixer);
    if (isRestored && guards.writesLostCounts) void history.restore();
  }

  function noteEraOfView(): void {
    const { revision } = options.view;
    if (revision > 0) noteEra(eraOf(revision));
  }

  function retryLater(window: number): void {
    retryAtMs.set(window, nowMs() + RETRY_PAUSE_MS);
  }

  function withhold(window: number, knownBy: string): void {
    log.warn('usage not reported, it was fixed twice', { window, knownBy });
    reported.add(window);
    unreported.delete(window);
  }

  /** Puts a window off whose counts the store may have lost after they were reported. */
  function leaveOut(window: number): void {
    retryLater(window);
    if (leftOut.has(window)) return;
    leftOut.add(window);
    count('usage_reports_left_out_total');
    log.warn('usage left out, it may have been reported', { window, ...evidence.describe() });
  }

  /** Resolves with the counts that are fixed in the store; null if they must not be reported. */
  async function fix(window: number): Promise<FixedCounts | null> {
    const { fence } = lease.state;
    const missing = rounds.missing(window);
    if (!evidence.isHistoryKnown()) await history.read();
    const fixing = await fixCounts(window, fence);
    if (fixing.outcome === FixingOutcome.Uncertain) {
      leaveOut(window);
      return null;
    }
    if (fixing.outcome === FixingOutcome.NotFixed) {
      log.warn('usage not fixed', { window, cause: fixing.cause });
      retryLater(window);
      return null;
    }
    if (fixing.outcome === FixingOutcome.Contradicted) {
      withhold(window, options.selfId);
      return null;
    }
    const { outcome, counts } = fixing;
    const afterMs = Math.round(nowTrueMs() - endOf(window));
    const gateways = options.gatewayCount();
    const era = eraOf(lease.state.fence);
    const ranAtEnd = startedAtMs <= endMonotonicMs(window);
    log.info('usage fixed', { window, outcome, era, ranAtEnd, gateways, missing, afterMs });
    // An answer that comes after the lease was lost says nothing about the next one.
    if (!lease.holds() || lease.state.fence !== fence) return null;
    const waitMs = outcome === FixingOutcome.FixedEarlier ? 0 : waitUntilReadMs(window);
    const fixed = { counts, readByAllAtMs: nowMs() + waitMs };
    unreported.set(window, fixed);
    return fixed;
  }

  /** Returns how long to wait until all gateways read the counts, but not beyond the due time. */
  function waitUntilReadMs(window: number): number {
    const leftMs = endOf(window) + dueMs - LAST_SEND_MS - nowTrueMs();
    return Math.max(0, Math.min(options.maxUpdateDelayMs, leftMs));
  }

  /** Returns whether enough others know the counts, and none knows others; tells them if not. */
  function isKnown(window: number, { counts, readByAllAtMs }: FixedCounts): boolean {
    if (!guards.waitsUntilKnown || acknowledgements.isAcknowledged(window)) return true;
    // What nobody has acknowledged must not be sent long after the store came back without it.
    const isFresh = lease.renewedForMs() <= UNACKNOWLEDGED_AFTER_RENEWAL_MS;
    if (nowMs() >= readByAllAtMs && isFresh) return true;
    acknowledgements.tell(window, counts, lease.state.fence);
    return false;
  }

  async function report(window: number): Promise<void> {
    const fixed = unreported.get(window) ?? (await fix(window));
    if (fixed === null) return;
    const isWaitOver = isKnown(window, fixed);
    const contradictedBy = acknowledgements.contradictedBy(window);
    if (contradictedBy !== null && guards.stopsOnContradiction) {
      withhold(window, contradictedBy);
      return;
    }
    // Checked right before sending: the lease may have expired meanwhile.
    if (!isWaitOver || (guards.checksLeaseBeforeSend && !lease.mayOrder())) return;
    await send(window, fixed.counts);
  }

  async function send(window: number, counts: UsageCounts): Promise<void> {
    const { fence } = lease.state;
    const acknowledged = acknowledgements.acknowledgedCount(window);
    if (!acknowledgements.isAcknowledged(window)) count('usage_reports_unacknowledged_total');
    const sent = await duties.reportUsage(window, counts, { holder: options.name, fence });
    count(sent.isOk() ? 'usage_reports_total' : 'usage_reports_failed_total');
    const outcome = sent.isOk() ? 'accepted' : sent.error.message;
    const lateMs = Math.round(nowTrueMs() - endOf(window) - dueMs);
    const isLate = lateMs > 0;
    log.info('usage reported', { window, fence, outcome, lateMs, isLate, acknowledged });
    if (sent.isErr()) {
      retryLater(window);
      return;
    }
    reported.add(window);
    unreported.delete(window);
    acknowledgements.forget(window);
  }

  function forgetOldWindows(): void {
    for (const windows of [reported, unreported, retryAtMs]) {
      for (const window of windows.keys()) {
        if (endOf(window) + 2 * dueMs < nowTrueMs()) {
          windows.delete(window);
          acknowledgements.forget(window);
        }
      }
    }
    for (const window of leftOut)
      if (endOf(window) + 2 * dueMs < nowTrueMs()) leftOut.delete(window);
  }

  async function tick(): Promise<void> {
    noteEraOfView();
    lease.tick();
    forgetOldWindows();
    for (const window of openWindows()) {
      if (!lease.holds()) return;
      if (nowMs() < (retryAtMs.get(window) ?? -Infinity)) continue;
      if (unreported.has(window) || rounds.isCounted(window)) await report(window);
      lease.tick();
    }
  }

  const renewal = createPeriodic(
    'usage-lease',
    () => TICK_MS,
    () => {
      lease.tick();
    },
  );
  const periodic = createPeriodic('usage-reporter', () => TICK_MS, tick);
  const children = [renewal, rounds.child, periodic];
  return {
    child: {
      name: periodic.name,
      start: async (onFailure) => {
        for (const child of children) await child.start(onFailure);
      },
      stop: async () => {
        lease.leave();
        for (const child of children) await child.stop();
        lease.giveUp();
      },
    },
    isOnlyFixer: lease.isOnlyFixer,
    noteRestored: noteEraOfView,
    close: history.stop,
  };
}
