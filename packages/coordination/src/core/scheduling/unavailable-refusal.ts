/**
 * Refuses jobs for which every engine that decodes is leaving, has failed the job, or wants no
 * requests of the job's gateway. Such a job would wait until its caller's deadline. It is refused
 * immediately, with the time after which its gateway may use an engine again.
 */
import { type Decision, type Job, RefusalReason } from './job.js';
import { refuse } from './load-shedding.js';
import type { Scheduler } from './scheduler-state.js';
import { canDecode, isShuttingDown } from './target-load.js';

/** Refuses a job that no engine may decode; returns null otherwise. */
export function unavailableRefusal(scheduler: Scheduler, job: Job, nowMs: number): Decision | null {
  let hasDecodeEngine = false;
  for (const load of scheduler.targets.values()) {
    if (!canDecode(load)) continue;
    hasDecodeEngine = true;
    if (!isShuttingDown(load) && !job.avoid.includes(load.entry.id)) return null;
  }
  // Without any engine that decodes, a change of phases is under way.
  if (!hasDecodeEngine) return null;
  const availableInMs = Math.max(0, job.avoidUntilMs - nowMs);
  return refuse(scheduler, job, RefusalReason.NoTarget, 0, nowMs, availableInMs);
}
