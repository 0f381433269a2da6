/**
 * What the request machine makes of its stream: tokens, the end, and each way to fail.
 */
import { EventKind } from '../events/event.js';
import { attachTo, attemptOver, decide } from './drive-attempts.js';
import { deliverEnd, takeTokens, tellDiverged } from './drive-delivery.js';
import { isOwn, refuse, settleLoneRun } from './drive-refusals.js';
import { emit, setTimer } from './drive-support.js';
import type { Turn } from './drive-support.js';
import { DriveEffectKind, DriveEventKind } from './drive-messages.js';
import { DrivePhase, DriveTimer, LoneRunEnd } from './drive-types.js';
import type { DriveEvent } from './drive-messages.js';
import { DEADLINE_PASSED, KEY_CONFLICT, OUTCOME_UNKNOWN } from './failures.js';
import { CancelOutcome, StreamFailureReason } from './messages.js';
import type { StreamEnd, StreamFailure } from './messages.js';
import { currentAttempt, joinRecords } from './record.js';

/** The events of a stream. */
export type StreamEvent = Extract<
  DriveEvent,
  {
    kind:
      | DriveEventKind.StreamOpened
      | DriveEventKind.StreamTokens
      | DriveEventKind.StreamEnded
      | DriveEventKind.StreamFailed;
  }
>;

/**
 * Takes an event of a stream. Events of a connection that was left are ignored: they may belong to
 * another attempt, whose text must not be mixed with this one's.
 */
export function onStreamEvent(turn: Turn, event: StreamEvent): void {
  const { drive } = turn;
  if (drive.phase !== DrivePhase.Streaming || drive.connectionId !== event.connectionId) return;
  switch (event.kind) {
    case DriveEventKind.StreamOpened:
      drive.isOpen = true;
      drive.reattachCount = 0;
      return;
    case DriveEventKind.StreamTokens:
      onTokens(turn, event.index, event.tokens);
      return;
    case DriveEventKind.StreamEnded:
      onEnd(turn, event.end);
      return;
    case DriveEventKind.StreamFailed:
      onFailure(turn, event.failure);
  }
}

function onTokens(turn: Turn, index: number, tokens: readonly string[]): void {
  const { drive } = turn;
  if (index > drive.tokens.length) {
    reattachSoon(turn);
    return;
  }
  if (!takeTokens(turn, index, tokens)) {
    tellDiverged(turn);
    return;
  }
  const isCompared = index + tokens.length === drive.tokens.length;
  if (isCompared && drive.attempt !== null) drive.textAttemptId = drive.attempt.id;
}

function onEnd(turn: Turn, end: StreamEnd): void {
  const { drive } = turn;
  const isCompared = drive.tokens.length === 0 || drive.textAttemptId === drive.attempt?.id;
  if (end.tokenCount > drive.tokens.length || (!isCompared && end.tokenCount > 0)) {
    reattachSoon(turn);
    return;
  }
  if (drive.attempt !== null) settleLoneRun(turn, drive.attempt, LoneRunEnd.Finished);
  if (end.tokenCount === drive.tokens.length) deliverEnd(turn, end.ending);
  else tellDiverged(turn);
}

/** A message of the stream went missing: reads on from the last token that came. */
function reattachSoon(turn: Turn): void {
  const { drive } = turn;
  turn.out.push({ kind: DriveEffectKind.CloseStream, connectionId: drive.connectionId });
  drive.connectionId = 0;
  setTimer(turn, DriveTimer.Reattach, turn.context.options.reattachAfterMs);
}

function onFailure(turn: Turn, failure: StreamFailure): void {
  const { drive } = turn;
  if (failure.record?.bodyHash === drive.request.bodyHash) {
    drive.known = joinRecords(drive.known, failure.record);
  }
  switch (failure.reason) {
    case StreamFailureReason.ConnectionLost:
      reattachOrLeave(turn);
      return;
    case StreamFailureReason.Lost:
      onLost(turn);
      return;
    case StreamFailureReason.Superseded:
      onSuperseded(turn, failure);
      return;
    case StreamFailureReason.Expired:
      attemptExpired(turn, failure);
      return;
    case StreamFailureReason.SessionRequired:
      forgetSession(turn);
      attemptOver(turn, failure.mayHaveRun);
      return;
    case StreamFailureReason.EngineCrashed:
      onCrash(turn);
      return;
    case StreamFailureReason.Suspected:
      drive.isSuspect = true;
      attemptOver(turn, failure.mayHaveRun);
      return;
    case StreamFailureReason.TooOld:
    case StreamFailureReason.Busy:
    case StreamFailureReason.Cancelled:
    case StreamFailureReason.EngineFailed:
      attemptOver(turn, failure.mayHaveRun);
  }
}

function reattachOrLeave(turn: Turn): void {
  const { drive, context } = turn;
  drive.connectionId = 0;
  if (drive.attempt !== null && context.isLive(drive.attempt.sidecar)) {
    setTimer(turn, DriveTimer.Reattach, context.options.reattachAfterMs);
    return;
  }
  lossOfTarget(turn);
}

