/**
 * Estimates the true time of day from the clocks of many VMs, some of which are wrong or jump. The
 * median of all clocks is taken as true, and is kept as an offset to a clock that never jumps.
 */

/** An estimate of the time of day. */
export interface TrueTime {
  /** Time of day minus the monotonic clock. */
  offsetMs: number;
}

/** Creates an estimate from the own clocks. */
export function createTrueTime(wallMs: number, monotonicMs: number): TrueTime {
  return { offsetMs: wallMs - monotonicMs };
}

/** Returns the estimated time of day, in Unix milliseconds. */
export function trueTimeMs({ offsetMs }: TrueTime, monotonicMs: number): number {
  return monotonicMs + offsetMs;
}

/** What one call says about the clock of another process. */
export interface ClockComparison {
  /** When the call was sent and when its answer came, by the own estimate. */
  readonly sentAtMs: number;
  readonly answeredAtMs: number;
  /** What the other clock showed in between. */
  readonly shownMs: number;
}

/** Returns how far the other clock is ahead, as far as the time of the call can't explain it. */
export function certainDifferenceMs({ sentAtMs, answeredAtMs, shownMs }: ClockComparison): number {
  return Math.max(0, shownMs - answeredAtMs) + Math.min(0, shownMs - sentAtMs);
}

/** Returns the median of values; 0 without any. */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  const middle = Math.floor(sorted.length / 2);
  const upper = sorted[middle] ?? 0;
  return sorted.length % 2 === 1 ? upper : (upper + (sorted[middle - 1] ?? upper)) / 2;
}
