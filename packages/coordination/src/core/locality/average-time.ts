/**
 * Averages the service time over all targets of a service, slowly. A local target that becomes
 * congested therefore looks slow in comparison with targets that were not used lately.
 */

const TIME_CONSTANT_MS = 30_000;

/** Average of a service; `meanMs` is 0 without samples. */
export interface AverageTime {
  meanMs: number;
  samples: number;
  updatedAtMs: number;
}

/** Returns an average without samples. */
export function createAverageTime(): AverageTime {
  return { meanMs: 0, samples: 0, updatedAtMs: -Infinity };
}

/** Adds a measured service time. The first samples count equally. */
export function recordServiceTime(average: AverageTime, measuredMs: number, nowMs: number): void {
  average.samples += 1;
  const elapsedMs = Math.max(0, nowMs - average.updatedAtMs);
  const weight = Math.max(1 / average.samples, 1 - Math.exp(-elapsedMs / TIME_CONSTANT_MS));
  average.meanMs += weight * (measuredMs - average.meanMs);
  average.updatedAtMs = nowMs;
}
