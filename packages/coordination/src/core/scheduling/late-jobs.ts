/**
 * Lets jobs that would be late wait for capacity that no job needs to be on time. Without it,
 * requests are refused while engines are idle a moment later. A late job starts only on
 * an engine with nothing else to do. Admission bounds the late work of an engine (`load-shedding`).
 */
import { isActive } from './activation.js';
import { type ServiceEstimate, isOnTime } from './ranking.js';
import type { Scheduler } from './scheduler-state.js';
import { type TargetLoad, pendingPrefillMs } from './target-load.js';

/** Returns whether late jobs wait for idle engines. */
export function lateJobsWait({ options, prioritiesDiffer }: Scheduler): boolean {
  return isActive(options.lateJobsWait, prioritiesDiffer);
}

/** Returns whether a job may start only on an engine with nothing else to do. */
export function isDeferrable(scheduler: Scheduler, estimate: ServiceEstimate): boolean {
  return lateJobsWait(scheduler) && !isOnTime(estimate) && !estimate.standing.isStarved;
}

/** Returns whether an engine would begin a job on arrival, so that a late job delays no other. */
export function isIdle(load: TargetLoad, nowMs: number): boolean {
  return pendingPrefillMs(load, nowMs) === 0;
}
