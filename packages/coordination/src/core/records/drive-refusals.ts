/**
 * How the request machine gives up: at once, with a typed failure, the true run state and the time
 * after which coming back can help. "Not-run" is said only when every attempt is known never to
 * run, the record has been taken back, and nothing can have been forgotten.
 */
import { EventKind } from '../events/event.js';
import type { Failure } from '../failures/failure.js';
import { RunState } from '../model/outcome.js';
import { closeStream } from './drive-delivery.js';
import { beginRound, roundFigures } from './drive-rounds.js';
import { emit, finishDrive } from './drive-support.js';
import type { Turn } from './drive-support.js';
import { DriveEffectKind } from './drive-messages.js';
import { DrivePhase, LoneRunEnd } from './drive-types.js';
import { POISONED_REQUEST } from './failures.js';
import { HolderCallKind } from './messages.js';
import { currentAttempt } from './record.js';
import type { Attempt } from './record.js';

/** Refuses; where nothing can have run, takes the record back first, so that it stays true. */
export function refuse(turn: Turn, failure: Failure, retryAfterMs: number): void {
  const { drive } = turn;
  drive.pendingFailure = failure;
  drive.pendingRetryAfterMs = retryAfterMs;
  if (someMayHaveRun(turn)) {
    tellRefusal(turn, runStateOf(turn));
    return;
  }
  drive.phase = DrivePhase.Releasing;
  const { keyText, creationId } = drive.known;
  beginRound(turn, { kind: HolderCallKind.Release, keyText, creationId });
}

/** Ends with the refusal that is pending. */
export function tellRefusal(turn: Turn, runState: RunState): void {
  const { drive } = turn;
  const failure = drive.pendingFailure;
  const round = roundFigures(turn);
  if (failure !== null && drive.callerPresent) {
    const retryAfterMs = drive.pendingRetryAfterMs;
    turn.out.push({ kind: DriveEffectKind.TellRefusal, failure, runState, retryAfterMs });
  }
  const wasAccepted = drive.known.attempts.length > 0;
  const kind = wasAccepted ? EventKind.RequestFailed : EventKind.RequestRefused;
  emit(turn, kind, failure?.message ?? 'given up', {
    figures: { runState, ...round },
  });
  closeStream(turn);
  finishDrive(turn);
}

/** Whether some attempt may have run, as far as is known. */
export function someMayHaveRun(turn: Turn): boolean {
  const { drive } = turn;
  return drive.known.attempts.some((attempt) => !drive.neverRan.has(attempt.id));
}

/** The true run state, in doubt `unknown`. */
export function runStateOf(turn: Turn): RunState {
  const { drive, context } = turn;
  if (someMayHaveRun(turn)) {
    const current = currentAttempt(drive.known);
    const runs = current !== null && !drive.over.has(current.id) && context.isLive(current.sidecar);
    return runs ? RunState.Running : RunState.Unknown;
  }
  return context.provesAbsence([...drive.absentAt]) ? RunState.NotRun : RunState.Unknown;
}

/** Writes the conviction to the holders, then tells it: the same content is not run again. */
export function convict(turn: Turn, crashes: number): void {
  const { drive } = turn;
  const failure = POISONED_REQUEST.of({ service: drive.request.service, crashes });
  drive.pendingFailure = failure;
  drive.phase = DrivePhase.Convicting;
  emit(turn, EventKind.RequestConvicted, failure.message, { figures: { crashes } });
  beginRound(turn, { kind: HolderCallKind.Finish, record: drive.known, answer: null, failure });
}

/** Tells a final failure. */
export function tellFinalFailure(turn: Turn, failure: Failure): void {
  const { drive } = turn;
  const runState = someMayHaveRun(turn) ? RunState.Unknown : runStateOf(turn);
  if (drive.callerPresent) {
    turn.out.push({ kind: DriveEffectKind.TellRefusal, failure, runState, retryAfterMs: null });
  }
  closeStream(turn);
  finishDrive(turn);
}

/** Gives up an attempt that was prepared and never dispatched: it never runs. */
export function abandonPrepared(turn: Turn): void {
  const { drive } = turn;
  const isPrepared = drive.phase === DrivePhase.Claiming || drive.phase === DrivePhase.Noting;
  if (!isPrepared || drive.attempt === null) return;
  drive.neverRan.add(drive.attempt.id);
  drive.over.add(drive.attempt.id);
  settleLoneRun(turn, drive.attempt, LoneRunEnd.Aborted);
}

/** Tells the ledger how a lone run of this machine ended. */
export function settleLoneRun(turn: Turn, attempt: Attempt, end: LoneRunEnd): void {
  if (!attempt.alone || !isOwn(turn, attempt)) return;
  turn.out.push({ kind: DriveEffectKind.SettleLoneRun, attemptId: attempt.id, end });
}

/** Whether this machine made the attempt. */
export function isOwn(turn: Turn, attempt: Attempt): boolean {
  return attempt.id.startsWith(`${turn.drive.id}/`);
}
