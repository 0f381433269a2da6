/**
 * The waiting lines of a service's engines. One gateway runs the scheduler of a service for all of
 * them: it sees every prompt, so it knows what each engine has still to read and what its cache
 * holds. A job joins the line of the engine that would answer it first; an engine whose line is
 * empty takes a job from another one. State and messages in, decisions out.
 */
import { dispatch } from './dispatching.js';
import { type Decision, type Job, type JobEvent, JobEventKind, RefusalReason } from './job.js';
import { bestPlace } from './placing.js';
import { forgetParts, notePrompt } from './prompt-cache.js';
import { jobSize, jobValue, noteSize } from './ranking.js';
import { noteReading } from './read-time.js';
import { rateLimitRefusal } from './rate-limited.js';
import { admissionRefusal, refuse, refuseHopeless } from './refusing.js';
import { isReturner } from './returners.js';
import type { Scheduler, Waiting } from './scheduler-state.js';
import { noteAskedSize } from './size-fairness.js';
import {
  type TargetLoad,
  endReading,
  noteBreak,
  noteFailure,
  noteSuccess,
  unreadOf,
} from './target-load.js';
import { joinLine, leaveLine } from './waiting-lines.js';

/** Takes a job in, or hears again of one that waits or is decided. */
export function submitJob(scheduler: Scheduler, job: Job, nowMs: number): readonly Decision[] {
  const decided = scheduler.decided.get(job.id);
  if (decided !== undefined) return [decided.decision];
  const known = scheduler.waiting.get(job.id);
  if (known !== undefined) {
    known.askedAtMs = nowMs;
    return [];
  }
  const waiting = admit(scheduler, job, nowMs);
  const limited = rateLimitRefusal(scheduler, job, nowMs);
  if (limited !== null) return [limited];
  const place = bestPlace(scheduler, waiting, nowMs);
  if (place === null) return [refuse(scheduler, job, RefusalReason.NoTarget, 0, nowMs)];
  const refusal = admissionRefusal(scheduler, waiting, place, nowMs);
  if (refusal !== null) return [refuse(scheduler, job, refusal, place.aheadMs, nowMs)];
  joinLine(scheduler, waiting, place.load.entry.id);
  return dispatch(scheduler, nowMs);
}

/** Takes in what a gateway reports of its jobs. */
export function noteJobEvents(
  scheduler: Scheduler,
  events: readonly JobEvent[],
  nowMs: number,
): readonly Decision[] {
  for (const event of events) noteJobEvent(scheduler, event, nowMs);
  return dispatch(scheduler, nowMs);
}

/** Lets time pass: jobs that became hopeless are refused, engines that fell idle get work. */
export function tickScheduler(scheduler: Scheduler, nowMs: number): readonly Decision[] {
  for (const [id, running] of scheduler.decided) {
    if (running.forgetAtMs > nowMs) continue;
    scheduler.decided.delete(id);
    forgetJob(scheduler, id);
  }
  return [...refuseHopeless(scheduler, nowMs), ...dispatch(scheduler, nowMs)];
}

function admit(scheduler: Scheduler, job: Job, nowMs: number): Waiting {
  noteSize(scheduler.sizes, job);
  return {
    job,
    sizeClass: noteAskedSize(scheduler.fairness, job.route, jobSize(job)),
    returned: isReturner(scheduler.returners, job, nowMs),
    value: jobValue(scheduler.sizes, job),
    submittedAtMs: nowMs,
    askedAtMs: nowMs,
    lateSinceMs: null,
    target: '',
    estimate: null,
  };
}

function noteJobEvent(scheduler: Scheduler, event: JobEvent, nowMs: number): void {
  const load = scheduler.targets.get(event.target);
  const isOver = event.kind === JobEventKind.Ended || event.kind === JobEventKind.Served;
  if (isOver) forgetJob(scheduler, event.jobId);
  if (load === undefined) return;
  if (event.kind === JobEventKind.Served) noteSuccess(load);
  if (event.kind === JobEventKind.Failed) noteFailure(load, scheduler.options, nowMs);
  if (event.kind === JobEventKind.Broke) noteBreak(load, scheduler.options, nowMs);
  if (event.kind === JobEventKind.Read) noteRead(scheduler, load, event.jobId, nowMs);
}

/** Nothing of a job runs any more; a prompt that was not read to its end is not in the cache. */
function forgetJob(scheduler: Scheduler, jobId: string): void {
  leaveLine(scheduler, jobId);
  for (const load of scheduler.targets.values()) {
    const reading = endReading(load, jobId);
    if (reading !== null) forgetParts(load.cache, unreadOf(reading));
    load.streaming.delete(jobId);
  }
}

function noteRead(scheduler: Scheduler, load: TargetLoad, jobId: string, nowMs: number): void {
  noteSuccess(load);
  const reading = endReading(load, jobId);
  if (reading === null) return;
  // The engine that goes on keeps what it fetches like what it read itself.
  for (const other of scheduler.targets.values()) {
    if (other !== load && other.streaming.has(jobId)) notePrompt(other.cache, reading.parts);
  }
  const begunAtMs = Math.max(reading.startedAtMs, load.lastReadEndAtMs);
  load.lastReadEndAtMs = nowMs;
  noteReading(load.readTime, reading.tokens, nowMs - begunAtMs);
}
