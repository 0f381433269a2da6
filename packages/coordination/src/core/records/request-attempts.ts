/**
 * Attempts of the request machine: chooses the next step from the state of the request, prepares an
 * attempt (target, session, claim, recording it on the holders), dispatches it, attaches to a
 * running one, and handles its end.
 */
import { EventKind } from '../events/event.js';
import { CONVICTING_CRASHES } from '../poison/ledger.js';
import { backOffMs } from '../retries/retries.js';
import { closeStream, discardUnsentTokens } from './request-delivery.js';
import {
  abandonPreparedAttempt,
  convict,
  refuse,
  settleLoneRun,
  anyAttemptMayHaveRun,
  sendFinalFailure,
} from './request-refusals.js';
import { beginRound } from './request-rounds.js';
import { emit, nextId, remainingMs, setTimer } from './request-support.js';
import type { Turn } from './request-support.js';
import { RequestEffectKind } from './request-events.js';
import { RequestPhase, RequestTimer, LoneRunEnd, Suspicion } from './request-types.js';
import type { Place } from './place.js';
import type { RequestMachine } from './request-types.js';
import { DEADLINE_PASSED, OUTCOME_UNKNOWN, TRIES_SPENT } from './failures.js';
import { HolderCallKind } from './messages.js';
import { currentAttempt } from './record.js';
import type { Attempt } from './record.js';
import { isAnswerUsable, reconcileAnswer } from './request-agreement.js';

/** Number of lost targets, without a crash report, after which the request is run alone. */
const SUSPECT_AFTER_LOSSES = 2;

/**
 * Returns whether another attempt may follow. A call that may not be repeated gets no other
 * attempt, and its claim is not replaced, once an attempt may have run. Otherwise the entry would
 * try another target after one dies, and the effects of the call, such as issuing a receipt, could
 * happen twice.
 */
export function mayRunAgain(repeatable: boolean, mayHaveRun: boolean): boolean {
  return repeatable || !mayHaveRun;
}

/** Chooses and starts the next step from the state of the request. */
export function startNextStep(turn: Turn): void {
  const { machine, context } = turn;
  const { answer, failure } = machine.known;
  const current = currentAttempt(machine.known);
  if (answer !== null && isAnswerUsable(turn, answer)) return reconcileAnswer(turn, answer);
  if (failure !== null) return sendFinalFailure(turn, failure);
  if (current !== null && !machine.over.has(current.id)) {
    if (context.isLive(current.sidecar)) return attachTo(turn, current);
    machine.over.add(current.id);
    machine.lossCount += 1;
  }
  if (answer !== null) return reconcileAnswer(turn, answer);
  startNextAttempt(turn);
}

function startNextAttempt(turn: Turn): void {
  const { machine, context } = turn;
  const { service, repeatable } = machine.request;
  const mayHaveRun = anyAttemptMayHaveRun(turn);
  if (!context.options.mayRunAgain(repeatable, mayHaveRun)) {
    return refuse(turn, OUTCOME_UNKNOWN.of({ service }), context.options.retryAfterMs);
  }
  const { crashedAttemptIds } = machine.known;
  if (context.options.isConvicted({ crashedAttemptIds, lostAttemptIds: [] })) {
    return convict(turn, crashedAttemptIds.length);
  }
  if (remainingMs(turn) === 0) {
    return refuse(turn, DEADLINE_PASSED.of({ service }), context.options.retryAfterMs);
  }
  const attempts = machine.known.attempts.length;
  if (attempts === 0) return prepareAttempt(turn);
  if (!mayRetry(turn)) {
    return refuse(turn, TRIES_SPENT.of({ service, attempts }), context.options.retryAfterMs);
  }
  machine.retryCount += 1;
  backOff(turn, backOffMs(machine.retryCount, context.options.retry, context.random));
}