/** The sidecar of the attempt is dead, as far as membership can tell. */
export function lossOfTarget(turn: Turn): void {
  turn.drive.lossCount += 1;
  attemptOver(turn, true, LoneRunEnd.Lost);
}

/** Time to attach again. */
export function reattach(turn: Turn): void {
  const { drive, context } = turn;
  if (drive.phase !== DrivePhase.Streaming || drive.attempt === null) return;
  if (context.isLive(drive.attempt.sidecar)) attachTo(turn, drive.attempt);
  else lossOfTarget(turn);
}

/**
 * The sidecar knows nothing of the attempt. Its dispatch may still be under way: another entry's
 * gets time, and the attempt is taken back before anything else is tried.
 */
function onLost(turn: Turn): void {
  const { drive, context } = turn;
  if (drive.attempt === null) return;
  drive.reattachCount += 1;
  const mayStillCome = !isOwn(turn, drive.attempt);
  if (mayStillCome && drive.reattachCount <= context.options.reattachTries) {
    drive.connectionId = 0;
    setTimer(turn, DriveTimer.Reattach, context.options.reattachAfterMs);
    return;
  }
  cancelAttempt(turn);
}

/** Takes the attempt back, if it has not been received. */
export function cancelAttempt(turn: Turn): void {
  const { drive } = turn;
  if (drive.attempt === null) return;
  drive.phase = DrivePhase.Cancelling;
  turn.out.push({ kind: DriveEffectKind.CancelAttempt, attempt: drive.attempt });
  setTimer(turn, DriveTimer.Cancel, turn.context.options.cancelTimeoutMs);
}

/** The sidecar says whether the attempt was taken back. */
export function onCancelOutcome(turn: Turn, outcome: CancelOutcome): void {
  const { drive, context } = turn;
  if (drive.phase !== DrivePhase.Cancelling || drive.attempt === null) return;
  drive.timerIds.delete(DriveTimer.Cancel);
  if (outcome === CancelOutcome.NeverRuns) {
    drive.neverRan.add(drive.attempt.id);
    drive.over.add(drive.attempt.id);
    settleLoneRun(turn, drive.attempt, LoneRunEnd.Aborted);
  }
  if (drive.pendingFailure !== null) {
    refuse(turn, drive.pendingFailure, context.options.retryAfterMs);
    return;
  }
  if (outcome === CancelOutcome.Started) attachTo(turn, drive.attempt);
  else attemptOver(turn, outcome !== CancelOutcome.NeverRuns);
}

/** The deadline passed while a stream was open or being opened. */
export function onDeadlineInStream(turn: Turn): void {
  const { drive } = turn;
  const startIndex = drive.attempt?.startIndex ?? 0;
  if (drive.tokens.length > startIndex) return;
  drive.pendingFailure = DEADLINE_PASSED.of({ service: drive.request.service });
  cancelAttempt(turn);
}

function attemptExpired(turn: Turn, failure: StreamFailure): void {
  const { drive, context } = turn;
  if (drive.attempt === null) return;
  drive.over.add(drive.attempt.id);
  if (!failure.mayHaveRun) drive.neverRan.add(drive.attempt.id);
  settleLoneRun(turn, drive.attempt, LoneRunEnd.Aborted);
  const { service } = drive.request;
  refuse(turn, DEADLINE_PASSED.of({ service }), context.options.retryAfterMs);
}

function onSuperseded(turn: Turn, failure: StreamFailure): void {
  const { drive } = turn;
  if (failure.record === null) {
    if (drive.attempt !== null) drive.over.add(drive.attempt.id);
    refuse(turn, KEY_CONFLICT.of({ service: drive.request.service }), 0);
    return;
  }
  const current = currentAttempt(drive.known);
  const isStill = drive.known.answer === null && current?.id === drive.attempt?.id;
  if (isStill) attemptOver(turn, true);
  else decide(turn);
}

function forgetSession(turn: Turn): void {
  const sidecar = turn.drive.attempt?.sidecar;
  if (sidecar !== undefined) turn.out.push({ kind: DriveEffectKind.ForgetSession, sidecar });
}

function onCrash(turn: Turn): void {
  const { drive, context } = turn;
  const { attempt } = drive;
  if (attempt === null) return;
  drive.isSuspect = true;
  const crashedAttemptIds = [...new Set([...drive.known.crashedAttemptIds, attempt.id])].sort();
  drive.known = { ...drive.known, crashedAttemptIds };
  turn.out.push({ kind: DriveEffectKind.NoteCrash, attemptId: attempt.id });
  emit(turn, EventKind.RequestSuspected, 'its engine crashed while it ran', {
    target: attempt.target,
    figures: { crashes: crashedAttemptIds.length },
  });
  if (drive.request.repeatable) {
    attemptOver(turn, true);
    return;
  }
  drive.over.add(attempt.id);
  const { service } = drive.request;
  refuse(turn, OUTCOME_UNKNOWN.of({ service }), context.options.retryAfterMs);
}
