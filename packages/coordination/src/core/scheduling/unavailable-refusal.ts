/**
 * Refuses jobs for which every engine that decodes is leaving or wants no requests of
 * the job's gateway. Such a job would wait until its caller's deadline. It is refused
 * immediately, with the time after which its gateway may use an engine again.
 */
import { type Decision, type Job, RefusalReason } from './job.js';
import { refuse } from './load-shedding.js';
import type { Scheduler } from './scheduler-state.js';
import { canDecode, isShuttingDown } from './target-load.js';

/** Refuses a job that no engine may decode; returns null otherwise. */
export function unavailableRefusal(scheduler: Scheduler, job: Job, nowMs: number): Decision | null {
  // An engine that only failed this job may be replaced before the caller's deadline.
  const isUnavailableToGateway = job.avoidUntilMs > nowMs;
  let hasDecodeEngine = false;
  for (const load of scheduler.targets.values()) {
    if (!canDecode(load)) continue;
    hasDecodeEngine = true;
    const isAvoided = isUnavailableToGateway && job.avoid.includes(load.entry.id);
    if (!isShuttingDown(load) && !isAvoided) return null;
  }
  // Without any engine that decodes, a change of phases is under way.
  if (!hasDecodeEngine) return null;
  const availableInMs = Math.max(0, job.avoidUntilMs - nowMs);
  return refuse(scheduler, job, RefusalReason.NoTarget, 0, nowMs, availableInMs);
}
