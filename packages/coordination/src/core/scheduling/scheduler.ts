/**
 * Schedules the jobs of a service onto its engines. One gateway runs the scheduler for all
 * gateways: it sees every prompt and therefore knows the pending prefills and the cache contents of
 * each engine. A job joins the queue of the engine that would answer it first, and an engine with
 * an empty queue steals work from another one. The functions do no I/O: they update the state and
 * return decisions.
 */
import { dispatch } from './dispatch.js';
import { beginStream, recordPrefillSpeed, recordStreamSpeed } from './engine-speeds.js';
import { type Decision, type Job, type JobEvent, JobEventKind, RefusalReason } from './job.js';
import { recordRouteRequest } from './job-order.js';
import { choosePlacement } from './placement.js';
import { recordPrompt, removeParts } from './prompt-cache.js';
import { jobSize, jobValue, recordSize } from './ranking.js';
import { rateLimitRefusal } from './rate-limit-refusal.js';
import { admissionRefusal, refuse, refuseForLoad, refuseUnservableJobs } from './load-shedding.js';
import { unavailableRefusal } from './unavailable-refusal.js';
import { wasRecentlyRefused } from './refused-requests.js';
import type { QueuedJob, Scheduler } from './scheduler-state.js';
import { recordRequestedSize } from './size-fairness.js';
import { recordWorkspaceRequest } from './workspace-fairness.js';
import {
  type Prefill,
  type TargetLoad,
  endPrefill,
  endStream,
  recordBrokenAnswer,
  recordFailure,
  recordSuccess,
  uncachedPartsOf,
} from './target-load.js';
import { dequeue, enqueue } from './job-queues.js';

/** Accepts a new job, or handles a repeated request for a job that is queued or decided. */
export function submitJob(scheduler: Scheduler, job: Job, nowMs: number): readonly Decision[] {
  const decided = scheduler.decided.get(job.id);
  if (decided !== undefined) return [decided.decision];
  const alreadyQueued = scheduler.queuedJobs.get(job.id);
  if (alreadyQueued !== undefined) {
    alreadyQueued.lastPolledAtMs = nowMs;
    const { avoid, avoidUntilMs } = job;
    alreadyQueued.job = { ...alreadyQueued.job, avoid, avoidUntilMs };
    return [];
  }
  const queuedJob = createQueuedJob(scheduler, job, nowMs);
  const limitRefusal = rateLimitRefusal(scheduler, job, nowMs);
  if (limitRefusal !== null) return [limitRefusal];
  const unavailable = unavailableRefusal(scheduler, job, nowMs);
  if (unavailable !== null) return [unavailable];
  const placement = choosePlacement(scheduler, queuedJob, nowMs);
  if (placement === null) return [refuse(scheduler, job, RefusalReason.NoTarget, 0, nowMs)];
  const refusal = admissionRefusal(scheduler, queuedJob, placement, nowMs);
  if (refusal !== null) {
    const work = { aheadMs: placement.aheadMs, serviceMs: placement.estimate.serviceMs };
    return [refuseForLoad(scheduler, job, refusal, work, nowMs)];
  }
  enqueue(scheduler, queuedJob, placement.load.entry.id);
  return dispatch(scheduler, nowMs);
}

/** Handles the events that a gateway reports about its jobs. */
export function handleJobEvents(
  scheduler: Scheduler,
  events: readonly JobEvent[],
  nowMs: number,
): readonly Decision[] {
  for (const event of events) handleJobEvent(scheduler, event, nowMs);
  return dispatch(scheduler, nowMs);
}

/**
 * Advances time: refuses jobs that can no longer be served in time and gives work to idle engines.
 */
export function tickScheduler(scheduler: Scheduler, nowMs: number): readonly Decision[] {
  for (const [id, running] of scheduler.decided) {
    if (running.expiresAtMs > nowMs) continue;
    scheduler.decided.delete(id);
    removeJob(scheduler, id);
  }
  return [...refuseUnservableJobs(scheduler, nowMs), ...dispatch(scheduler, nowMs)];
}

function createQueuedJob(scheduler: Scheduler, job: Job, nowMs: number): QueuedJob {
  recordSize(scheduler.sizes, job);
  const isRetry = wasRecentlyRefused(scheduler.refusedRequests, job, nowMs);
  if (!isRetry) recordRouteRequest(scheduler, job.route, nowMs);
  if (job.workspace !== null && !isRetry) {
    recordWorkspaceRequest(scheduler.workspaces, job.workspace, nowMs);
  }
  return {
    job,
    sizeClass: recordRequestedSize(scheduler.fairness, job.route, jobSize(job)),
    isRetry,
    value: jobValue(scheduler.sizes, job),
    submittedAtMs: nowMs,
    lastPolledAtMs: nowMs,
    lateSinceMs: null,
    target: '',
    cachedCost: null,
  };
}

function handleJobEvent(scheduler: Scheduler, event: JobEvent, nowMs: number): void {
  const load = scheduler.targets.get(event.target);
  const hasEnded = event.kind === JobEventKind.Ended || event.kind === JobEventKind.Served;
  if (event.kind === JobEventKind.Served && load !== undefined) {
    recordStreamSpeed(load.speed, event.jobId, nowMs);
  }
  if (hasEnded) removeJob(scheduler, event.jobId);
  if (load === undefined) return;
  if (event.kind === JobEventKind.Served) recordSuccess(load);
  if (event.kind === JobEventKind.Leaving) load.isLeaving = true;
  if (event.kind === JobEventKind.Failed) recordFailure(load, scheduler.options, nowMs);
  if (event.kind === JobEventKind.Broke) recordBrokenAnswer(load, scheduler.options, nowMs);
  if (event.kind === JobEventKind.Read) completePrefill(scheduler, load, event.jobId, nowMs);
}

/** Removes all state of a job. A prompt whose prefill did not finish is not in the cache. */
function removeJob(scheduler: Scheduler, jobId: string): void {
  dequeue(scheduler, jobId);
  for (const load of scheduler.targets.values()) {
    const prefill = endPrefill(load, jobId);
    if (prefill !== null) removeParts(load.cache, uncachedPartsOf(prefill));
    endStream(load, jobId);
    load.speed.streams.delete(jobId);
  }
}

function completePrefill(
  scheduler: Scheduler,
  load: TargetLoad,
  jobId: string,
  nowMs: number,
): void {
  recordSuccess(load);
  const prefill = endPrefill(load, jobId);
  if (prefill === null) return;
  noteStreamBegins(scheduler, prefill, nowMs);
  // The decode engine keeps the parts that it fetches, just like the parts that it prefills.
  for (const other of scheduler.targets.values()) {
    if (other !== load && other.streaming.has(jobId)) recordPrompt(other.cache, prefill.parts);
  }
  const startedAtMs = Math.max(prefill.startedAtMs, load.lastPrefillEndAtMs);
  load.lastPrefillEndAtMs = nowMs;
  const queuedMs = startedAtMs - prefill.startedAtMs;
  const durationMs = Math.max(0, nowMs - startedAtMs - prefill.transferMs);
  recordPrefillSpeed(load, { tokens: prefill.tokens, durationMs, queuedMs }, nowMs);
}

/** Records that the decode engine of a prefilled prompt begins with its stream. */
function noteStreamBegins(
  scheduler: Scheduler,
  { jobId, outputTokens }: Prefill,
  nowMs: number,
): void {
  for (const { speed, streaming, entry } of scheduler.targets.values()) {
    if (!streaming.has(jobId)) continue;
    beginStream(speed, jobId, outputTokens, streaming.size, entry.slots, nowMs);
  }
}
