/**
 * When a process says that a system it depends on is out: after several failed calls in a row, and
 * back at the first that succeeds. One lost answer is no outage, and a process that calls rarely says
 * nothing until it does.
 */

/** Failed calls in a row that make an outage. */
export const OUTAGE_FAILURES = 3;

/** What is remembered of the calls. */
export interface OutageWatch {
  failuresInRow: number;
  /** When the present outage was noticed, by the process's monotonic clock; null while there is none. */
  outSinceMs: number | null;
}

/** What a call's outcome changed. */
export enum OutageChange {
  None = 'none',
  Began = 'began',
  Ended = 'ended',
}

/** A watch that has seen no call. */
export function createOutageWatch(): OutageWatch {
  return { failuresInRow: 0, outSinceMs: null };
}

/** Takes in a call that succeeded. */
export function noteSuccess(watch: OutageWatch): OutageChange {
  watch.failuresInRow = 0;
  if (watch.outSinceMs === null) return OutageChange.None;
  watch.outSinceMs = null;
  return OutageChange.Ended;
}

/** Takes in a call that failed. */
export function noteFailure(watch: OutageWatch, nowMs: number): OutageChange {
  watch.failuresInRow += 1;
  if (watch.outSinceMs !== null || watch.failuresInRow < OUTAGE_FAILURES) return OutageChange.None;
  watch.outSinceMs = nowMs;
  return OutageChange.Began;
}
