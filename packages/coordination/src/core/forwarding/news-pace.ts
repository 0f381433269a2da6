/**
 * How often a gateway asks the platform's store for news of the fleet. The load patterns: hundreds of
 * gateways that each ask, while targets write about once a second, so that an answer never has to be
 * waited for; gateways that have just started together and look for each other; and a store that is
 * away while all of them go on asking.
 */
import type { Random } from '../random/random.js';
import { waitAfterFailuresMs } from '../retries/retries.js';

/** Bounds of the pace. */
export interface NewsPaceOptions {
  /** A change in the store must be in force here within so long. */
  readonly inForceWithinMs: number;
  /** Pause between two questions while gateways that started together find each other. */
  readonly startPauseMs: number;
  /** How long that takes: some renewals of an announcement. */
  readonly startMs: number;
  /** First pause after a question that failed. */
  readonly failurePauseMs: number;
}

/** Defaults for a platform that wants changes in force within this time. */
export function newsPaceOptions(inForceWithinMs: number): NewsPaceOptions {
  return { inForceWithinMs, startPauseMs: 600, startMs: 5000, failurePauseMs: 200 };
}

/** The longest pause, as a part of the time in which a change must be in force. */
const MAX_PAUSE_SHARE = 0.5;
/** The shortest pause: changes gather, and a question costs a gateway a few milliseconds. */
const MIN_PAUSE_MS = 300;
/** What the pause leaves of that time: for a slow answer, a question that fails, and a busy core. */
const RESERVE_MS = 1400;
/** The longest pause after failures, as a part of that time: news come at once when the store is back. */
const FAILURE_PAUSE_SHARE = 0.25;

/** Where a gateway stands. */
export interface NewsPace {
  readonly options: NewsPaceOptions;
  /** Since when news come without a gap, null while they don't. */
  newsSinceMs: number | null;
  failuresInARow: number;
}

/** The pace of a gateway that has not asked yet. */
export function createNewsPace(options: NewsPaceOptions): NewsPace {
  return { options, newsSinceMs: null, failuresInARow: 0 };
}

/**
 * Pause after an answer, in which changes gather. Guards against a cost that grows with gateways
 * alone: each question is answered at once, since some target has always written meanwhile.
 */
export function pauseAfterNewsMs(pace: NewsPace, nowMs: number): number {
  const { inForceWithinMs, startPauseMs, startMs } = pace.options;
  pace.failuresInARow = 0;
  pace.newsSinceMs ??= nowMs;
  const pauseMs = settledPauseMs(inForceWithinMs);
  return nowMs - pace.newsSinceMs < startMs ? Math.min(startPauseMs, pauseMs) : pauseMs;
}

function settledPauseMs(inForceWithinMs: number): number {
  const mostMs = inForceWithinMs * MAX_PAUSE_SHARE;
  return Math.max(MIN_PAUSE_MS, Math.min(mostMs, inForceWithinMs - RESERVE_MS));
}

/** Pause after a question that failed; longer with each one, and never in step with others. */
export function pauseAfterFailureMs(pace: NewsPace, random: Random): number {
  const { inForceWithinMs, failurePauseMs: firstMs } = pace.options;
  pace.failuresInARow += 1;
  pace.newsSinceMs = null;
  const mostMs = Math.max(firstMs, inForceWithinMs * FAILURE_PAUSE_SHARE);
  return waitAfterFailuresMs(pace.failuresInARow, { firstMs, mostMs }, random);
}
