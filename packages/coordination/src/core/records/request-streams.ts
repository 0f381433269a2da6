/**
 * Handles the events of the stream of an attempt: tokens, the end, and each kind of failure.
 */
import { EventKind } from '../events/event.js';
import { attachTo, endAttempt, startNextStep } from './request-attempts.js';
import { deliverEnd, appendTokens, refuseDivergedText } from './request-delivery.js';
import { isOwnAttempt, refuse, settleLoneRun } from './request-refusals.js';
import { emit, setTimer } from './request-support.js';
import type { Turn } from './request-support.js';
import { RequestEffectKind, RequestEventKind } from './request-events.js';
import { RequestPhase, RequestTimer, LoneRunEnd } from './request-types.js';
import type { RequestEvent } from './request-events.js';
import { DEADLINE_PASSED, KEY_CONFLICT, OUTCOME_UNKNOWN } from './failures.js';
import { CancelOutcome, StreamFailureReason } from './messages.js';
import type { StreamEnd, StreamFailure } from './messages.js';
import { currentAttempt, joinRecords } from './record.js';

/** Events of the stream of an attempt. */
export type StreamEvent = Extract<
  RequestEvent,
  {
    kind:
      | RequestEventKind.StreamOpened
      | RequestEventKind.StreamTokens
      | RequestEventKind.StreamEnded
      | RequestEventKind.StreamFailed;
  }
>;

/**
 * Handles a stream event. Events of an abandoned connection are ignored because they may belong to
 * another attempt, whose text must not be mixed with the current one.
 */
export function onStreamEvent(turn: Turn, event: StreamEvent): void {
  const { machine } = turn;
  if (machine.phase !== RequestPhase.Streaming || machine.connectionId !== event.connectionId)
    return;
  switch (event.kind) {
    case RequestEventKind.StreamOpened:
      machine.isOpen = true;
      machine.reattachCount = 0;
      return;
    case RequestEventKind.StreamTokens:
      onTokens(turn, event.index, event.tokens);
      return;
    case RequestEventKind.StreamEnded:
      onEnd(turn, event.end);
      return;
    case RequestEventKind.StreamFailed:
      onFailure(turn, event.failure);
  }
}

function onTokens(turn: Turn, index: number, tokens: readonly string[]): void {
  const { machine } = turn;
  if (index > machine.tokens.length) {
    scheduleReattach(turn);
    return;
  }
  if (!appendTokens(turn, index, tokens)) {
    refuseDivergedText(turn);
    return;
  }
  const isCompared = index + tokens.length === machine.tokens.length;
  if (isCompared && machine.attempt !== null) machine.textAttemptId = machine.attempt.id;
}

function onEnd(turn: Turn, end: StreamEnd): void {
  const { machine } = turn;
  const isCompared = machine.tokens.length === 0 || machine.textAttemptId === machine.attempt?.id;
  if (end.tokenCount > machine.tokens.length || (!isCompared && end.tokenCount > 0)) {
    scheduleReattach(turn);
    return;
  }
  if (machine.attempt !== null) settleLoneRun(turn, machine.attempt, LoneRunEnd.Finished);
  if (end.tokenCount === machine.tokens.length) deliverEnd(turn, end.ending);
  else refuseDivergedText(turn);
}

/** Schedules a reattach after the last received token because a message of the stream was lost. */
function scheduleReattach(turn: Turn): void {
  const { machine } = turn;
  turn.out.push({ kind: RequestEffectKind.CloseStream, connectionId: machine.connectionId });
  machine.connectionId = 0;
  setTimer(turn, RequestTimer.Reattach, turn.context.options.reattachAfterMs);
}

function onFailure(turn: Turn, failure: StreamFailure): void {
  const { machine } = turn;
  if (failure.record?.bodyHash === machine.request.bodyHash) {
    machine.known = joinRecords(machine.known, failure.record);
  }
  switch (failure.reason) {
    case StreamFailureReason.ConnectionLost:
      onConnectionLost(turn);
      return;
    case StreamFailureReason.Lost:
      onUnknownAttempt(turn);
      return;
    case StreamFailureReason.Superseded:
      onSuperseded(turn, failure);
      return;
    case StreamFailureReason.Expired:
      onAttemptExpired(turn, failure);
      return;
    case StreamFailureReason.SessionRequired:
      forgetSession(turn);
      endAttempt(turn, failure.mayHaveRun);
      return;
    case StreamFailureReason.EngineCrashed:
      onCrash(turn);
      return;
    case StreamFailureReason.Suspected:
      machine.isSuspect = true;
      endAttempt(turn, failure.mayHaveRun);
      return;
    case StreamFailureReason.TooOld:
    case StreamFailureReason.Busy:
    case StreamFailureReason.Cancelled:
    case StreamFailureReason.EngineFailed:
      endAttempt(turn, failure.mayHaveRun);
  }
}

function onConnectionLost(turn: Turn): void {
  const { machine, context } = turn;
  machine.connectionId = 0;
  if (machine.attempt !== null && context.isLive(machine.attempt.sidecar)) {
    setTimer(turn, RequestTimer.Reattach, context.options.reattachAfterMs);
    return;
  }
  onSidecarLost(turn);
}

