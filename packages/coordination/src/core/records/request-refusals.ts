/**
 * Refusals of the request machine. Each carries a typed failure, the run state of the request, and
 * the delay after which a retry may succeed. The run state is "not-run" only if no attempt can ever
 * run, the record has been released, and no holder can have lost an earlier attempt.
 */
import { EventKind } from '../events/event.js';
import type { Failure } from '../failures/failure.js';
import { RunState } from '../model/outcome.js';
import { closeStream } from './request-delivery.js';
import { beginRound, roundFigures } from './request-rounds.js';
import { emit, finishRequest } from './request-support.js';
import type { Turn } from './request-support.js';
import { RequestEffectKind } from './request-events.js';
import { RequestPhase, LoneRunEnd } from './request-types.js';
import { POISONED_REQUEST } from './failures.js';
import { HolderCallKind } from './messages.js';
import { currentAttempt } from './record.js';
import type { Attempt } from './record.js';

/**
 * Refuses the request. If nothing can have run, releases the record first so "not-run" stays true.
 */
export function refuse(turn: Turn, failure: Failure, retryAfterMs: number): void {
  const { machine } = turn;
  machine.pendingFailure = failure;
  machine.pendingRetryAfterMs = retryAfterMs;
  if (anyAttemptMayHaveRun(turn)) {
    sendRefusal(turn, runStateOf(turn));
    return;
  }
  machine.phase = RequestPhase.Releasing;
  const { keyText, creationId } = machine.known;
  beginRound(turn, { kind: HolderCallKind.Release, keyText, creationId });
}

/** Sends the pending refusal to the caller and ends the machine. */
export function sendRefusal(turn: Turn, runState: RunState): void {
  const { machine } = turn;
  const failure = machine.pendingFailure;
  const round = roundFigures(turn);
  if (failure !== null && machine.callerPresent) {
    const retryAfterMs = machine.pendingRetryAfterMs;
    turn.out.push({ kind: RequestEffectKind.TellRefusal, failure, runState, retryAfterMs });
  }
  const wasAccepted = machine.known.attempts.length > 0;
  const kind = wasAccepted ? EventKind.RequestFailed : EventKind.RequestRefused;
  emit(turn, kind, failure?.message ?? 'given up', {
    figures: { runState, ...round },
  });
  closeStream(turn);
  finishRequest(turn);
}

/** Returns whether any known attempt may have run. */
export function anyAttemptMayHaveRun(turn: Turn): boolean {
  const { machine } = turn;
  return machine.known.attempts.some((attempt) => !machine.neverRan.has(attempt.id));
}

/** Returns the run state of the request, or `unknown` if it cannot be determined. */
export function runStateOf(turn: Turn): RunState {
  const { machine, context } = turn;
  if (anyAttemptMayHaveRun(turn)) {
    const current = currentAttempt(machine.known);
    const isRunning =
      current !== null && !machine.over.has(current.id) && context.isLive(current.sidecar);
    return isRunning ? RunState.Running : RunState.Unknown;
  }
  return context.provesAbsence([...machine.absentAt]) ? RunState.NotRun : RunState.Unknown;
}

/** Stores the conviction on the holders before it is sent, so the same content is not run again. */
export function convict(turn: Turn, crashes: number): void {
  const { machine } = turn;
  const failure = POISONED_REQUEST.of({ service: machine.request.service, crashes });
  machine.pendingFailure = failure;
  machine.phase = RequestPhase.Convicting;
  emit(turn, EventKind.RequestConvicted, failure.message, { figures: { crashes } });
  beginRound(turn, { kind: HolderCallKind.Finish, record: machine.known, answer: null, failure });
}

/** Sends a final failure to the caller and ends the machine. */
export function sendFinalFailure(turn: Turn, failure: Failure): void {
  const { machine } = turn;
  const runState = anyAttemptMayHaveRun(turn) ? RunState.Unknown : runStateOf(turn);
  if (machine.callerPresent) {
    turn.out.push({ kind: RequestEffectKind.TellRefusal, failure, runState, retryAfterMs: null });
  }
  closeStream(turn);
  finishRequest(turn);
}

/** Abandons an attempt that was prepared but not dispatched, and therefore never runs. */
export function abandonPreparedAttempt(turn: Turn): void {
  const { machine } = turn;
  const isPrepared =
    machine.phase === RequestPhase.Claiming || machine.phase === RequestPhase.Noting;
  if (!isPrepared || machine.attempt === null) return;
  machine.neverRan.add(machine.attempt.id);
  machine.over.add(machine.attempt.id);
  settleLoneRun(turn, machine.attempt, LoneRunEnd.Aborted);
}

/** Reports the end of a lone run of this machine to the poison ledger. */
export function settleLoneRun(turn: Turn, attempt: Attempt, end: LoneRunEnd): void {
  if (!attempt.alone || !isOwnAttempt(turn, attempt)) return;
  turn.out.push({ kind: RequestEffectKind.SettleLoneRun, attemptId: attempt.id, end });
}

/** Returns whether this machine created the attempt. */
export function isOwnAttempt(turn: Turn, attempt: Attempt): boolean {
  return attempt.id.startsWith(`${turn.machine.id}/`);
}
