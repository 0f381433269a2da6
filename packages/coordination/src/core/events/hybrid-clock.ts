/**
 * A hybrid logical clock: wall time as long as that moves on, and a counter where it does not. Each
 * message carries the sender's reading, and its receiver moves past it; so an event that caused
 * another always has the lower reading, whatever the two wall clocks show.
 */
import type { HybridTime } from './event.js';

/** The clock of one process. */
export interface HybridClock {
  wallMs: number;
  counter: number;
  /** Readings that were not taken over because they lay too far ahead. */
  refused: number;
}

/**
 * How far ahead of the own wall clock a received reading may lie, in milliseconds. One VM whose
 * clock is a day ahead would else drag the time line of the whole fleet there, for good.
 */
export const MAX_CLOCK_DRIFT_MS = 60_000;

const TEXT_PATTERN = /^(\d{1,15})\.(\d{1,9})$/;

/** A clock that has shown nothing yet. */
export function createHybridClock(): HybridClock {
  return { wallMs: 0, counter: 0, refused: 0 };
}

/** The reading for a local event or a message about to be sent; later than all before it. */
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
 * Moves the clock past a reading that came with a message.
 *
 * @returns false when the reading lies beyond `maxDriftMs` and was not taken over: order between
 * the two processes then follows the wall clocks only, and `refused` counts it.
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

/** Orders readings: negative when `a` is earlier. */
export function compareHybridTimes(a: HybridTime, b: HybridTime): number {
  return a.wallMs - b.wallMs || a.counter - b.counter;
}

/** The reading as it travels in a header. */
export function writeHybridTime({ wallMs, counter }: HybridTime): string {
  return `${String(wallMs)}.${String(counter)}`;
}

/** Reads a header's reading; null for anything malformed. */
export function readHybridTime(text: string): HybridTime | null {
  const match = TEXT_PATTERN.exec(text);
  if (match === null) return null;
  return { wallMs: Number(match[1]), counter: Number(match[2]) };
}