/** Returns whether to try again. Continuing a partly generated text needs no retry budget. */
function mayRetry(turn: Turn): boolean {
  const { machine, context } = turn;
  const { retry, withdrawRetry } = context.options;
  if (machine.retryCount + 1 >= retry.maxAttempts) return false;
  if (machine.known.attempts.length >= retry.maxRecordAttempts) return false;
  return machine.tokens.length > 0 || withdrawRetry(context.budget);
}

/** Starts the wait before the next attempt is prepared. */
export function backOff(turn: Turn, afterMs: number): void {
  turn.machine.phase = RequestPhase.BackingOff;
  turn.machine.round = null;
  setTimer(turn, RequestTimer.BackOff, afterMs);
}

/**
 * Requests admission, or a lone run, for the next attempt. Ends the previous round first: a late
 * reply could otherwise add a running attempt to the known state, and the new attempt would be
 * recorded as its successor.
 */
export function prepareAttempt(turn: Turn): void {
  const { machine, context } = turn;
  const current = currentAttempt(machine.known);
  if (current !== null && !machine.over.has(current.id)) return startNextStep(turn);
  const suspicion = context.suspicion();
  if (suspicion === Suspicion.Unread) return backOff(turn, context.options.reattachAfterMs);
  if (suspicion === Suspicion.Convicted) return convict(turn, CONVICTING_CRASHES);
  machine.round = null;
  machine.askId = nextId(machine);
  if (needsLoneRun(turn)) {
    machine.phase = RequestPhase.AwaitingLoneRun;
    const attemptId = attemptIdOf(machine);
    turn.out.push({ kind: RequestEffectKind.AskLoneRun, askId: machine.askId, attemptId });
    return;
  }
  machine.phase = RequestPhase.AwaitingAdmission;
  turn.out.push({
    kind: RequestEffectKind.AskAdmission,
    askId: machine.askId,
    avoidTargets: machine.avoidTargets,
  });
}

function needsLoneRun(turn: Turn): boolean {
  const { machine, context } = turn;
  if (machine.isSuspect || machine.known.crashedAttemptIds.length > 0) return true;
  return machine.lossCount >= SUSPECT_AFTER_LOSSES || context.suspicion() === Suspicion.Suspect;
}

function attemptIdOf(machine: RequestMachine): string {
  return `${machine.id}/${String(machine.askId)}`;
}

/** Creates an attempt for the admitted target and opens a session at its sidecar. */
export function openSessionFor(turn: Turn, place: Place, alone: boolean): void {
  const { machine } = turn;
  machine.place = place;
  machine.attempt = makeAttempt(turn, place, alone);
  machine.phase = RequestPhase.OpeningSession;
  const verify = !machine.request.repeatable;
  const { askId } = machine;
  turn.out.push({ kind: RequestEffectKind.OpenSession, askId, sidecar: place.sidecar, verify });
}

function makeAttempt(turn: Turn, place: Place, alone: boolean): Attempt {
  const { machine, context } = turn;
  return {
    id: attemptIdOf(machine),
    number: (currentAttempt(machine.known)?.number ?? 0) + 1,
    sidecar: place.sidecar,
    target: place.target,
    startIndex: machine.tokens.length,
    entry: context.entryId,
    sessionId: '',
    sequence: 0,
    alone,
  };
}

/** Claims a call that may not be repeated; otherwise records the attempt on the holders. */
export function onSessionOpened(turn: Turn, sessionId: string, sequence: number): void {
  const { machine, context } = turn;
  if (machine.attempt === null) return;
  machine.attempt = { ...machine.attempt, sessionId, sequence };
  if (machine.attempt.alone && !isIssuedBy(machine.loneRunIncarnation, sessionId)) {
    settleLoneRun(turn, machine.attempt, LoneRunEnd.Aborted);
    backOff(turn, context.options.reattachAfterMs);
    return;
  }
  if (machine.request.repeatable) {
    noteAttempt(turn);
    return;
  }
  machine.phase = RequestPhase.Claiming;
  const { askId, attempt } = machine;
  const current = currentAttempt(machine.known);
  const mayReplace =
    current !== null && context.options.mayRunAgain(false, !machine.neverRan.has(current.id));
  const replacesId = mayReplace ? current.id : null;
  turn.out.push({ kind: RequestEffectKind.TakeClaim, askId, attempt, replacesId });
}

