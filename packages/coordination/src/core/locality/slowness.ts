/**
 * Estimates how slow a target is relative to its service: the median, over time buckets, of the
 * measured time divided by the time that an average target would take. Transients of less than a
 * second do not move the median.
 */

/** Length of a bucket. A transient of less than a second touches at most five of them. */
const BUCKET_MS = 250;
/** Odd, and more than twice the number of buckets that a transient touches. */
const BUCKETS = 11;
/** Buckets with samples from which on a target counts as observed. */
const MIN_KNOWN_BUCKETS = 3;
/** Samples older than this no longer count. */
const MAX_AGE_MS = 10_000;
/** Bounds of the estimate, so that a wrong expected time cannot exclude a target altogether. */
const MIN_SLOWNESS = 0.05;
const MAX_SLOWNESS = 20;
/** Slowness of an average target. */
const NEUTRAL = 1;

/** Sums over the samples of one bucket. */
interface Bucket {
  /** Number of the bucket since the origin of the clock. */
  readonly index: number;
  measuredMs: number;
  expectedMs: number;
}

/** The samples of one target. */
export interface Slowness {
  /** Buckets that have samples, oldest first; the last one may still be incomplete. */
  readonly buckets: Bucket[];
  /** Number of the bucket in which the median was last computed. */
  computedInIndex: number;
  median: number;
  /** Whether the target was observed repeatedly in the last seconds. */
  isKnown: boolean;
}

/** Returns an estimate without samples. */
export function createSlowness(): Slowness {
  return { buckets: [], computedInIndex: -Infinity, median: NEUTRAL, isKnown: false };
}

/** Adds the measured time of one piece of work and the time expected of an average target. */
export function recordSlowness(
  slowness: Slowness,
  measuredMs: number,
  expectedMs: number,
  nowMs: number,
): void {
  if (expectedMs <= 0) return;
  const index = Math.floor(nowMs / BUCKET_MS);
  const last = slowness.buckets.at(-1);
  if (last?.index === index) {
    last.measuredMs += measuredMs;
    last.expectedMs += expectedMs;
    return;
  }
  slowness.buckets.push({ index, measuredMs, expectedMs });
  // One more than the median uses, since the newest one is incomplete.
  if (slowness.buckets.length > BUCKETS + 1) slowness.buckets.shift();
}

/**
 * Returns the slowness of a target; 1 is the average of its service, 2 takes twice as long. Computed
 * once per bucket, from completed buckets only.
 */
export function slownessAt(slowness: Slowness, nowMs: number): number {
  const nowIndex = Math.floor(nowMs / BUCKET_MS);
  if (slowness.computedInIndex === nowIndex) return slowness.median;
  const oldestIndex = nowIndex - MAX_AGE_MS / BUCKET_MS;
  const ratios = slowness.buckets
    .filter(({ index }) => index < nowIndex && index >= oldestIndex)
    .slice(-BUCKETS)
    .map(({ measuredMs, expectedMs }) => measuredMs / expectedMs);
  slowness.isKnown = ratios.length >= MIN_KNOWN_BUCKETS;
  // Missing buckets count as average, so that few samples cannot make a target an outlier.
  while (ratios.length < BUCKETS) ratios.push(NEUTRAL);
  ratios.sort((left, right) => left - right);
  const median = ratios[(BUCKETS - 1) / 2] ?? NEUTRAL;
  slowness.median = Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, median));
  slowness.computedInIndex = nowIndex;
  return slowness.median;
}
