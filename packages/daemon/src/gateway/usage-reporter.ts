/**
 * Reports the usage of each window to the platform, from one gateway at a time. The counts of a
 * window are fixed in the store before they are sent, under the lease of the one that fixes them, so
 * that whoever repeats a report sends the very same counts. They are sent once all gateways have read
 * them there, as the store may come back from an older copy without them.
 */
import {
  type FleetView,
  type LeaseOptions,
  type Random,
  type UsageCounts,
  fixedUsageKey,
  isSameUsage,
  rememberFixedUsage,
  trueTimeMs,
  usageWindowAt,
} from '@cassiamast/coordination';
import { type DutyPort, type LeaseStore, parseJsonObject } from '@cassiamast/ports';
import { createPeriodic } from '../node/timers.js';
import { type LeaseDriver, createLeaseDriver } from '../planning/lease-driver.js';
import type { Child } from '../supervisor/supervisor.js';
import type { GatewayLog } from './gateway-log.js';
import type { UsageCollector } from './usage-collector.js';
import type { UsageMeter } from './usage-meter.js';

const LEASE_KEY = 'cassiamast/duties/usage';

const TICK_MS = 500;
const MIN_COLLECT_INTERVAL_MS = 1000;
/** Keeps what the collection costs at the reporter the same in a large fleet. */
const COLLECT_INTERVAL_PER_GATEWAY_MS = 10;
/** A request that began in a window may be counted when its answer comes, this much later. */
const COUNTED_WITHIN_MS = 1500;
/** Gateways that give no answer are waited for until this long after a window's end. */
const WAIT_FOR_MISSING_MS = 4000;
/** A report is sent this long before it is due, though some gateways may not know its counts yet. */
const LAST_SEND_MS = 1500;
/** Reports that are kept in the store, for a successor that repeats them. */
const KEPT_REPORTS = 6;

/**
 * The lease of the reporter. It sends nothing later than two seconds after its last renewal, a call
 * takes two at most, and its successor begins three seconds after it has the key: no call of the one
 * comes after a call of the other, and no two take turns within the platform's three seconds.
 */
const REPORTER_LEASE: LeaseOptions = {
  ttlMs: 4000,
  renewIntervalMs: 1000,
  safetyMs: 2000,
  takeoverDelayMs: 3000,
  retryMs: 800,
  guards: { stopsBeforeExpiry: true, waitsForOldTickets: true },
};

/** The last collection of counts. */
interface Collected {
  /** When it began, in Unix milliseconds. */
  readonly fromMs: number;
  /** The gateways that did not answer. */
  readonly missing: readonly string[];
}

const NOT_COLLECTED: Collected = { fromMs: -Infinity, missing: [] };

/** The counts of a window that are fixed in the store. */
interface FixedCounts {
  readonly counts: UsageCounts;
  /** From then on all gateways know them, so that none contradicts a report that was sent. */
  readonly sendAtMs: number;
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
  readonly view: Pick<FleetView, 'fixedUsage'>;
  readonly meter: UsageMeter;
  readonly collector: UsageCollector;
  /** Whether this gateway may become the reporter. */
  readonly isCandidate: () => boolean;
  readonly gatewayCount: () => number;
  readonly random: Random;
  /** A clock that includes the time during which the VM is suspended. */
  readonly elapsedMs: () => number;
  readonly nowMs: () => number;
  readonly log: GatewayLog;
  readonly count: (name: string) => void;
}

