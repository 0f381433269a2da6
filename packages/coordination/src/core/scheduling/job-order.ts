/** Selects the order in which a service's jobs are given to engines. */
import { isActive } from './activation.js';
import { type JobOrder, type ServiceEstimate, compareValue, isOnTime } from './ranking.js';
import { lateJobsWait } from './late-jobs.js';
import type { QueuedJob, Scheduler } from './scheduler-state.js';
import { compareUrgency } from './urgency-order.js';
import { isWorkspaceStarved, recordWorkspaceRequest } from './workspace-fairness.js';

/** Returns the order in force. */
export function jobOrderOf(scheduler: Scheduler): JobOrder {
  if (ranksByUrgency(scheduler)) return compareUrgency;
  return lateJobsWait(scheduler) ? compareValueTimelyFirst : compareValue;
}

/** Sorts by value with late jobs last, which are not to delay others. */
const compareValueTimelyFirst: JobOrder = (left, right) =>
  Number(goesBeforeLateJobs(right)) - Number(goesBeforeLateJobs(left)) || compareValue(left, right);

function goesBeforeLateJobs(estimate: ServiceEstimate): boolean {
  return isOnTime(estimate) || estimate.standing.isStarved;
}

function ranksByUrgency({ options, prioritiesDiffer }: Scheduler): boolean {
  return isActive(options.urgencyOrder, prioritiesDiffer);
}

/** Counts a request of a route. Repeats of a request must not be counted. */
export function recordRouteRequest(scheduler: Scheduler, route: string, nowMs: number): void {
  if (ranksByUrgency(scheduler)) recordWorkspaceRequest(scheduler.routes, route, nowMs);
}

/**
 * Returns whether a job's route is served less than half as often as the service. Its jobs then rank
 * first: by urgency alone, the least urgent route would not be served during a long overload.
 */
export function isRouteStarved(scheduler: Scheduler, { job }: QueuedJob): boolean {
  return ranksByUrgency(scheduler) && isWorkspaceStarved(scheduler.routes, job.route);
}
