/**
 * Refuses jobs that only rate limits keep from engines, which happens when callers ask for more
 * than the announced limits of the engines allow. Waiting for a permit would only delay the refusal
 * until the caller's deadline. The job is therefore refused immediately, with the time after which
 * a permit will be available.
 */
import { type Decision, type Job, RefusalReason } from './job.js';
import { refuse } from './load-shedding.js';
import type { Scheduler } from './scheduler-state.js';
import { type TargetLoad, canDecode, isHealthy } from './target-load.js';

/**
 * Refuses a job if engines would accept it apart from their rate limits; returns null otherwise.
 */
export function rateLimitRefusal(scheduler: Scheduler, job: Job, nowMs: number): Decision | null {
  const limited = limitedEngines(scheduler, job, nowMs);
  if (limited.length === 0) return null;
  const availableInMs = scheduler.permits.reserveRetryInMs(limited.map(({ entry }) => entry.id));
  return refuse(scheduler, job, RefusalReason.RateLimit, 0, nowMs, availableInMs);
}

/** Returns the engines that could decode a job, or an empty list if any of them has a permit. */
function limitedEngines(scheduler: Scheduler, job: Job, nowMs: number): readonly TargetLoad[] {
  const limited: TargetLoad[] = [];
  for (const load of scheduler.targets.values()) {
    if (!canDecode(load) || !isHealthy(load, nowMs)) continue;
    if (job.avoid.includes(load.entry.id)) continue;
    // A decode engine with a permit can also prefill the prompt if no other engine may.
    if (load.permits.has(load.entry.id)) return [];
    limited.push(load);
  }
  return limited;
}
