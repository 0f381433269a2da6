/**
 * Ranks the queued jobs of an engine by value per millisecond of engine time. This matters under
 * overload, when prompts from a hundred to tens of thousands of tokens exceed what the engines can
 * prefill in time. A late job keeps only a fraction of its value, a larger one if its caller was
 * refused before. Jobs of starved sizes and workspaces get a higher value until they are served again.
 */
import type { Job } from './job.js';

/**
 * Value of a job relative to the mean size of its route: a fixed base plus a part that grows with
 * size.
 */
const BASE_VALUE = 0.3;
const MAX_VALUE = 4;
/** Generating a token takes an engine about as long as prefilling ten tokens in a batch. */
const OUTPUT_TOKEN_WEIGHT = 10;
/** Value of a job relative to one of the next more urgent priority. */
const VALUE_RATIO_PER_PRIORITY = 0.8;
/** Number of samples that the mean size of a route is based on; older samples decay. */
const MAX_MEAN_SAMPLES = 200;

/** Mean job size by route. */
export interface RouteSizes {
  readonly byRoute: Map<string, { mean: number; count: number }>;
}

/** Returns an empty table of sizes. */
export function createRouteSizes(): RouteSizes {
  return { byRoute: new Map() };
}

/** Returns the cost of a job's prompt and its longest possible answer, in prefill tokens. */
export function jobSize(job: Job): number {
  const promptTokens = job.parts.reduce((sum, part) => sum + part.tokens, 0);
  return promptTokens + OUTPUT_TOKEN_WEIGHT * job.outputTokens;
}

/** Adds a job's size to the mean of its route. */
export function recordSize(sizes: RouteSizes, job: Job): void {
  const known = sizes.byRoute.get(job.route) ?? { mean: 0, count: 0 };
  known.count = Math.min(MAX_MEAN_SAMPLES, known.count + 1);
  known.mean += (jobSize(job) - known.mean) / known.count;
  sizes.byRoute.set(job.route, known);
}

/** Returns the value of serving a job; 1 for an average size and the highest priority. */
export function jobValue(sizes: RouteSizes, job: Job): number {
  const mean = sizes.byRoute.get(job.route)?.mean ?? 0;
  const relative = mean > 0 ? jobSize(job) / mean : 1;
  const value = Math.min(MAX_VALUE, BASE_VALUE + (1 - BASE_VALUE) * relative);
  return value * VALUE_RATIO_PER_PRIORITY ** job.priority;
}

/** Value factor of a late answer. It is above zero because callers still want late answers. */
const LATE_VALUE_FACTOR = 0.15;
/**
 * Value factor of a late answer if the caller was refused before and would otherwise be refused
 * again.
 */
const LATE_RETRY_VALUE_FACTOR = 0.5;
/** Value factor of a starved size or workspace, so that it is served among other jobs. */
const STARVED_VALUE_FACTOR = 20;

/** Properties of a job that determine its rank. */
export interface Standing {
  /** Value of the job if it is on time. */
  readonly value: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly isRetry: boolean;
  /** Whether the job ranks before new jobs of its priority. */
  readonly precedesNewJobs: boolean;
  readonly isStarved: boolean;
}

/** Predicted result of an engine serving a job. */
export interface ServiceEstimate {
  readonly standing: Standing;
  /** Engine time that the job needs. */
  readonly serviceMs: number;
  /** Tokens that would be stored on a second engine. */
  readonly copiedTokens: number;
  /** Time at which the first event would reach the caller. */
  readonly firstEventAtMs: number;
  readonly aimAtMs: number;
}

/** Returns whether the first event would meet its latency goal. */
export function isOnTime(estimate: ServiceEstimate): boolean {
  return estimate.firstEventAtMs <= estimate.aimAtMs;
}

/** Returns the value of serving a job per millisecond of engine time. */
export function valuePerMs(estimate: ServiceEstimate): number {
  const { value, isRetry, isStarved } = estimate.standing;
  const lateFactor = isRetry ? LATE_RETRY_VALUE_FACTOR : LATE_VALUE_FACTOR;
  const timelinessFactor = isOnTime(estimate) || isStarved ? 1 : lateFactor;
  const starvationFactor = isStarved ? STARVED_VALUE_FACTOR : 1;
  return (value * timelinessFactor * starvationFactor) / Math.max(1, estimate.serviceMs);
}

/** Compares two jobs for one engine; negative if `left` ranks first. */
export type JobOrder = (left: ServiceEstimate, right: ServiceEstimate) => number;

/** Sorts retries before new jobs of their priority and otherwise by descending value. */
export const compareValue: JobOrder = (left, right) =>
  compareRetries(left.standing, right.standing) || valuePerMs(right) - valuePerMs(left);

function compareRetries(left: Standing, right: Standing): number {
  if (left.priority !== right.priority || left.isStarved !== right.isStarved) return 0;
  return Number(right.precedesNewJobs) - Number(left.precedesNewJobs);
}
