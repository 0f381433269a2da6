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

/** The engines that a job waits for: those that make tokens where none of them has a permit. */
function limitedEngines(scheduler: Scheduler, job: Job, nowMs: number): readonly TargetLoad[] {
  const serving = [...scheduler.targets.values()].filter(
    (load) => isServing(load, nowMs) && !job.avoid.includes(load.entry.id),
  );
  const streamers = serving.filter(makesTokens);
  // Those read prompts as well where no other engine may.
  return streamers.some((load) => load.permits.has(load.entry.id)) ? [] : streamers;
}
