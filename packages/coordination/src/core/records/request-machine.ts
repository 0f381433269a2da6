/**
 * State machine on an entry that carries a caller's request to exactly one complete answer or to a
 * refusal with a truthful run state. A request is accepted once both holders have its record. An
 * attempt is dispatched only after the holders have recorded it and, if the call may not be
 * repeated, after it is claimed. A later attempt continues the text where the earlier one stopped,
 * and the end of an answer is sent only after every holder has stored it. See
 * docs/design/requests.md.
 */
import { EventKind } from '../events/event.js';
import { RecordPhase } from '../model/outcome.js';
import {
  backOff,
  startNextStep,
  dispatchAttempt,
  noteAttempt,
  openSessionFor,
  onSessionOpened,
} from './request-attempts.js';
import { EMPTY_TEXT_HASH } from './request-delivery.js';
import {
  abandonPreparedAttempt,
  convict,
  refuse,
  runStateOf,
  sendFinalFailure,
  sendRefusal,
} from './request-refusals.js';
import {
  callMissingMembers,
  beginRound,
  roundFigures,
  roundIsComplete,
  roundMembers,
  hasReplyOfKind,
  onHolderUnreachable,
  acceptReply,
} from './request-rounds.js';
import { onSidecarLost, onCancelOutcome, onStreamEvent } from './request-streams.js';
import { onTimer } from './request-timers.js';
import { emit, finishRequest, setTimer } from './request-support.js';
import type { Turn } from './request-support.js';
import { RequestEventKind } from './request-events.js';
import type { RequestEffect, RequestEvent } from './request-events.js';
import { ClaimOutcome, RequestPhase, RequestTimer, LoneRunOutcome } from './request-types.js';
import type { RequestContext, CallerRequest, RequestMachine } from './request-types.js';
import { CLAIM_UNAVAILABLE, KEY_CONFLICT, NOT_ADMITTED, RECORDS_FULL } from './failures.js';
import { HolderCallKind, HolderReplyKind } from './messages.js';
import type { HolderReply } from './messages.js';
import { joinRecords } from './record.js';
import { depositFirstAttempt } from '../retries/retries.js';
import { resolveNoteConflict, reconcileAnswer } from './request-agreement.js';

/**
 * Creates the machine for one connection. `id` must be unique across all entries and their
 * restarts.
 */
export function createRequestMachine(
  id: string,
  request: CallerRequest,
  nowMs: number,
): RequestMachine {
  return {
    id,
    request,
    deadlineAtMs: nowMs + request.deadlineMs,
    phase: RequestPhase.Creating,
    known: {
      keyText: request.keyText,
      service: request.service,
      bodyHash: request.bodyHash,
      repeatable: request.repeatable,
      creationId: id,
      phase: RecordPhase.Accepted,
      attempts: [],
      crashedAttemptIds: [],
      answer: null,
      failure: null,
      remainingMs: request.deadlineMs,
    },
    round: null,
    roundsWaited: 0,
    attempt: null,
    place: null,
    textAttemptId: null,
    loneRunIncarnation: '',
    over: new Set(),
    neverRan: new Set(),
    absentAt: new Set(),
    avoidTargets: [],
    isSuspect: false,
    lossCount: 0,
    reattachCount: 0,
    retryCount: 0,
    reconcileCount: 0,
    isOpen: false,
    tokens: [],
    hashes: [EMPTY_TEXT_HASH],
    sentCount: request.resume?.index ?? 0,
    callerPresent: true,
    pendingFailure: null,
    pendingRetryAfterMs: 0,
    lastId: 0,
    askId: 0,
    connectionId: 0,
    timerIds: new Map(),
  };
}

/** Handles one event and returns the effects to execute. */
export function handleRequestEvent(
  machine: RequestMachine,
  event: RequestEvent,
  context: RequestContext,
): readonly RequestEffect[] {
  const turn: Turn = { machine, context, out: [] };
  if (machine.phase !== RequestPhase.Done) handle(turn, event);
  return turn.out;
}

