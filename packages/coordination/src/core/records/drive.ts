/**
 * The request machine of an entry: from a caller's arrival to its whole answer or a true refusal.
 * It says "accepted" only once both holders have the record, dispatches only what the holders have
 * noted (and, where a call may not be repeated, what is claimed), goes on where the text stopped,
 * and tells an answer only when every holder has it. See docs/design/requests.md.
 */
import { EventKind } from '../events/event.js';
import { RecordPhase } from '../model/outcome.js';
import {
  backOff,
  decide,
  dispatch,
  noteAttempt,
  takePlace,
  takeSession,
} from './drive-attempts.js';
import { EMPTY_TEXT_HASH } from './drive-delivery.js';
import {
  abandonPrepared,
  convict,
  refuse,
  runStateOf,
  tellFinalFailure,
  tellRefusal,
} from './drive-refusals.js';
import {
  askMissing,
  beginRound,
  roundFigures,
  roundIsComplete,
  roundTargets,
  someReply,
  takeFailure,
  takeReply,
} from './drive-rounds.js';
import { lossOfTarget, onCancelOutcome, onStreamEvent } from './drive-streams.js';
import { onTimer } from './drive-timers.js';
import { emit, finishDrive, setTimer } from './drive-support.js';
import type { Turn } from './drive-support.js';
import { DriveEventKind } from './drive-messages.js';
import type { DriveEffect, DriveEvent } from './drive-messages.js';
import { ClaimOutcome, DrivePhase, DriveTimer, LoneRunOutcome } from './drive-types.js';
import type { DriveContext, DriveRequest, RequestDrive } from './drive-types.js';
import { CLAIM_UNAVAILABLE, KEY_CONFLICT, NOT_ADMITTED, RECORDS_FULL } from './failures.js';
import { HolderCallKind, HolderReplyKind } from './messages.js';
import type { HolderReply } from './messages.js';
import { joinRecords } from './record.js';
import { depositFirstTry } from '../retries/retries.js';
import { resolveNote, reconcile } from './drive-agreement.js';

/** A machine for one delivery. `id` is unique over all entries and their restarts. */
export function createDrive(id: string, request: DriveRequest, nowMs: number): RequestDrive {
  return {
    id,
    request,
    deadlineAtMs: nowMs + request.deadlineMs,
    phase: DrivePhase.Creating,
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
    loneIncarnation: '',
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
    toldCount: request.resume?.index ?? 0,
    callerPresent: true,
    pendingFailure: null,
    pendingRetryAfterMs: 0,
    lastId: 0,
    askId: 0,
    connectionId: 0,
    timerIds: new Map(),
  };
}

/** Takes one event and returns what is to be done. */
export function handleDriveEvent(
  drive: RequestDrive,
  event: DriveEvent,
  context: DriveContext,
): readonly DriveEffect[] {
  const turn: Turn = { drive, context, out: [] };
  if (drive.phase !== DrivePhase.Done) handle(turn, event);
  return turn.out;
}

function handle(turn: Turn, event: DriveEvent): void {
  const { drive } = turn;
  switch (event.kind) {
    case DriveEventKind.CallerArrived:
      start(turn);
      return;
    case DriveEventKind.CallerGone:
      onCallerGone(turn);
      return;
    case DriveEventKind.HolderFailed:
      takeFailure(turn, event.roundId, event.from);
      return;
    case DriveEventKind.HolderReplied:
      onHolderReply(turn, event.roundId, event.from, event.reply);
      return;
    case DriveEventKind.MembersChanged:
      onMembersChanged(turn);
      return;
    case DriveEventKind.StreamOpened:
    case DriveEventKind.StreamTokens:
    case DriveEventKind.StreamEnded:
    case DriveEventKind.StreamFailed:
      onStreamEvent(turn, event);
      return;
    case DriveEventKind.CancelReplied:
      if (event.attemptId === drive.attempt?.id) onCancelOutcome(turn, event.outcome);
      return;
    case DriveEventKind.TimerFired:
      if (drive.timerIds.get(event.timer) === event.timerId) onTimer(turn, event.timer);
      return;
    default:
      if (event.askId === drive.askId) onAskReplied(turn, event);
  }
}

function start(turn: Turn): void {
  const { drive, context } = turn;
  depositFirstTry(context.budget, context.options.retry);
  setTimer(turn, DriveTimer.Deadline, drive.request.deadlineMs);
  beginRound(turn, { kind: HolderCallKind.Create, record: drive.known });
}

/**
 * An accepted request goes on without its caller. One that is not accepted yet ends: nothing was
 * promised, and callers who leave and come back would each time leave another one behind that asks
 * the holders.
 */
function onCallerGone(turn: Turn): void {
  const { drive } = turn;
  drive.callerPresent = false;
  if (drive.phase !== DrivePhase.Creating) return;
  emit(turn, EventKind.RequestRefused, 'its caller left before it was accepted', {
    figures: roundFigures(turn),
  });
  finishDrive(turn);
}

type AskReply = Extract<DriveEvent, { askId: number }>;