/** Ends the attempt because membership reports its sidecar as dead. */
export function onSidecarLost(turn: Turn): void {
  turn.machine.lossCount += 1;
  endAttempt(turn, true, LoneRunEnd.Lost);
}

/** Attaches to the attempt again when the timer fires. */
export function reattach(turn: Turn): void {
  const { machine, context } = turn;
  if (machine.phase !== RequestPhase.Streaming || machine.attempt === null) return;
  if (context.isLive(machine.attempt.sidecar)) attachTo(turn, machine.attempt);
  else onSidecarLost(turn);
}

/**
 * Handles a sidecar that does not know the attempt. The dispatch may still be in transit: a
 * dispatch of another entry is given time to arrive, and the attempt is cancelled before another
 * one is tried.
 */
function onUnknownAttempt(turn: Turn): void {
  const { machine, context } = turn;
  if (machine.attempt === null) return;
  machine.reattachCount += 1;
  const mayStillArrive = !isOwnAttempt(turn, machine.attempt);
  if (mayStillArrive && machine.reattachCount <= context.options.maxReattachTries) {
    machine.connectionId = 0;
    setTimer(turn, RequestTimer.Reattach, context.options.reattachAfterMs);
    return;
  }
  cancelAttempt(turn);
}

/** Asks the sidecar to cancel the attempt unless it has already received it. */
export function cancelAttempt(turn: Turn): void {
  const { machine } = turn;
  if (machine.attempt === null) return;
  machine.phase = RequestPhase.Cancelling;
  turn.out.push({ kind: RequestEffectKind.CancelAttempt, attempt: machine.attempt });
  setTimer(turn, RequestTimer.Cancel, turn.context.options.cancelTimeoutMs);
}

/** Handles the sidecar's reply to the cancellation, or its timeout. */
export function onCancelOutcome(turn: Turn, outcome: CancelOutcome): void {
  const { machine, context } = turn;
  if (machine.phase !== RequestPhase.Cancelling || machine.attempt === null) return;
  machine.timerIds.delete(RequestTimer.Cancel);
  if (outcome === CancelOutcome.NeverRuns) {
    machine.neverRan.add(machine.attempt.id);
    machine.over.add(machine.attempt.id);
    settleLoneRun(turn, machine.attempt, LoneRunEnd.Aborted);
  }
  if (machine.pendingFailure !== null) {
    refuse(turn, machine.pendingFailure, context.options.retryAfterMs);
    return;
  }
  if (outcome === CancelOutcome.Started) attachTo(turn, machine.attempt);
  else endAttempt(turn, outcome !== CancelOutcome.NeverRuns);
}

/** Cancels an attempt that has added no token by the deadline. */
export function onDeadlineInStream(turn: Turn): void {
  const { machine } = turn;
  const startIndex = machine.attempt?.startIndex ?? 0;
  if (machine.tokens.length > startIndex) return;
  machine.pendingFailure = DEADLINE_PASSED.of({ service: machine.request.service });
  cancelAttempt(turn);
}

function onAttemptExpired(turn: Turn, failure: StreamFailure): void {
  const { machine, context } = turn;
  if (machine.attempt === null) return;
  machine.over.add(machine.attempt.id);
  if (!failure.mayHaveRun) machine.neverRan.add(machine.attempt.id);
  settleLoneRun(turn, machine.attempt, LoneRunEnd.Aborted);
  const { service } = machine.request;
  refuse(turn, DEADLINE_PASSED.of({ service }), context.options.retryAfterMs);
}

function onSuperseded(turn: Turn, failure: StreamFailure): void {
  const { machine } = turn;
  if (failure.record === null) {
    if (machine.attempt !== null) machine.over.add(machine.attempt.id);
    refuse(turn, KEY_CONFLICT.of({ service: machine.request.service }), 0);
    return;
  }
  const current = currentAttempt(machine.known);
  const isStillCurrent = machine.known.answer === null && current?.id === machine.attempt?.id;
  if (isStillCurrent) endAttempt(turn, true);
  else startNextStep(turn);
}

function forgetSession(turn: Turn): void {
  const sidecar = turn.machine.attempt?.sidecar;
  if (sidecar !== undefined) turn.out.push({ kind: RequestEffectKind.ForgetSession, sidecar });
}

function onCrash(turn: Turn): void {
  const { machine, context } = turn;
  const { attempt } = machine;
  if (attempt === null) return;
  machine.isSuspect = true;
  const crashedAttemptIds = [...new Set([...machine.known.crashedAttemptIds, attempt.id])].sort();
  machine.known = { ...machine.known, crashedAttemptIds };
  turn.out.push({ kind: RequestEffectKind.NoteCrash, attemptId: attempt.id });
  emit(turn, EventKind.RequestSuspected, 'its engine crashed while it ran', {
    target: attempt.target,
    figures: { crashes: crashedAttemptIds.length },
  });
  if (machine.request.repeatable) {
    endAttempt(turn, true);
    return;
  }
  machine.over.add(attempt.id);
  const { service } = machine.request;
  refuse(turn, OUTCOME_UNKNOWN.of({ service }), context.options.retryAfterMs);
}