function handle(turn: Turn, event: RequestEvent): void {
  const { machine } = turn;
  switch (event.kind) {
    case RequestEventKind.CallerArrived:
      start(turn);
      return;
    case RequestEventKind.CallerGone:
      onCallerGone(turn);
      return;
    case RequestEventKind.HolderFailed:
      onHolderUnreachable(turn, event.roundId, event.from);
      return;
    case RequestEventKind.HolderReplied:
      onHolderReply(turn, event.roundId, event.from, event.reply);
      return;
    case RequestEventKind.MembersChanged:
      onMembersChanged(turn);
      return;
    case RequestEventKind.StreamOpened:
    case RequestEventKind.StreamTokens:
    case RequestEventKind.StreamEnded:
    case RequestEventKind.StreamFailed:
      onStreamEvent(turn, event);
      return;
    case RequestEventKind.CancelReplied:
      if (event.attemptId === machine.attempt?.id) onCancelOutcome(turn, event.outcome);
      return;
    case RequestEventKind.TimerFired:
      if (machine.timerIds.get(event.timer) === event.timerId) onTimer(turn, event.timer);
      return;
    default:
      if (event.askId === machine.askId) onAskReplied(turn, event);
  }
}

function start(turn: Turn): void {
  const { machine, context } = turn;
  depositFirstAttempt(context.budget, context.options.retry);
  setTimer(turn, RequestTimer.Deadline, machine.request.deadlineMs);
  beginRound(turn, { kind: HolderCallKind.Create, record: machine.known });
}

/**
 * Handles the loss of the caller's connection. An accepted request continues without its caller. A
 * request that is not accepted yet ends because nothing was promised; otherwise every reconnect of
 * a caller would leave one more machine behind that keeps calling the holders.
 */
function onCallerGone(turn: Turn): void {
  const { machine } = turn;
  machine.callerPresent = false;
  if (machine.phase !== RequestPhase.Creating) return;
  emit(turn, EventKind.RequestRefused, 'its caller left before it was accepted', {
    figures: roundFigures(turn),
  });
  finishRequest(turn);
}

type AskReply = Extract<RequestEvent, { askId: number }>;

function onAskReplied(turn: Turn, event: AskReply): void {
  const { machine, context } = turn;
  const { service } = machine.request;
  switch (event.kind) {
    case RequestEventKind.Admitted:
      if (machine.phase === RequestPhase.AwaitingAdmission)
        openSessionFor(turn, event.place, false);
      return;
    case RequestEventKind.AdmissionRefused:
      if (machine.phase !== RequestPhase.AwaitingAdmission) return;
      refuse(turn, NOT_ADMITTED.of({ service, reason: event.reason }), event.retryAfterMs);
      return;
    case RequestEventKind.LoneRunReplied:
      if (machine.phase === RequestPhase.AwaitingLoneRun) onLoneRunReply(turn, event);
      return;
    case RequestEventKind.SessionOpened:
      if (machine.phase !== RequestPhase.OpeningSession) return;
      onSessionOpened(turn, event.sessionId, event.sequence);
      return;
    case RequestEventKind.SessionFailed:
      if (machine.phase !== RequestPhase.OpeningSession) return;
      machine.avoidTargets = [...machine.avoidTargets, machine.place?.target ?? ''];
      backOff(turn, context.options.reattachAfterMs);
      return;
    case RequestEventKind.ClaimReplied:
      if (machine.phase === RequestPhase.Claiming) onClaimReply(turn, event);
  }
}

function onLoneRunReply(
  turn: Turn,
  event: Extract<RequestEvent, { kind: RequestEventKind.LoneRunReplied }>,
): void {
  if (event.outcome === LoneRunOutcome.Convicted) convict(turn, event.crashes);
  else if (event.outcome === LoneRunOutcome.Granted && event.place !== null) {
    turn.machine.loneRunIncarnation = event.sidecarIncarnation;
    openSessionFor(turn, event.place, true);
  } else backOff(turn, event.retryAfterMs);
}

