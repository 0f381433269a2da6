/**
 * Sheds load: decides which jobs are refused on arrival or while they are queued. During an
 * overload of many seconds a refusal is issued as early as possible, because a caller that waits
 * for one has waited in vain.
 */
import { type Decision, DecisionKind, type Job, RefusalReason } from './job.js';
import { type PlacementOption, estimateQueuedService } from './placement.js';
import { isOnTime } from './ranking.js';
import { recordRefusal } from './refused-requests.js';
import type { QueuedJob, Scheduler } from './scheduler-state.js';
import { type TargetLoad, pendingPrefillMs } from './target-load.js';
import { dequeue, queueOf } from './job-queues.js';

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
  if (isOnTime(estimate)) return null;
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

/** Refuses a job and records the refusal, because its caller is expected to retry. */
export function refuse(
  scheduler: Scheduler,
  job: Job,
  reason: RefusalReason,
  aheadMs: number,
  nowMs: number,
  availableInMs = 0,
): Decision {
  const retryAfterMs = Math.max(scheduler.options.minRetryAfterMs, aheadMs, availableInMs);
  const decision: Decision = {
    kind: DecisionKind.Refuse,
    jobId: job.id,
    reason,
    retryAfterMs,
    aheadMs,
    waitingJobs: scheduler.queuedJobs.size,
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
  for (const queuedJob of [...scheduler.queuedJobs.values()]) {
    const { job, lastPolledAtMs, target } = queuedJob;
    if (lastPolledAtMs + scheduler.options.abandonedAfterMs < nowMs) {
      dequeue(scheduler, job.id);
      continue;
    }
    const load = scheduler.targets.get(target);
    if (load === undefined) {
      if (job.deadlineAtMs > nowMs) continue;
      decisions.push(refuse(scheduler, job, RefusalReason.NoTarget, 0, nowMs));
      continue;
    }
    const aheadMs = pendingPrefillMs(load, nowMs);
    const reason = waitingRefusalReason(scheduler, queuedJob, load, nowMs);
    if (reason !== null) decisions.push(refuse(scheduler, job, reason, aheadMs, nowMs));
  }
  return decisions;
}

/** Returns why a queued job should be refused now, or null if it should stay queued. */
function waitingRefusalReason(
  scheduler: Scheduler,
  queuedJob: QueuedJob,
  load: TargetLoad,
  nowMs: number,
): RefusalReason | null {
  const startAtMs = nowMs + pendingPrefillMs(load, nowMs);
  const estimate = estimateQueuedService(scheduler, load, queuedJob, startAtMs, nowMs);
  if (estimate.firstEventAtMs > queuedJob.job.deadlineAtMs) return RefusalReason.TooLate;
  if (isOnTime(estimate)) {
    queuedJob.lateSinceMs = null;
    return null;
  }
  queuedJob.lateSinceMs ??= nowMs;
  const lateForMs = nowMs - queuedJob.lateSinceMs;
  return lateForMs > scheduler.options.maxLateWaitMs ? RefusalReason.Overload : null;
}