/**
 * Returns whether a session was issued by the sidecar incarnation that the lone run was granted
 * for. Only one lone run of a service may exist at a time. If the sidecar has restarted since the
 * grant, the run is reported as gone and another one may start, so it must not be dispatched to the
 * new incarnation.
 */
function isIssuedBy(incarnation: string, sessionId: string): boolean {
  return sessionId.startsWith(`${incarnation}.`);
}

/** Adds the prepared attempt to the record on all holders. */
export function noteAttempt(turn: Turn): void {
  const { machine } = turn;
  if (machine.attempt === null) return;
  machine.phase = RequestPhase.Noting;
  const previousId = currentAttempt(machine.known)?.id ?? null;
  const { attempt, known } = machine;
  beginRound(turn, { kind: HolderCallKind.Note, record: known, attempt, previousId });
}

/**
 * Dispatches the attempt to its sidecar once all holders have recorded it, unless its content was
 * convicted in the meantime.
 */
export function dispatchAttempt(turn: Turn): void {
  const { machine, context } = turn;
  if (machine.attempt === null) return;
  if (context.suspicion() === Suspicion.Convicted) {
    abandonPreparedAttempt(turn);
    return convict(turn, CONVICTING_CRASHES);
  }
  machine.round = null;
  const { attempt, known } = machine;
  machine.textAttemptId = attempt.id;
  openConnection(turn);
  turn.out.push({
    kind: RequestEffectKind.Dispatch,
    connectionId: machine.connectionId,
    attempt,
    record: known,
    continueFrom: machine.tokens.slice(),
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
 * Attaches to a running attempt. If the text received so far is not known to be the beginning of
 * the attempt's text, the stream is read from its first token and compared; attaching in the middle
 * could splice two different texts.
 */
export function attachTo(turn: Turn, attempt: Attempt): void {
  const { machine } = turn;
  if (machine.attempt?.id !== attempt.id) {
    machine.reattachCount = 0;
    discardUnsentTokens(turn);
    emit(turn, EventKind.RequestResumed, 'an attempt of this key runs already', {
      target: attempt.target,
    });
  }
  const fromIndex = machine.textAttemptId === attempt.id ? machine.tokens.length : 0;
  machine.attempt = attempt;
  openConnection(turn);
  const { connectionId, known } = machine;
  turn.out.push({
    kind: RequestEffectKind.Attach,
    connectionId,
    attempt,
    record: known,
    fromIndex,
  });
}

function openConnection(turn: Turn): void {
  const { machine } = turn;
  closeStream(turn);
  machine.round = null;
  machine.phase = RequestPhase.Streaming;
  machine.isOpen = false;
  machine.connectionId = nextId(machine);
}

/** Ends an attempt that produced no answer, then starts the next one or gives up. */
export function endAttempt(
  turn: Turn,
  mayHaveRun: boolean,
  loneRunEnd: LoneRunEnd = LoneRunEnd.Aborted,
): void {
  const { machine } = turn;
  const { attempt } = machine;
  if (attempt === null) return;
  closeStream(turn);
  machine.over.add(attempt.id);
  machine.avoidTargets = [...new Set([...machine.avoidTargets, attempt.target])];
  if (!mayHaveRun) machine.neverRan.add(attempt.id);
  const crashed = machine.known.crashedAttemptIds.includes(attempt.id);
  settleLoneRun(turn, attempt, crashed ? LoneRunEnd.Crashed : loneRunEnd);
  startNextStep(turn);
}