function onClaimReply(
  turn: Turn,
  event: Extract<RequestEvent, { kind: RequestEventKind.ClaimReplied }>,
): void {
  const { machine } = turn;
  const { service, bodyHash } = machine.request;
  if (event.outcome === ClaimOutcome.Granted) {
    emit(turn, EventKind.ClaimTaken, 'the call may not be repeated');
    noteAttempt(turn);
    return;
  }
  abandonPreparedAttempt(turn);
  if (event.outcome === ClaimOutcome.Unavailable || event.holder === null) {
    emit(turn, EventKind.ClaimRefused, 'the key-value service is out');
    refuse(turn, CLAIM_UNAVAILABLE.of({ service }), event.retryAfterMs);
    return;
  }
  if (event.holder.bodyHash !== bodyHash) {
    refuse(turn, KEY_CONFLICT.of({ service }), 0);
    return;
  }
  const attempts = [event.holder.attempt];
  machine.known = joinRecords(machine.known, { ...machine.known, attempts });
  startNextStep(turn);
}

function onHolderReply(turn: Turn, roundId: number, from: string, reply: HolderReply): void {
  if (acceptReply(turn, roundId, from, reply)) onRoundProgress(turn);
}

function onRoundProgress(turn: Turn): void {
  const { machine, context } = turn;
  const { options } = context;
  if (machine.round === null) return;
  switch (machine.phase) {
    case RequestPhase.Creating:
      onCreateProgress(turn);
      return;
    case RequestPhase.Noting:
      if (options.mayProceed(machine.round.replies, roundMembers(turn))) dispatchAttempt(turn);
      else if (hasReplyOfKind(turn, HolderReplyKind.Conflict)) onNoteConflict(turn);
      else if (roundIsComplete(turn)) resolveNoteConflict(turn);
      return;
    case RequestPhase.Reconciling:
      if (roundIsComplete(turn)) startNextStep(turn);
      return;
    case RequestPhase.Convicting:
      if (roundIsComplete(turn)) onConvicted(turn);
      return;
    case RequestPhase.Releasing:
      if (roundIsComplete(turn)) sendRefusal(turn, runStateOf(turn));
      return;
    default:
  }
}

/**
 * Refuses the request because a holder that had lost its record gave the key to another request.
 */
function onNoteConflict(turn: Turn): void {
  abandonPreparedAttempt(turn);
  refuse(turn, KEY_CONFLICT.of({ service: turn.machine.request.service }), 0);
}

function onCreateProgress(turn: Turn): void {
  const { machine, context } = turn;
  const { service } = machine.request;
  const replies = new Map<string, HolderReply>();
  for (const [member, reply] of machine.round?.replies ?? []) {
    const isExisting = reply.kind === HolderReplyKind.Standing;
    replies.set(member, isExisting ? { ...reply, kind: HolderReplyKind.Done } : reply);
    const hasNoAttempt = (reply.record?.attempts.length ?? 0) === 0;
    const isOldEnough = reply.upForMs >= context.options.absenceHorizonMs;
    if (hasNoAttempt && isOldEnough) machine.absentAt.add(member);
  }
  if (hasReplyOfKind(turn, HolderReplyKind.Conflict)) {
    refuse(turn, KEY_CONFLICT.of({ service }), 0);
    return;
  }
  if (hasReplyOfKind(turn, HolderReplyKind.Full)) {
    refuse(turn, RECORDS_FULL.of({ service }), context.options.retryAfterMs);
    return;
  }
  if (!context.options.mayProceed(replies, roundMembers(turn))) return;
  emit(turn, EventKind.RequestAccepted, 'every holder has the record');
  startNextStep(turn);
}

function onConvicted(turn: Turn): void {
  const { machine } = turn;
  const { answer } = machine.known;
  const failure = machine.known.failure ?? machine.pendingFailure;
  if (answer !== null) reconcileAnswer(turn, answer);
  else if (failure !== null) sendFinalFailure(turn, failure);
}

function onMembersChanged(turn: Turn): void {
  const { machine, context } = turn;
  if (machine.round !== null) {
    callMissingMembers(turn);
    onRoundProgress(turn);
  }
  const sidecar = machine.attempt?.sidecar;
  if (machine.phase !== RequestPhase.Streaming || sidecar === undefined) return;
  if (!context.isLive(sidecar)) onSidecarLost(turn);
}
