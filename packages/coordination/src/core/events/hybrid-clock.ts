/**
 * Implements a hybrid logical clock: wall time while it advances, plus a counter while it does not.
 * Each message carries the sender's timestamp and the receiver advances its clock past it, so that
 * a cause always has a lower timestamp than its effect, whatever the two wall clocks show.
 */
import type { HybridTime } from './event.js';

/** The hybrid logical clock of one process. */
export interface HybridClock {
  wallMs: number;
  counter: number;
  /** Number of received timestamps rejected for being too far ahead. */
  refused: number;
}

/**
 * How far a received timestamp may be ahead of the local wall clock, in milliseconds. Without this
 * limit, one VM whose clock is a day ahead would permanently move the time line of the whole fleet
 * forward by a day.
 */
export const MAX_CLOCK_DRIFT_MS = 60_000;

const TEXT_PATTERN = /^(\d{1,15})\.(\d{1,9})$/;

/** Creates a clock that has not issued a timestamp yet. */
export function createHybridClock(): HybridClock {
  return { wallMs: 0, counter: 0, refused: 0 };
}

/** Returns a timestamp for a local event or an outgoing message, later than all earlier ones. */
export function tickHybridClock(clock: HybridClock, wallNowMs: number): HybridTime {
  const nowMs = Math.floor(wallNowMs);
  if (nowMs > clock.wallMs) {
    clock.wallMs = nowMs;
    clock.counter = 0;
  } else {
    clock.counter += 1;
  }
  return { wallMs: clock.wallMs, counter: clock.counter };
}

/**
 * Advances the clock past the timestamp of a received message.
 *
 * @returns false if the timestamp is more than `maxDriftMs` ahead. It is then rejected and counted
 * in `refused`, and events of the two processes are ordered by their wall clocks only.
 */
export function mergeHybridTime(
  clock: HybridClock,
  received: HybridTime,
  wallNowMs: number,
  maxDriftMs: number = MAX_CLOCK_DRIFT_MS,
): boolean {
  if (received.wallMs > wallNowMs + maxDriftMs) {
    clock.refused += 1;
    return false;
  }
  if (compareHybridTimes(received, clock) > 0) {
    clock.wallMs = received.wallMs;
    clock.counter = received.counter;
  }
  return true;
}

/** Compares two timestamps. The result is negative if `a` is earlier. */
export function compareHybridTimes(a: HybridTime, b: HybridTime): number {
  return a.wallMs - b.wallMs || a.counter - b.counter;
}

/** Serializes a timestamp for a header. */
export function writeHybridTime({ wallMs, counter }: HybridTime): string {
  return `${String(wallMs)}.${String(counter)}`;
}

/** Parses a timestamp from a header. Returns null if it is malformed. */
export function readHybridTime(text: string): HybridTime | null {
  const match = TEXT_PATTERN.exec(text);
  if (match === null) return null;
  return { wallMs: Number(match[1]), counter: Number(match[2]) };
}
