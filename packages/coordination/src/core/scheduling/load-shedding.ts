/**
 * Sheds load: decides which jobs are refused on arrival or while they are queued. During an
 * overload of many seconds a refusal is issued as early as possible, because a caller that waits
 * for one has waited in vain.
 */
import { type Decision, DecisionKind, type Job, RefusalReason } from './job.js';
import { isDeferrable, lateJobsWait } from './late-jobs.js';
import { type PlacementOption, estimateQueuedService } from './placement.js';
import { type ServiceEstimate, isOnTime } from './ranking.js';
import { recordRefusal, wasRecentlyRefused } from './refused-requests.js';
import { drainRateRetryMs, followsDrainRate } from './retry-after.js';
import type { QueuedJob, Scheduler } from './scheduler-state.js';
import { type TargetLoad, pendingPrefillMs } from './target-load.js';
import { dequeue, queueOf } from './job-queues.js';

type Refusal = Extract<Decision, { readonly kind: DecisionKind.Refuse }>;

/**
 * Share of the shortest time to a deadline among the late jobs of an engine that its queued work may
 * take. The rest is left to jobs that arrive later and go first.
 */
const MAX_SHARE_OF_DEADLINE = 0.5;

/** How long a decision is kept after the job's deadline. */
const DECISION_RETENTION_MS = 1000;

/**
 * Returns why a job is refused on arrival, or null if it is admitted. A job that cannot be answered
 * before its caller's deadline is refused immediately. Jobs that would be late are admitted only up
 * to the backlog that the engine can soon serve. Without this limit the queue grows until every
 * caller waits almost until its deadline.
 */
export function admissionRefusal(
  scheduler: Scheduler,
  queuedJob: QueuedJob,
  placement: PlacementOption,
  nowMs: number,
): RefusalReason | null {
  const { estimate } = placement;
  if (estimate.firstEventAtMs > queuedJob.job.deadlineAtMs) return RefusalReason.TooLate;
  const { size } = queueOf(scheduler, placement.load.entry.id);
  if (size >= scheduler.options.maxQueuedJobsPerEngine) return RefusalReason.Overload;
  if (isOnTime(estimate)) return null;
  if (lateJobsWait(scheduler)) {
    const hasRoom = hasRoomForLateJob(scheduler, queuedJob, placement, nowMs);
    return hasRoom ? null : RefusalReason.Overload;
  }
  const isIdle = placement.aheadMs <= scheduler.options.lookaheadMs;
  const backlogMs = lateBacklogMs(scheduler, placement.load, nowMs);
  const { isRetry, isStarved } = estimate.standing;
  const addedMs = isRetry || isStarved ? 0 : estimate.serviceMs;
  const isBacklogged = backlogMs + addedMs > scheduler.options.maxLateBacklogMs;
  return !isIdle && isBacklogged ? RefusalReason.Overload : null;
}

function lateBacklogMs(scheduler: Scheduler, load: TargetLoad, nowMs: number): number {
  let backlogMs = 0;
  const startAtMs = nowMs + pendingPrefillMs(load, nowMs);
  for (const queuedJob of queueOf(scheduler, load.entry.id)) {
    const estimate = estimateQueuedService(scheduler, load, queuedJob, startAtMs, nowMs);
    if (!isOnTime(estimate)) backlogMs += estimate.serviceMs;
  }
  return backlogMs;
}

/** Returns whether the work queued for an engine leaves room for a job that would be late. */
function hasRoomForLateJob(
  scheduler: Scheduler,
  { job }: QueuedJob,
  { load, estimate }: PlacementOption,
  nowMs: number,
): boolean {
  const startAtMs = nowMs + pendingPrefillMs(load, nowMs);
  let workMs = startAtMs - nowMs + estimate.serviceMs;
  let firstDeadlineAtMs = job.deadlineAtMs;
  for (const other of queueOf(scheduler, load.entry.id)) {
    const otherEstimate = estimateQueuedService(scheduler, load, other, startAtMs, nowMs);
    workMs += otherEstimate.serviceMs;
    if (isOnTime(otherEstimate)) continue;
    firstDeadlineAtMs = Math.min(firstDeadlineAtMs, other.job.deadlineAtMs);
  }
  return workMs <= (firstDeadlineAtMs - nowMs) * MAX_SHARE_OF_DEADLINE;
}

/** Refuses a job for lack of capacity. `serviceMs` is the engine time that its retry will need. */
export function refuseForLoad(
  scheduler: Scheduler,
  job: Job,
  reason: RefusalReason,
  { aheadMs, serviceMs }: { readonly aheadMs: number; readonly serviceMs: number },
  nowMs: number,
): Decision {
  if (!followsDrainRate(scheduler)) return refuse(scheduler, job, reason, aheadMs, nowMs);
  const retryAfterMs = drainRateRetryMs(scheduler, job, serviceMs, nowMs);
  return recordRefused(scheduler, job, { reason, aheadMs, retryAfterMs }, nowMs);
}

