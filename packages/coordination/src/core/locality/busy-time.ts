/**
 * Tracks the recent busy time of a target, as the sum of the service times that it was given, with
 * exponential decay. Targets of equal busy time receive work in proportion to their speed.
 */

/** Covers tens of requests to a target and reacts to a change of its speed within seconds. */
const TIME_CONSTANT_MS = 5000;

/** Decayed sum of service times. */
export interface BusyTime {
  sumMs: number;
  updatedAtMs: number;
}

/** Returns the busy time of a target without work. */
export function createBusyTime(): BusyTime {
  return { sumMs: 0, updatedAtMs: 0 };
}

/** Returns the decayed sum at the given time, in milliseconds. */
export function busyTimeAt({ sumMs, updatedAtMs }: BusyTime, nowMs: number): number {
  if (sumMs === 0) return 0;
  return sumMs * Math.exp(-Math.max(0, nowMs - updatedAtMs) / TIME_CONSTANT_MS);
}

/** Adds the expected service time of work that the target is given. */
export function addBusyTime(busy: BusyTime, serviceMs: number, nowMs: number): void {
  busy.sumMs = busyTimeAt(busy, nowMs) + serviceMs;
  busy.updatedAtMs = nowMs;
}
