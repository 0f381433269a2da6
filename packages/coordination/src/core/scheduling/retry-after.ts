/**
 * Chooses when refused callers return: once the engines have drained the work ahead, one after the
 * other. With one fixed delay for all, the callers of a burst return together and most of them are
 * refused again while engines are idle in between.
 */
import { isActive } from './activation.js';
import { EnginePhase } from '../forwarding/fleet.js';
import type { Job } from './job.js';
import type { QueuedJob, Scheduler } from './scheduler-state.js';
import { type TargetLoad, isUsable, pendingPrefillMs } from './target-load.js';

/** Callers honor a retry delay only up to this share of their remaining time. */
const MAX_SHARE_OF_REMAINING_TIME = 1 / 3;
/** Consecutive multiples of it, modulo 1, are spread evenly however many there are. */
const SPREAD_STEP = (Math.sqrt(5) - 1) / 2;
/** Service time of a queued job whose cost is not known. */
const TYPICAL_SERVICE_MS = 50;

/** The times that refused callers were given. */
export interface RetryTimes {
  /** Time until which returning callers keep the engines busy. */
  occupiedUntilMs: number;
  /** Number of callers whose time was limited by their deadline. */
  limitedCallers: number;
}

/** Returns the state without any refused caller. */
export function createRetryTimes(): RetryTimes {
  return { occupiedUntilMs: -Infinity, limitedCallers: 0 };
}

/** Returns whether retry delays follow the drain rate. */
export function followsDrainRate({ options, prioritiesDiffer }: Scheduler): boolean {
  return isActive(options.drainRateRetries, prioritiesDiffer);
}

/** Returns whether a job precedes new jobs of its priority. */
export function precedesNewJobs(
  { options, prioritiesDiffer }: Scheduler,
  { isRetry }: QueuedJob,
): boolean {
  return isRetry && isActive(options.retriesFirst, prioritiesDiffer);
}

/**
 * Returns the retry delay of a refused caller and reserves the engine time of its retry. Delays
 * that would exceed what the caller honors are spread over the upper half of what it does.
 */
export function drainRateRetryMs(
  scheduler: Scheduler,
  job: Job,
  serviceMs: number,
  nowMs: number,
): number {
  const { retryTimes, options } = scheduler;
  const minMs = options.minRetryAfterMs;
  const maxMs = Math.max(minMs, (job.deadlineAtMs - nowMs) * MAX_SHARE_OF_REMAINING_TIME);
  const { drainMs, engines } = drainTime(scheduler, nowMs);
  const delayMs = Math.max(minMs, drainMs, retryTimes.occupiedUntilMs - nowMs);
  if (delayMs <= maxMs) {
    retryTimes.occupiedUntilMs = nowMs + delayMs + serviceMs / engines;
    return delayMs;
  }
  retryTimes.limitedCallers += 1;
  const spread = (retryTimes.limitedCallers * SPREAD_STEP) % 1;
  return maxMs - ((maxMs - minMs) / 2) * spread;
}

/** Returns the time in which the serving engines drain all work ahead, and their number. */
function drainTime(
  scheduler: Scheduler,
  nowMs: number,
): { readonly drainMs: number; readonly engines: number } {
  let aheadMs = 0;
  let engines = 0;
  for (const load of scheduler.targets.values()) {
    if (!servesPrefills(load, nowMs)) continue;
    engines += 1;
    aheadMs += pendingPrefillMs(load, nowMs);
  }
  for (const queuedJob of scheduler.queuedJobs.values()) aheadMs += knownServiceMs(queuedJob);
  engines = Math.max(1, engines);
  return { drainMs: aheadMs / engines, engines };
}

function servesPrefills(load: TargetLoad, nowMs: number): boolean {
  return load.entry.phase !== EnginePhase.Decode && isUsable(load, nowMs);
}

function knownServiceMs({ cachedCost }: QueuedJob): number {
  return cachedCost?.own?.cost.serviceMs ?? TYPICAL_SERVICE_MS;
}

/**
 * Returns the time until which a job counts as on time. A retry does until its deadline, so that a
 * caller is refused twice only if its answer cannot arrive in time.
 */
export function goalAtMs(scheduler: Scheduler, queuedJob: QueuedJob): number {
  const { job } = queuedJob;
  return precedesNewJobs(scheduler, queuedJob) ? job.deadlineAtMs : job.aimAtMs;
}
