/**
 * Which jobs are turned away, at their arrival or while they wait. The load pattern: more work than
 * the engines can do for many seconds. A refusal comes as early as it can be known, since a caller
 * who waits for one has waited for nothing.
 */
import { type Decision, DecisionKind, type Job, RefusalReason } from './job.js';
import { type Place, offerInLine } from './placing.js';
import { isOnTime } from './ranking.js';
import { noteRefused } from './returners.js';
import type { Scheduler, Waiting } from './scheduler-state.js';
import { type TargetLoad, pendingReadMs } from './target-load.js';
import { leaveLine, lineOf } from './waiting-lines.js';

/** How long a decision is remembered after its job's deadline. */
const REMEMBER_MS = 1000;

/**
 * Whether a job is turned away at its arrival. Guards against a line that only grows: it shows as
 * every caller waiting until just before its patience ends. What can't be read before the caller
 * leaves is refused at once; of what would be late, only as much waits as an engine can soon do.
 */
export function admissionRefusal(
  scheduler: Scheduler,
  waiting: Waiting,
  place: Place,
  nowMs: number,
): RefusalReason | null {
  const { offer } = place;
  if (offer.firstEventAtMs > waiting.job.deadlineAtMs) return RefusalReason.TooLate;
  if (isOnTime(offer)) return null;
  const isIdle = place.aheadMs <= scheduler.options.lookaheadMs;
  const backlogMs = lateBacklogMs(scheduler, place.load, nowMs);
  const { returned, starved } = offer.standing;
  const ownMs = returned || starved ? 0 : offer.serviceMs;
  const isBacklogged = backlogMs + ownMs > scheduler.options.maxLateBacklogMs;
  return !isIdle && isBacklogged ? RefusalReason.Overload : null;
}

function lateBacklogMs(scheduler: Scheduler, load: TargetLoad, nowMs: number): number {
  let backlogMs = 0;
  const startAtMs = nowMs + pendingReadMs(load, nowMs);
  for (const waiting of lineOf(scheduler, load.entry.id)) {
    const offer = offerInLine(scheduler, load, waiting, startAtMs, nowMs);
    if (!isOnTime(offer)) backlogMs += offer.serviceMs;
  }
  return backlogMs;
}

/** Refuses a job, and remembers its caller, who will come back. */
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
    waitingJobs: scheduler.waiting.size,
  };
  noteRefused(scheduler.returners, job, nowMs);
  remember(scheduler, job, decision, nowMs);
  return decision;
}

/** Keeps a decision, so that a question asked again gets the same answer. */
export function remember(scheduler: Scheduler, job: Job, decision: Decision, nowMs: number): void {
  leaveLine(scheduler, job.id);
  const forgetAtMs = Math.max(nowMs, job.deadlineAtMs) + REMEMBER_MS;
  scheduler.decided.set(job.id, { decision, forgetAtMs });
}

/** Refuses what has become hopeless, and forgets what nobody asks for any more. */
export function refuseHopeless(scheduler: Scheduler, nowMs: number): readonly Decision[] {
  const decisions: Decision[] = [];
  for (const waiting of [...scheduler.waiting.values()]) {
    const { job, askedAtMs, target } = waiting;
    if (askedAtMs + scheduler.options.forgottenAfterMs < nowMs) {
      leaveLine(scheduler, job.id);
      continue;
    }
    const load = scheduler.targets.get(target);
    if (load === undefined) {
      if (job.deadlineAtMs > nowMs) continue;
      decisions.push(refuse(scheduler, job, RefusalReason.NoTarget, 0, nowMs));
      continue;
    }
    const aheadMs = pendingReadMs(load, nowMs);
    const reason = hopelessReason(scheduler, waiting, load, nowMs);
    if (reason !== null) decisions.push(refuse(scheduler, job, reason, aheadMs, nowMs));
  }
  return decisions;
}

/** Why a waiting job should wait no longer, null while it should. */
function hopelessReason(
  scheduler: Scheduler,
  waiting: Waiting,
  load: TargetLoad,
  nowMs: number,
): RefusalReason | null {
  const startAtMs = nowMs + pendingReadMs(load, nowMs);
  const offer = offerInLine(scheduler, load, waiting, startAtMs, nowMs);
  if (offer.firstEventAtMs > waiting.job.deadlineAtMs) return RefusalReason.TooLate;
  if (isOnTime(offer)) {
    waiting.lateSinceMs = null;
    return null;
  }
  waiting.lateSinceMs ??= nowMs;
  const lateForMs = nowMs - waiting.lateSinceMs;
  return lateForMs > scheduler.options.maxLateWaitMs ? RefusalReason.Overload : null;
}