/** Creates the reporter. */
export function createUsageReporter(options: UsageReporterOptions): Child {
  const { settings, duties, store, meter, collector, log, nowMs, count } = options;
  const { fixedUsage } = options.view;
  const { windowMs, dueMs } = settings;
  const reported = new Set<number>();
  /** Fixed counts of windows that are not reported yet. */
  const unreported = new Map<number, FixedCounts>();
  let collected: Collected = NOT_COLLECTED;
  let isLeaving = false;
  const lease: LeaseDriver = createLeaseDriver({
    selfId: options.selfId,
    key: LEASE_KEY,
    nowMs: options.elapsedMs,
    random: options.random,
    keyValue: store,
    telemetry: { count },
    leaseOptions: REPORTER_LEASE,
    isCandidate: () => !isLeaving && options.isCandidate(),
    onGained: (fence) => {
      log.info('duty gained', { duty: 'usage', fence });
    },
    onLost: (fence, reason) => {
      collected = NOT_COLLECTED;
      unreported.clear();
      log.warn('duty lost', { duty: 'usage', fence, reason });
    },
  });

  const nowTrueMs = (): number => trueTimeMs(meter.time, nowMs());
  const endOf = (window: number): number => (window + 1) * windowMs;

  /** Returns the windows that are over, whose reports are not done and not long overdue. */
  function openWindows(): readonly number[] {
    const current = usageWindowAt(nowTrueMs(), windowMs);
    const first = usageWindowAt(nowTrueMs() - dueMs, windowMs) - 1;
    const windows: number[] = [];
    for (let window = first; window < current; window += 1) {
      if (!reported.has(window)) windows.push(window);
    }
    return windows;
  }

  async function collect(): Promise<void> {
    const everyMs = Math.max(
      MIN_COLLECT_INTERVAL_MS,
      options.gatewayCount() * COLLECT_INTERVAL_PER_GATEWAY_MS,
    );
    const fromMs = nowTrueMs();
    if (fromMs - collected.fromMs < everyMs) return;
    const since = openWindows()[0] ?? usageWindowAt(fromMs, windowMs);
    collector.forgetBefore(since);
    collected = { fromMs, missing: await collector.collect(since) };
  }

  /** Returns whether the counts of a window are as whole as they will be. */
  function isCounted(window: number): boolean {
    if (collected.fromMs < endOf(window) + COUNTED_WITHIN_MS) return false;
    return collected.missing.length === 0 || collected.fromMs > endOf(window) + WAIT_FOR_MISSING_MS;
  }

  /** Resolves with the counts that are fixed in the store; null if they must not be reported. */
  async function fixCounts(window: number): Promise<FixedCounts | null> {
    const key = fixedUsageKey(window);
    // A store that came back from an older copy may lack counts that were reported already.
    const counts = fixedUsage.get(window) ?? collector.total(window);
    const fixed = await store.transact(
      [
        { key, modRevision: 0 },
        { key: LEASE_KEY, modRevision: lease.state.fence },
      ],
      [
        { key, value: JSON.stringify(counts) },
        { key: fixedUsageKey(window - KEPT_REPORTS), value: null },
      ],
    );
    if (fixed.isErr()) {
      log.warn('usage not fixed', { window, cause: fixed.error.message });
      return null;
    }
    if (fixed.value.succeeded) {
      log.info('usage fixed', { window, gateways: options.gatewayCount(), ...collected });
      rememberFixedUsage(fixedUsage, window, counts);
      return { counts, sendAtMs: nowMs() + waitUntilKnownMs(window) };
    }
    const entry = fixed.value.current.find((each) => each.key === key);
    const earlier = entry === undefined ? null : earlierCounts(window, entry.value);
    return earlier === null ? null : { counts: earlier, sendAtMs: nowMs() };
  }

  /** Returns how long to wait until all gateways know the counts, but not beyond the due time. */
  function waitUntilKnownMs(window: number): number {
    const leftMs = endOf(window) + dueMs - LAST_SEND_MS - nowTrueMs();
    return Math.max(0, Math.min(options.maxUpdateDelayMs, leftMs));
  }

  /** Returns the counts that the store has; null if others may have been reported before. */
  function earlierCounts(window: number, value: string): UsageCounts | null {
    const counts = parseJsonObject(value) as UsageCounts | null;
    if (counts === null) return null;
    if (isSameUsage(fixedUsage.get(window) ?? counts, counts)) return counts;
    log.warn('usage not reported, it was fixed twice', { window });
    reported.add(window);
    return null;
  }

  async function report(window: number): Promise<void> {
    const fixed = unreported.get(window) ?? (await fixCounts(window));
    // Checked again right before sending: the lease may have expired meanwhile.
    if (fixed === null || !lease.mayOrder()) return;
    unreported.set(window, fixed);
    if (nowMs() < fixed.sendAtMs) return;
    const { fence } = lease.state;
    const sent = await duties.reportUsage(window, fixed.counts, { holder: options.name, fence });
    count(sent.isOk() ? 'usage_reports_total' : 'usage_reports_failed_total');
    const outcome = sent.isOk() ? 'accepted' : sent.error.message;
    const lateMs = Math.round(nowTrueMs() - endOf(window) - dueMs);
    log.info('usage reported', { window, fence, outcome, lateMs, isLate: lateMs > 0 });
    if (sent.isErr()) return;
    reported.add(window);
    unreported.delete(window);
  }

  async function tick(): Promise<void> {
    lease.tick();
    for (const windows of [reported, unreported]) {
      for (const window of windows.keys()) {
        if (endOf(window) + 2 * dueMs < nowTrueMs()) windows.delete(window);
      }
    }
    if (!lease.holds()) return;
    await collect();
    for (const window of openWindows()) {
      if (!isCounted(window) || !lease.mayOrder()) return;
      await report(window);
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
  return {
    name: periodic.name,
    start: async (onFailure) => {
      await renewal.start(onFailure);
      await periodic.start(onFailure);
    },
    stop: async () => {
      isLeaving = true;
      await renewal.stop();
      await periodic.stop();
      lease.giveUp();
    },
  };
}
