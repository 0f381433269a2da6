/**
 * Jobs that only rate limits keep from engines. The load pattern: engines in need name limits, and
 * more is asked for than they take together. Waiting for a permit would only move the refusal to the
 * end of the caller's patience, so it comes at once and says when there will be one.
 */
import { type Decision, type Job, RefusalReason } from './job.js';
import { refuse } from './refusing.js';
import type { Scheduler } from './scheduler-state.js';
import { type TargetLoad, isServing, makesTokens } from './target-load.js';

/** Refuses a job where engines would take it but for their rate limits; null otherwise. */
export function rateLimitRefusal(scheduler: Scheduler, job: Job, nowMs: number): Decision | null {
  const limited = limitedEngines(scheduler, job, nowMs);
  if (limited.length === 0) return null;
  const availableInMs = scheduler.permits.askBackInMs(limited.map(({ entry }) => entry.id));
  return refuse(scheduler, job, RefusalReason.RateLimit, 0, nowMs, availableInMs);
}

/** The engines that make tokens and could take a job, where none of them has a permit. */
function limitedEngines(scheduler: Scheduler, job: Job, nowMs: number): readonly TargetLoad[] {
  const limited: TargetLoad[] = [];
  for (const load of scheduler.targets.values()) {
    if (!makesTokens(load) || !isServing(load, nowMs)) continue;
    if (job.avoid.includes(load.entry.id)) continue;
    // It reads the prompt as well where no other engine may.
    if (load.permits.has(load.entry.id)) return [];
    limited.push(load);
  }
  return limited;
}