function onAskReplied(turn: Turn, event: AskReply): void {
  const { drive, context } = turn;
  const { service } = drive.request;
  switch (event.kind) {
    case DriveEventKind.Admitted:
      if (drive.phase === DrivePhase.AwaitingAdmission) takePlace(turn, event.place, false);
      return;
    case DriveEventKind.AdmissionRefused:
      if (drive.phase !== DrivePhase.AwaitingAdmission) return;
      refuse(turn, NOT_ADMITTED.of({ service, reason: event.reason }), event.retryAfterMs);
      return;
    case DriveEventKind.LoneRunReplied:
      if (drive.phase === DrivePhase.AwaitingLoneRun) onLoneRunReply(turn, event);
      return;
    case DriveEventKind.SessionOpened:
      if (drive.phase !== DrivePhase.OpeningSession) return;
      takeSession(turn, event.sessionId, event.sequence);
      return;
    case DriveEventKind.SessionFailed:
      if (drive.phase !== DrivePhase.OpeningSession) return;
      drive.avoidTargets = [...drive.avoidTargets, drive.place?.target ?? ''];
      backOff(turn, context.options.reattachAfterMs);
      return;
    case DriveEventKind.ClaimReplied:
      if (drive.phase === DrivePhase.Claiming) onClaimReply(turn, event);
  }
}

function onLoneRunReply(
  turn: Turn,
  event: Extract<DriveEvent, { kind: DriveEventKind.LoneRunReplied }>,
): void {
  if (event.outcome === LoneRunOutcome.Convicted) convict(turn, event.crashes);
  else if (event.outcome === LoneRunOutcome.Granted && event.place !== null) {
    turn.drive.loneIncarnation = event.sidecarIncarnation;
    takePlace(turn, event.place, true);
  } else backOff(turn, event.retryAfterMs);
}

function onClaimReply(
  turn: Turn,
  event: Extract<DriveEvent, { kind: DriveEventKind.ClaimReplied }>,
): void {
  const { drive } = turn;
  const { service, bodyHash } = drive.request;
  if (event.outcome === ClaimOutcome.Granted) {
    emit(turn, EventKind.ClaimTaken, 'the call may not be repeated');
    noteAttempt(turn);
    return;
  }
  abandonPrepared(turn);
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
  drive.known = joinRecords(drive.known, { ...drive.known, attempts });
  decide(turn);
}

function onHolderReply(turn: Turn, roundId: number, from: string, reply: HolderReply): void {
  if (takeReply(turn, roundId, from, reply)) onRoundProgress(turn);
}

function onRoundProgress(turn: Turn): void {
  const { drive, context } = turn;
  const { options } = context;
  if (drive.round === null) return;
  switch (drive.phase) {
    case DrivePhase.Creating:
      onCreateProgress(turn);
      return;
    case DrivePhase.Noting:
      if (options.mayProceed(drive.round.replies, roundTargets(turn))) dispatch(turn);
      else if (someReply(turn, HolderReplyKind.Conflict)) onNoteConflict(turn);
      else if (roundIsComplete(turn)) resolveNote(turn);
      return;
    case DrivePhase.Reconciling:
      if (roundIsComplete(turn)) decide(turn);
      return;
    case DrivePhase.Convicting:
      if (roundIsComplete(turn)) onConvicted(turn);
      return;
    case DrivePhase.Releasing:
      if (roundIsComplete(turn)) tellRefusal(turn, runStateOf(turn));
      return;
    default:
  }
}

/** Another request took the key at a holder that had lost this one's record. */
function onNoteConflict(turn: Turn): void {
  abandonPrepared(turn);
  refuse(turn, KEY_CONFLICT.of({ service: turn.drive.request.service }), 0);
}

function onCreateProgress(turn: Turn): void {
  const { drive, context } = turn;
  const { service } = drive.request;
  const replies = new Map<string, HolderReply>();
  for (const [member, reply] of drive.round?.replies ?? []) {
    const isThere = reply.kind === HolderReplyKind.Standing;
    replies.set(member, isThere ? { ...reply, kind: HolderReplyKind.Done } : reply);
    const isAbsent = (reply.record?.attempts.length ?? 0) === 0;
    const isOldEnough = reply.upForMs >= context.options.absenceHorizonMs;
    if (isAbsent && isOldEnough) drive.absentAt.add(member);
  }
  if (someReply(turn, HolderReplyKind.Conflict)) {
    refuse(turn, KEY_CONFLICT.of({ service }), 0);
    return;
  }
  if (someReply(turn, HolderReplyKind.Full)) {
    refuse(turn, RECORDS_FULL.of({ service }), context.options.retryAfterMs);
    return;
  }
  if (!context.options.mayProceed(replies, roundTargets(turn))) return;
  emit(turn, EventKind.RequestAccepted, 'every holder has the record');
  decide(turn);
}

function onConvicted(turn: Turn): void {
  const { drive } = turn;
  const { answer } = drive.known;
  const failure = drive.known.failure ?? drive.pendingFailure;
  if (answer !== null) reconcile(turn, answer);
  else if (failure !== null) tellFinalFailure(turn, failure);
}

function onMembersChanged(turn: Turn): void {
  const { drive, context } = turn;
  if (drive.round !== null) {
    askMissing(turn);
    onRoundProgress(turn);
  }
  const sidecar = drive.attempt?.sidecar;
  if (drive.phase !== DrivePhase.Streaming || sidecar === undefined) return;
  if (!context.isLive(sidecar)) lossOfTarget(turn);
}
