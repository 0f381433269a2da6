/**
 * Attempts of the request machine: what to do next, from what is known; preparing an attempt
 * (place, session, claim, note), dispatching it, attaching to one that runs, and its end.
 */
import { EventKind } from '../events/event.js';
import { CONVICTING_CRASHES } from '../poison/ledger.js';
import { backOffMs } from '../retries/retries.js';
import { closeStream, forgetUntold } from './drive-delivery.js';
import {
  abandonPrepared,
  convict,
  refuse,
  settleLoneRun,
  someMayHaveRun,
  tellFinalFailure,
} from './drive-refusals.js';
import { beginRound } from './drive-rounds.js';
import { emit, nextId, remainingMs, setTimer } from './drive-support.js';
import type { Turn } from './drive-support.js';
import { DriveEffectKind } from './drive-messages.js';
import { DrivePhase, DriveTimer, LoneRunEnd, Suspicion } from './drive-types.js';
import type { Place } from './place.js';
import type { RequestDrive } from './drive-types.js';
import { DEADLINE_PASSED, OUTCOME_UNKNOWN, TRIES_SPENT } from './failures.js';
import { HolderCallKind } from './messages.js';
import { currentAttempt } from './record.js';
import type { Attempt } from './record.js';
import { answerStands, reconcile } from './drive-agreement.js';

/** Losses of targets without a sign of a crash after which the request runs alone as well. */
const LOSSES_THAT_SUSPECT = 2;

/**
 * Guards a call that may not be repeated. Failure: its target dies and the entry tries another; it
 * shows as a receipt issued twice. The guard holds because an attempt that may have run is never
 * followed by another one, and its claim is not replaced.
 */
export function mayRunAgain(repeatable: boolean, mayHaveRun: boolean): boolean {
  return repeatable || !mayHaveRun;
}

/** Takes the next step from what is known of the request. */
export function decide(turn: Turn): void {
  const { drive, context } = turn;
  const { answer, failure } = drive.known;
  const current = currentAttempt(drive.known);
  if (answer !== null && answerStands(turn, answer)) return reconcile(turn, answer);
  if (failure !== null) return tellFinalFailure(turn, failure);
  if (current !== null && !drive.over.has(current.id)) {
    if (context.isLive(current.sidecar)) return attachTo(turn, current);
    drive.over.add(current.id);
    drive.lossCount += 1;
  }
  if (answer !== null) return reconcile(turn, answer);
  runAgain(turn);
}

function runAgain(turn: Turn): void {
  const { drive, context } = turn;
  const { service, repeatable } = drive.request;
  const mayHaveRun = someMayHaveRun(turn);
  if (!context.options.mayRunAgain(repeatable, mayHaveRun)) {
    return refuse(turn, OUTCOME_UNKNOWN.of({ service }), context.options.retryAfterMs);
  }
  const { crashedAttemptIds } = drive.known;
  if (context.options.isConvicted({ crashedAttemptIds, lostAttemptIds: [] })) {
    return convict(turn, crashedAttemptIds.length);
  }
  if (remainingMs(turn) === 0) {
    return refuse(turn, DEADLINE_PASSED.of({ service }), context.options.retryAfterMs);
  }
  const attempts = drive.known.attempts.length;
  if (attempts === 0) return prepare(turn);
  if (!mayRetry(turn)) {
    return refuse(turn, TRIES_SPENT.of({ service, attempts }), context.options.retryAfterMs);
  }
  drive.retryCount += 1;
  backOff(turn, backOffMs(drive.retryCount, context.options.retry, context.random));
}

/** A text that the caller has begun to read is gone on with even when the budget is spent. */
function mayRetry(turn: Turn): boolean {
  const { drive, context } = turn;
  const { retry, withdrawRetry } = context.options;
  if (drive.retryCount + 1 >= retry.maxAttempts) return false;
  if (drive.known.attempts.length >= retry.maxRecordAttempts) return false;
  return drive.tokens.length > 0 || withdrawRetry(context.budget);
}

/** Waits before the next attempt is prepared. */
export function backOff(turn: Turn, afterMs: number): void {
  turn.drive.phase = DrivePhase.BackingOff;
  turn.drive.round = null;
  setTimer(turn, DriveTimer.BackOff, afterMs);
}

/**
 * Asks where the next attempt may run. Leaves the last round: a late reply must not bring in
 * another attempt, over which this one would be noted although that one runs.
 */
export function prepare(turn: Turn): void {
  const { drive, context } = turn;
  const current = currentAttempt(drive.known);
  if (current !== null && !drive.over.has(current.id)) return decide(turn);
  const suspicion = context.suspicion();
  if (suspicion === Suspicion.Unread) return backOff(turn, context.options.reattachAfterMs);
  if (suspicion === Suspicion.Convicted) return convict(turn, CONVICTING_CRASHES);
  drive.round = null;
  drive.askId = nextId(drive);
  if (needsLoneRun(turn)) {
    drive.phase = DrivePhase.AwaitingLoneRun;
    const attemptId = attemptIdOf(drive);
    turn.out.push({ kind: DriveEffectKind.AskLoneRun, askId: drive.askId, attemptId });
    return;
  }
  drive.phase = DrivePhase.AwaitingAdmission;
  turn.out.push({
    kind: DriveEffectKind.AskAdmission,
    askId: drive.askId,
    avoidTargets: drive.avoidTargets,
  });
}

function needsLoneRun(turn: Turn): boolean {
  const { drive, context } = turn;
  if (drive.isSuspect || drive.known.crashedAttemptIds.length > 0) return true;
  return drive.lossCount >= LOSSES_THAT_SUSPECT || context.suspicion() === Suspicion.Suspect;
}

