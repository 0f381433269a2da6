/**
 * Decides when the reporting gateway asks the others for their counts: once a second, as soon as the
 * counts of a window can be whole, and then those that have not answered again and again, so that a
 * window is fixed as soon as the last one is back.
 */
import {
  FIXED_AFTER_END_MS,
  type FleetView,
  type UsageGuards,
  forgetReadings,
  isSilent,
  unreadGateways,
} from '@cassiamast/coordination';
import { createPeriodic } from '../node/timers.js';
import type { Child } from '../supervisor/supervisor.js';
import type { RecentGateways } from './recent-gateways.js';
import type { UsageCollector } from './usage-collector.js';

const TICK_MS = 100;
const MIN_ROUND_INTERVAL_MS = 1000;
const MIN_ASK_AGAIN_INTERVAL_MS = 250;
/** Keeps what the questions cost at the reporter the same in a large fleet. */
const INTERVAL_PER_GATEWAY_MS = 10;
/** Gateways that give no answer are waited for until this long after a window's end. */
const WAIT_FOR_MISSING_MS = 4000;

/** Dependencies of the rounds. */
export interface UsageRoundsOptions {
  readonly view: Pick<FleetView, 'gateways'>;
  readonly recent: Pick<RecentGateways, 'others'>;
  readonly collector: UsageCollector;
  readonly nowMs: () => number;
  /** Returns the fencing token while this gateway holds the lease, else null. */
  readonly fence: () => number | null;
  /** Returns the windows that are over and not reported, the oldest first. */
  readonly openWindows: () => readonly number[];
  /** Returns the end of a window on the monotonic clock. */
  readonly endMs: (window: number) => number;
  /** The window that is open now. */
  readonly currentWindow: () => number;
  readonly guards: Pick<UsageGuards, 'waitsForPredecessor'>;
}

/** The rounds of questions. */
export interface UsageRounds {
  readonly child: Child;
  /** Forgets all answers. Counts are whole once all have answered after `fromMs`. */
  readonly restart: (fromMs: number) => void;
  /** Returns whether the counts of a window are as whole as they will be. */
  readonly isCounted: (window: number) => boolean;
  /** Returns the gateways that are waited for, as they have given no answer for a window. */
  readonly missing: (window: number) => readonly string[];
}

/** Creates the rounds. */
export function createUsageRounds(options: UsageRoundsOptions): UsageRounds {
  const { view, recent, collector, nowMs, endMs } = options;
  let startMs = -Infinity;
  let isRoundOpen = false;
  let roundAtMs = -Infinity;
  let completeRoundAtMs = -Infinity;
  let askedAgainAtMs = -Infinity;

  /** A reporter before may send until then; what it sent is known to those that are asked later. */
  const notBefore = (ms: number): number =>
    options.guards.waitsForPredecessor ? Math.max(ms, startMs) : ms;
  const countableAtMs = (window: number): number => notBefore(endMs(window) + FIXED_AFTER_END_MS);
  const givenUpAtMs = (window: number): number => notBefore(endMs(window) + WAIT_FOR_MISSING_MS);

  /** After an outage of the store, gateways that answer are not announced yet. */
  function missing(window: number): readonly string[] {
    const { readings } = collector;
    const awaited = recent
      .others()
      .filter((id) => view.gateways.has(id) || !isSilent(readings, id));
    return unreadGateways(readings, awaited, countableAtMs(window));
  }

  function isCounted(window: number): boolean {
    if (nowMs() < countableAtMs(window)) return false;
    return missing(window).length === 0 || completeRoundAtMs >= givenUpAtMs(window);
  }

  function isRoundDue(waiting: readonly number[]): boolean {
    const now = nowMs();
    const intervalMs = Math.max(
      MIN_ROUND_INTERVAL_MS,
      view.gateways.size * INTERVAL_PER_GATEWAY_MS,
    );
    const timesMs = waiting.flatMap((window) => [countableAtMs(window), givenUpAtMs(window)]);
    return now - roundAtMs >= intervalMs || timesMs.some((atMs) => roundAtMs < atMs && atMs <= now);
  }

  async function startRound(since: number, fence: number): Promise<void> {
    isRoundOpen = true;
    const startedMs = nowMs();
    roundAtMs = startedMs;
    collector.forgetBefore(since);
    await collector.collect(since, fence);
    completeRoundAtMs = startedMs;
    isRoundOpen = false;
  }

  function askMissing(waiting: readonly number[], since: number, fence: number): void {
    const now = nowMs();
    const ids = new Set(waiting.filter((each) => countableAtMs(each) <= now).flatMap(missing));
    const intervalMs = Math.max(MIN_ASK_AGAIN_INTERVAL_MS, ids.size * INTERVAL_PER_GATEWAY_MS);
    if (ids.size === 0 || now - Math.max(roundAtMs, askedAgainAtMs) < intervalMs) return;
    askedAgainAtMs = now;
    void collector.askAgain([...ids], since, fence);
  }

  function tick(): void {
    const fence = options.fence();
    if (fence === null) return;
    const open = options.openWindows();
    const since = open[0] ?? options.currentWindow();
    const waiting = open.filter((window) => !isCounted(window));
    if (!isRoundOpen && isRoundDue(waiting)) void startRound(since, fence);
    else askMissing(waiting, since, fence);
  }

  return {
    child: createPeriodic('usage-rounds', () => TICK_MS, tick),
    restart: (fromMs) => {
      startMs = fromMs;
      completeRoundAtMs = -Infinity;
      forgetReadings(collector.readings);
    },
    isCounted,
    missing,
  };
}
