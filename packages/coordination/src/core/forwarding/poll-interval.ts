/**
 * Decides how often a gateway polls the platform's store for updates of the fleet, and how long it
 * waits for an answer. Hundreds of gateways poll while targets write about once a second, so every
 * poll returns at once and the pause alone bounds the load. Gateways that started together poll
 * faster to find each other, and all of them back off while the store is unavailable. A connection
 * that goes silent without a reset is noticed only by a poll without an answer, so the pause, the
 * wait and the retry must add up to less than the time after which a gateway counts as in touch.
 */
import type { Random } from '../random/random.js';
import { waitAfterFailuresMs } from '../retries/retries.js';

/** Options of the poll interval. */
export interface PollIntervalOptions {
  /** Longest time within which a change in the store must be applied here. */
  readonly applyWithinMs: number;
  /** Time after an interruption of its connections from which a gateway counts as in touch. */
  readonly contactMs: number;
  /** Pause between two polls while gateways that started together find each other. */
  readonly startPauseMs: number;
  /** How long gateways take to find each other; covers several renewals of an announcement. */
  readonly startMs: number;
  /** First pause after a failed poll. */
  readonly failurePauseMs: number;
}

/**
 * Returns the default options for a platform on which changes must be applied within
 * `applyWithinMs`, by gateways without an interruption for `contactMs`.
 */
export function pollIntervalOptions(applyWithinMs: number, contactMs: number): PollIntervalOptions {
  return { applyWithinMs, contactMs, startPauseMs: 600, startMs: 5000, failurePauseMs: 200 };
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
/** Longest wait of a poll for changes; only polls of a store without writes take that long. */
const MAX_WATCH_WAIT_MS = 700;
/** Longest time that the answer to a poll may exceed its wait. */
const MAX_ANSWER_MS = 700;
/** Shortest wait, and shortest time for an answer. */
const MIN_WATCH_PART_MS = 200;
/** Time for a new connection, the answer on it and a busy core, once a lost answer was noticed. */
const RECOVERY_MS = 300;

/** Time limits of a poll. */
export interface WatchLimits {
  /** How long the store may wait for changes before it answers without any; a whole number. */
  readonly waitMs: number;
  /** Time from the call on after which the answer counts as lost. */
  readonly timeoutMs: number;
}

/**
 * Returns the time limits of a poll. If a connection goes silent right after an answer, the pause,
 * these limits, the pause after the failure and the retry end before `contactMs` is over.
 */
export function watchLimits(options: PollIntervalOptions): WatchLimits {
  const { contactMs, failurePauseMs } = options;
  const availableMs = contactMs - settledPauseMs(options) - failurePauseMs - RECOVERY_MS;
  const partMs = Math.max(MIN_WATCH_PART_MS, Math.floor(availableMs / 2));
  const waitMs = Math.min(MAX_WATCH_WAIT_MS, partMs);
  return { waitMs, timeoutMs: waitMs + Math.min(MAX_ANSWER_MS, partMs) };
}

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
  const { startPauseMs, startMs } = poll.options;
  poll.failuresInARow = 0;
  poll.succeedingSinceMs ??= nowMs;
  const pauseMs = settledPauseMs(poll.options);
  return nowMs - poll.succeedingSinceMs < startMs ? Math.min(startPauseMs, pauseMs) : pauseMs;
}

function settledPauseMs({ applyWithinMs, contactMs, failurePauseMs }: PollIntervalOptions): number {
  const maxPauseMs = applyWithinMs * MAX_PAUSE_SHARE;
  const noticedLaterMs = 2 * MIN_WATCH_PART_MS + failurePauseMs + RECOVERY_MS;
  const pauseMs = Math.min(maxPauseMs, applyWithinMs - RESERVE_MS, contactMs - noticedLaterMs);
  return Math.max(MIN_PAUSE_MS, pauseMs);
}

/** Returns the pause after a failed poll: a backoff with jitter that grows with each failure. */
export function pauseAfterFailureMs(poll: PollInterval, random: Random): number {
  const { applyWithinMs, failurePauseMs: firstMs } = poll.options;
  poll.failuresInARow += 1;
  poll.succeedingSinceMs = null;
  const mostMs = Math.max(firstMs, applyWithinMs * FAILURE_PAUSE_SHARE);
  return waitAfterFailuresMs(poll.failuresInARow, { initialMs: firstMs, maxMs: mostMs }, random);
}