function attemptIdOf(drive: RequestDrive): string {
  return `${drive.id}/${String(drive.askId)}`;
}

/** A place is given: makes sure of a session with its sidecar. */
export function takePlace(turn: Turn, place: Place, alone: boolean): void {
  const { drive } = turn;
  drive.place = place;
  drive.attempt = makeAttempt(turn, place, alone);
  drive.phase = DrivePhase.OpeningSession;
  const verify = !drive.request.repeatable;
  const { askId } = drive;
  turn.out.push({ kind: DriveEffectKind.OpenSession, askId, sidecar: place.sidecar, verify });
}

function makeAttempt(turn: Turn, place: Place, alone: boolean): Attempt {
  const { drive, context } = turn;
  return {
    id: attemptIdOf(drive),
    number: (currentAttempt(drive.known)?.number ?? 0) + 1,
    sidecar: place.sidecar,
    target: place.target,
    startIndex: drive.tokens.length,
    entry: context.entryId,
    sessionId: '',
    sequence: 0,
    alone,
  };
}

/** The session is there: claims the call where it may not be repeated, else notes the attempt. */
export function takeSession(turn: Turn, sessionId: string, sequence: number): void {
  const { drive, context } = turn;
  if (drive.attempt === null) return;
  drive.attempt = { ...drive.attempt, sessionId, sequence };
  if (drive.attempt.alone && !isGivenBy(drive.loneIncarnation, sessionId)) {
    settleLoneRun(turn, drive.attempt, LoneRunEnd.Aborted);
    backOff(turn, context.options.reattachAfterMs);
    return;
  }
  if (drive.request.repeatable) {
    noteAttempt(turn);
    return;
  }
  drive.phase = DrivePhase.Claiming;
  const { askId, attempt } = drive;
  const current = currentAttempt(drive.known);
  const mayReplace =
    current !== null && context.options.mayRunAgain(false, !drive.neverRan.has(current.id));
  const replacesId = mayReplace ? current.id : null;
  turn.out.push({ kind: DriveEffectKind.TakeClaim, askId, attempt, replacesId });
}

/**
 * Guards the one lone run of a service. Failure: it was written for a sidecar that has restarted
 * since; others, told that it is gone, begin theirs. The guard holds because it is dispatched only
 * to the incarnation that it was written for.
 */
function isGivenBy(incarnation: string, sessionId: string): boolean {
  return sessionId.startsWith(`${incarnation}.`);
}

/** Notes the prepared attempt at all holders. */
export function noteAttempt(turn: Turn): void {
  const { drive } = turn;
  if (drive.attempt === null) return;
  drive.phase = DrivePhase.Noting;
  const previousId = currentAttempt(drive.known)?.id ?? null;
  const { attempt, known } = drive;
  beginRound(turn, { kind: HolderCallKind.Note, record: known, attempt, previousId });
}

/**
 * All holders have the attempt: hands it to its sidecar, unless its content was convicted while it
 * was prepared.
 */
export function dispatch(turn: Turn): void {
  const { drive, context } = turn;
  if (drive.attempt === null) return;
  if (context.suspicion() === Suspicion.Convicted) {
    abandonPrepared(turn);
    return convict(turn, CONVICTING_CRASHES);
  }
  drive.round = null;
  const { attempt, known } = drive;
  drive.textAttemptId = attempt.id;
  openConnection(turn);
  turn.out.push({
    kind: DriveEffectKind.Dispatch,
    connectionId: drive.connectionId,
    attempt,
    record: known,
    continueFrom: drive.tokens.slice(),
    remainingMs: remainingMs(turn),
  });
  const isFirst = attempt.number === 1;
  const kind = isFirst ? EventKind.RequestDispatched : EventKind.RequestRetried;
  emit(turn, kind, isFirst ? 'first attempt' : 'an earlier attempt is over', {
    target: attempt.target,
    figures: { attempt: attempt.number, fromToken: attempt.startIndex, alone: attempt.alone },
  });
}

/**
 * Joins an attempt that runs. Unless the present text is known to be the beginning of the attempt's,
 * it is read from its first token and compared: reading on from the middle would splice two texts.
 */
export function attachTo(turn: Turn, attempt: Attempt): void {
  const { drive } = turn;
  if (drive.attempt?.id !== attempt.id) {
    drive.reattachCount = 0;
    forgetUntold(turn);
    emit(turn, EventKind.RequestResumed, 'an attempt of this key runs already', {
      target: attempt.target,
    });
  }
  const fromIndex = drive.textAttemptId === attempt.id ? drive.tokens.length : 0;
  drive.attempt = attempt;
  openConnection(turn);
  const { connectionId, known } = drive;
  turn.out.push({ kind: DriveEffectKind.Attach, connectionId, attempt, record: known, fromIndex });
}

function openConnection(turn: Turn): void {
  const { drive } = turn;
  closeStream(turn);
  drive.round = null;
  drive.phase = DrivePhase.Streaming;
  drive.isOpen = false;
  drive.connectionId = nextId(drive);
}

/** An attempt is over without an answer: goes on with the next, or gives up. */
export function attemptOver(
  turn: Turn,
  mayHaveRun: boolean,
  loneRunEnd: LoneRunEnd = LoneRunEnd.Aborted,
): void {
  const { drive } = turn;
  const { attempt } = drive;
  if (attempt === null) return;
  closeStream(turn);
  drive.over.add(attempt.id);
  drive.avoidTargets = [...new Set([...drive.avoidTargets, attempt.target])];
  if (!mayHaveRun) drive.neverRan.add(attempt.id);
  const crashed = drive.known.crashedAttemptIds.includes(attempt.id);
  settleLoneRun(turn, attempt, crashed ? LoneRunEnd.Crashed : loneRunEnd);
  decide(turn);
}