/** Refuses a job; its caller is to retry when the work ahead is done and a target is available. */
export function refuse(
  scheduler: Scheduler,
  job: Job,
  reason: RefusalReason,
  aheadMs: number,
  nowMs: number,
  availableInMs = 0,
): Decision {
  const retryAfterMs = Math.max(scheduler.options.minRetryAfterMs, aheadMs, availableInMs);
  return recordRefused(scheduler, job, { reason, aheadMs, retryAfterMs }, nowMs);
}

/** Records a refusal, because its caller is expected to retry. */
function recordRefused(
  scheduler: Scheduler,
  job: Job,
  refusal: Pick<Refusal, 'reason' | 'aheadMs' | 'retryAfterMs'>,
  nowMs: number,
): Decision {
  const decision: Refusal = {
    kind: DecisionKind.Refuse,
    jobId: job.id,
    ...refusal,
    waitingJobs: scheduler.queuedJobs.size,
    isRetry: wasRecentlyRefused(scheduler.refusedRequests, job, nowMs),
  };
  recordRefusal(scheduler.refusedRequests, job, nowMs);
  recordDecision(scheduler, job, decision, nowMs);
  return decision;
}

/** Stores a decision so that a repeated request gets the same answer. */
export function recordDecision(
  scheduler: Scheduler,
  job: Job,
  decision: Decision,
  nowMs: number,
): void {
  dequeue(scheduler, job.id);
  const expiresAtMs = Math.max(nowMs, job.deadlineAtMs) + DECISION_RETENTION_MS;
  scheduler.decided.set(job.id, { decision, expiresAtMs });
}

/**
 * Refuses queued jobs that can no longer be served in time, and drops jobs that their gateway no
 * longer polls.
 */
export function refuseUnservableJobs(scheduler: Scheduler, nowMs: number): readonly Decision[] {
  const decisions: Decision[] = [];
  const waiting: WaitingJob[] = [];
  for (const queuedJob of [...scheduler.queuedJobs.values()]) {
    const { job, lastPolledAtMs, target } = queuedJob;
    if (lastPolledAtMs + scheduler.options.abandonedAfterMs < nowMs) {
      dequeue(scheduler, job.id);
      continue;
    }
    const load = scheduler.targets.get(target);
    if (load !== undefined) {
      const aheadMs = pendingPrefillMs(load, nowMs);
      const estimate = estimateQueuedService(scheduler, load, queuedJob, nowMs + aheadMs, nowMs);
      waiting.push({ queuedJob, aheadMs, estimate });
    } else if (job.deadlineAtMs <= nowMs) {
      decisions.push(refuse(scheduler, job, RefusalReason.NoTarget, 0, nowMs));
    }
  }
  const timelyMs = timelyWorkMs(scheduler, waiting);
  for (const each of waiting) {
    const { queuedJob, aheadMs, estimate } = each;
    const reason = waitingRefusalReason(scheduler, each, timelyMs, nowMs);
    if (reason === null) continue;
    const work = { aheadMs, serviceMs: estimate.serviceMs };
    decisions.push(refuseForLoad(scheduler, queuedJob.job, reason, work, nowMs));
  }
  return decisions;
}

/** A queued job and its result if its engine served it next. */
interface WaitingJob {
  readonly queuedJob: QueuedJob;
  readonly aheadMs: number;
  readonly estimate: ServiceEstimate;
}

/** Returns the queued engine time that goes before late jobs, by engine; empty if they don't wait. */
function timelyWorkMs(
  scheduler: Scheduler,
  waiting: readonly WaitingJob[],
): ReadonlyMap<string, number> {
  const timelyMs = new Map<string, number>();
  if (!lateJobsWait(scheduler)) return timelyMs;
  for (const { queuedJob, estimate } of waiting) {
    if (isDeferrable(scheduler, estimate)) continue;
    timelyMs.set(queuedJob.target, (timelyMs.get(queuedJob.target) ?? 0) + estimate.serviceMs);
  }
  return timelyMs;
}

/** Returns why a queued job should be refused now, or null if it should stay queued. */
function waitingRefusalReason(
  scheduler: Scheduler,
  { queuedJob, estimate }: WaitingJob,
  timelyMs: ReadonlyMap<string, number>,
  nowMs: number,
): RefusalReason | null {
  const { deadlineAtMs } = queuedJob.job;
  if (estimate.firstEventAtMs > deadlineAtMs) return RefusalReason.TooLate;
  if (isOnTime(estimate)) {
    queuedJob.lateSinceMs = null;
    return null;
  }
  if (lateJobsWait(scheduler)) {
    const behindMs = isDeferrable(scheduler, estimate) ? (timelyMs.get(queuedJob.target) ?? 0) : 0;
    return estimate.firstEventAtMs + behindMs > deadlineAtMs ? RefusalReason.TooLate : null;
  }
  queuedJob.lateSinceMs ??= nowMs;
  const lateForMs = nowMs - queuedJob.lateSinceMs;
  return lateForMs > scheduler.options.maxLateWaitMs ? RefusalReason.Overload : null;
}
