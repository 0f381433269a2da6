/**
 * Follows the response time of a target within a second, to see queues form and drain. Without new
 * samples it returns to the lasting estimate, so a transient has no effect after its end.
 */

const TIME_CONSTANT_MS = 500;
/** Largest weight of a sample, so that a single response does not decide alone. */
const MAX_WEIGHT = 0.3;

/** Difference between the recent response times and the lasting estimate. */
export interface RecentTime {
  excessMs: number;
  updatedAtMs: number;
}

/** Returns a time that equals the lasting estimate. */
export function createRecentTime(): RecentTime {
  return { excessMs: 0, updatedAtMs: -Infinity };
}

/** Returns the expected response time, given the lasting estimate. */
export function recentTimeAt(recent: RecentTime, lastingMs: number, nowMs: number): number {
  return Math.max(0, lastingMs + excessAt(recent, nowMs));
}

/** Adds a measured response time. */
export function recordRecentTime(
  recent: RecentTime,
  measuredMs: number,
  lastingMs: number,
  nowMs: number,
): void {
  const excessMs = excessAt(recent, nowMs);
  const elapsedMs = nowMs - recent.updatedAtMs;
  const weight = Math.min(MAX_WEIGHT, 1 - Math.exp(-elapsedMs / TIME_CONSTANT_MS));
  recent.excessMs = excessMs + weight * (measuredMs - lastingMs - excessMs);
  recent.updatedAtMs = nowMs;
}

function excessAt({ excessMs, updatedAtMs }: RecentTime, nowMs: number): number {
  if (excessMs === 0) return 0;
  return excessMs * Math.exp(-(nowMs - updatedAtMs) / TIME_CONSTANT_MS);
}
