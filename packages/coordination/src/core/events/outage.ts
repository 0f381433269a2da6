/**
 * Detects outages of a system that the process depends on. An outage begins after several
 * consecutive failed calls and ends with the first successful one. A single lost answer is not an
 * outage, and a process that calls rarely detects one only once it has made enough calls.
 */

/** Number of consecutive failed calls after which an outage begins. */
export const OUTAGE_FAILURES = 3;

/** State of the outage detection. */
export interface OutageWatch {
  consecutiveFailures: number;
  /** When the current outage was detected, by the process's monotonic clock; null without one. */
  outSinceMs: number | null;
}

/** How the outcome of a call changed the state. */
export enum OutageChange {
  None = 'none',
  Began = 'began',
  Ended = 'ended',
}

/** Creates the state before the first call. */
export function createOutageWatch(): OutageWatch {
  return { consecutiveFailures: 0, outSinceMs: null };
}

/** Records a successful call. */
export function recordCallSuccess(watch: OutageWatch): OutageChange {
  watch.consecutiveFailures = 0;
  if (watch.outSinceMs === null) return OutageChange.None;
  watch.outSinceMs = null;
  return OutageChange.Ended;
}

/** Records a failed call. */
export function recordCallFailure(watch: OutageWatch, nowMs: number): OutageChange {
  watch.consecutiveFailures += 1;
  if (watch.outSinceMs !== null || watch.consecutiveFailures < OUTAGE_FAILURES)
    return OutageChange.None;
  watch.outSinceMs = nowMs;
  return OutageChange.Began;
}
