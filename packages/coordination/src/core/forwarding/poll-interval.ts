/**
 * Decides how often a gateway polls the platform's store for updates of the fleet. Hundreds of
 * gateways poll while targets write about once a second, so every poll returns at once and the
 * pause alone bounds the load. Gateways that started together poll faster to find each other, and
 * all of them back off while the store is unavailable.
 */
import type { Random } from '../random/random.js';
import { waitAfterFailuresMs } from '../retries/retries.js';

/** Options of the poll interval. */
export interface PollIntervalOptions {
  /** Longest time within which a change in the store must be applied here. */
  readonly applyWithinMs: number;
  /** Pause between two polls while gateways that started together find each other. */
  readonly startPauseMs: number;
  /** How long gateways take to find each other; covers several renewals of an announcement. */
  readonly startMs: number;
  /** First pause after a failed poll. */
  readonly failurePauseMs: number;
}

/** Returns the default options for a platform on which changes must be applied within this time. */
export function pollIntervalOptions(applyWithinMs: number): PollIntervalOptions {
  return { applyWithinMs, startPauseMs: 600, startMs: 5000, failurePauseMs: 200 };
}

/** Longest pause, as a fraction of the time within which a change must be applied. */
const MAX_PAUSE_SHARE = 0.5;
/**
 * Shortest pause. Changes accumulate meanwhile, and each poll costs a gateway a few milliseconds.
 */
const MIN_PAUSE_MS = 300;
/** Part of that time reserved for a slow answer, a failed poll and a busy core. */
const RESERVE_MS = 1400;
/**
 * Longest pause after failures, as a fraction of that time, so that polling resumes soon after an
 * outage.
 */
const FAILURE_PAUSE_SHARE = 0.25;

/** Poll state of one gateway. */
export interface PollInterval {
  readonly options: PollIntervalOptions;
  /** Time of the first successful poll since the last failure; null after a failure. */
  succeedingSinceMs: number | null;
  failuresInARow: number;
}

/** Creates the state of a gateway that has not polled yet. */
export function createPollInterval(options: PollIntervalOptions): PollInterval {
  return { options, succeedingSinceMs: null, failuresInARow: 0 };
}

/**
 * Returns the pause after an answer, in which changes accumulate. Without it, gateways would poll
 * continuously, because some target has always written since the last poll and each poll is
 * answered at once.
 */
export function pauseAfterAnswerMs(poll: PollInterval, nowMs: number): number {
  const { applyWithinMs, startPauseMs, startMs } = poll.options;
  poll.failuresInARow = 0;
  poll.succeedingSinceMs ??= nowMs;
  const pauseMs = settledPauseMs(applyWithinMs);
  return nowMs - poll.succeedingSinceMs < startMs ? Math.min(startPauseMs, pauseMs) : pauseMs;
}

function settledPauseMs(applyWithinMs: number): number {
  const maxPauseMs = applyWithinMs * MAX_PAUSE_SHARE;
  return Math.max(MIN_PAUSE_MS, Math.min(maxPauseMs, applyWithinMs - RESERVE_MS));
}

/** Returns the pause after a failed poll: a backoff with jitter that grows with each failure. */
export function pauseAfterFailureMs(poll: PollInterval, random: Random): number {
  const { applyWithinMs, failurePauseMs: firstMs } = poll.options;
  poll.failuresInARow += 1;
  poll.succeedingSinceMs = null;
  const mostMs = Math.max(firstMs, applyWithinMs * FAILURE_PAUSE_SHARE);
  return waitAfterFailuresMs(poll.failuresInARow, { initialMs: firstMs, maxMs: mostMs }, random);
}
