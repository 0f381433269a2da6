/**
 * Handles dispatches and attachments at a sidecar: decides which attempts may start, which are
 * refused permanently, and when a lone run may start.
 */
import { addReader, failHosted, streamFailure } from './host-streams.js';
import type { HostTurn } from './host-streams.js';
import { HostEffectKind, HostedPhase } from './host-types.js';
import type { HostState, HostedAttempt } from './host-types.js';
import { StreamFailureReason } from './messages.js';
import type { AttachMessage, DispatchMessage } from './messages.js';
import { SequenceVerdict, isOfIncarnation, markSeen } from './sessions.js';

/** Estimated size of an attempt without its tokens. */
const ATTEMPT_BASE_BYTES = 1200;
const TOKEN_BASE_BYTES = 24;

/** Hosts a dispatched attempt, attaches to it if it is hosted already, or refuses it. */
export function onDispatch(turn: HostTurn, attachId: string, message: DispatchMessage): void {
  const { state, context } = turn;
  const { attempt } = message;
  const existing = state.attempts.get(attempt.id);
  if (existing !== undefined) {
    addReader(turn, existing, attachId, attempt.startIndex);
    return;
  }
  const session = state.sessions.byId.get(attempt.sessionId);
  const verdict = context.options.judgeSequence(session, attempt.sequence);
  const { reason, mayHaveRun } = findRefusal(turn, verdict, message);
  if (reason !== null) {
    const neverRuns = verdict === SequenceVerdict.Fresh;
    if (neverRuns) markSeen(state.sessions, attempt, true, context.options.sessions);
    const failure = streamFailure(reason, mayHaveRun, context.options.busyRetryAfterMs);
    turn.out.push({ kind: HostEffectKind.FailStream, attachId, failure });
    return;
  }
  markSeen(state.sessions, attempt, false, context.options.sessions);
  const hosted = addHosted(turn, message);
  addReader(turn, hosted, attachId, attempt.startIndex);
  startWaitingAttempts(turn);
}

interface DispatchRefusal {
  readonly reason: StreamFailureReason | null;
  readonly mayHaveRun: boolean;
}

function findRefusal(
  turn: HostTurn,
  verdict: SequenceVerdict,
  message: DispatchMessage,
): DispatchRefusal {
  const { state, context } = turn;
  const { attempt } = message;
  switch (verdict) {
    case SequenceVerdict.NoSession:
      return { reason: StreamFailureReason.SessionRequired, mayHaveRun: true };
    case SequenceVerdict.Refused:
      return { reason: StreamFailureReason.Cancelled, mayHaveRun: false };
    case SequenceVerdict.Stale:
      return { reason: StreamFailureReason.TooOld, mayHaveRun: true };
    case SequenceVerdict.Fresh: {
      const isSuspected = !attempt.alone && state.suspectedHashes.has(message.record.bodyHash);
      if (state.probedLoneRuns.get(attempt.id)?.forbidden === true) {
        return { reason: StreamFailureReason.Cancelled, mayHaveRun: false };
      }
      if (isSuspected) return { reason: StreamFailureReason.Suspected, mayHaveRun: false };
      if (message.remainingMs <= 0) {
        return { reason: StreamFailureReason.Expired, mayHaveRun: false };
      }
      const running = runningAttempts(state);
      const isBlockedByLoneRun = !attempt.alone && !context.options.mayStartBeside(running, false);
      const mayInheritLoneRun = state.inherited === null || state.inherited.mayBeLone;
      const isBusy =
        isBlockedByLoneRun || mayInheritLoneRun || state.draining || isFull(turn, message);
      return { reason: isBusy ? StreamFailureReason.Busy : null, mayHaveRun: false };
    }
  }
}

function isFull(turn: HostTurn, message: DispatchMessage): boolean {
  const { state, context } = turn;
  if (state.attempts.size >= context.options.maxAttempts) return true;
  const newBytes = ATTEMPT_BASE_BYTES + estimateTokenBytes(message.continueFrom);
  return state.totalBytes + newBytes > context.options.maxBytes;
}

function addHosted(turn: HostTurn, message: DispatchMessage): HostedAttempt {
  const { state, context } = turn;
  const hosted: HostedAttempt = {
    attempt: message.attempt,
    record: message.record,
    payload: message.payload,
    phase: HostedPhase.Waiting,
    loneRunConfirmed: false,
    loneRunCheckedAtMs: -Infinity,
    tokens: [...message.continueFrom],
    ending: null,
    failure: null,
    attachments: new Map(),
    holderCall: null,
    holderReplies: new Map(),
    holdersCalledAtMs: context.nowMs,
    holderCallsInFlight: new Map(),
    delegateCommitAtMs: Infinity,
    deadlineAtMs: context.nowMs + message.remainingMs,
    expiresAtMs: Infinity,
    sizeBytes: ATTEMPT_BASE_BYTES + estimateTokenBytes(message.continueFrom),
  };
  state.attempts.set(message.attempt.id, hosted);
  state.totalBytes += hosted.sizeBytes;
  return hosted;
}

/**
 * Requests a check whether the ledger still names this lone run, just before it starts. Without the
 * check, a dispatch that waited in a paused sidecar could start after its slot was given to other
 * runs and its content was convicted, and crash another target.
 */
function checkLoneRun(turn: HostTurn, hosted: HostedAttempt): void {
  const { nowMs, options } = turn.context;
  if (nowMs - hosted.loneRunCheckedAtMs < options.holderRetryMs) return;
  hosted.loneRunCheckedAtMs = nowMs;
  const attemptId = hosted.attempt.id;
  const { service } = hosted.record;
  turn.out.push({ kind: HostEffectKind.CheckLoneRun, attemptId, service });
}

/** Handles the result of the ledger check: starts the waiting lone run, or rejects it. */
export function onLoneRunChecked(
  turn: HostTurn,
  attemptId: string,
  isCurrentLoneRun: boolean,
): void {
  const hosted = turn.state.attempts.get(attemptId);
  if (hosted?.phase !== HostedPhase.Waiting) return;
  if (!isCurrentLoneRun) {
    rejectWaiting(turn, hosted, StreamFailureReason.Cancelled);
    return;
  }
  hosted.loneRunConfirmed = true;
  startWaitingAttempts(turn);
  hosted.loneRunConfirmed = false;
}

/**
 * Starts waiting attempts: a lone run when nothing else runs, and others immediately. Streams that
 * an earlier incarnation left in the engine count as running too, because the crash of a suspect
 * would end them without being attributed to it.
 */
export function startWaitingAttempts(turn: HostTurn): void {
  const { state, context } = turn;
  for (const hosted of state.attempts.values()) {
    if (hosted.phase !== HostedPhase.Waiting) continue;
    const otherAttempts = runningAttempts(state).filter((other) => other !== hosted);
    const started = otherAttempts.filter((other) => other.phase !== HostedPhase.Waiting);
    if (!context.options.mayStartBeside(started, hosted.attempt.alone)) continue;
    if (hosted.attempt.alone && state.inherited?.count !== 0) continue;
    if (hosted.attempt.alone && !hosted.loneRunConfirmed) {
      checkLoneRun(turn, hosted);
      continue;
    }
    hosted.phase = HostedPhase.Running;
    turn.out.push({
      kind: HostEffectKind.StartEngine,
      attempt: hosted.attempt,
      payload: hosted.payload,
      continueFrom: hosted.tokens.slice(),
    });
  }
}

/**
 * Attaches a reader to a stream. A stream that an earlier incarnation of this sidecar started may
 * still run in the engine; it is resumed if its whole text came from that engine.
 */
export function onAttach(turn: HostTurn, attachId: string, message: AttachMessage): void {
  const { state } = turn;
  const { attempt } = message;
  const existing = state.attempts.get(attempt.id);
  if (existing !== undefined) {
    addReader(turn, existing, attachId, message.fromIndex);
    return;
  }
  const isOfEarlierIncarnation = !isOfIncarnation(state.sessions, attempt.sessionId);
  if (
    !isOfEarlierIncarnation ||
    attempt.startIndex > 0 ||
    state.attempts.size >= turn.context.options.maxAttempts
  ) {
    const failure = streamFailure(StreamFailureReason.Lost, true);
    turn.out.push({ kind: HostEffectKind.FailStream, attachId, failure });
    return;
  }
  const { record } = message;
  const { remainingMs } = record;
  const dispatch = { attempt, record, continueFrom: [], payload: null, remainingMs };
  const hosted = addHosted(turn, dispatch);
  hosted.phase = HostedPhase.Resuming;
  addReader(turn, hosted, attachId, message.fromIndex);
  turn.out.push({ kind: HostEffectKind.ResumeEngine, attemptId: attempt.id, fromIndex: 0 });
}

/** Fails an attempt that has not started, and records that its dispatch never runs. */
export function rejectWaiting(
  turn: HostTurn,
  hosted: HostedAttempt,
  reason: StreamFailureReason,
): void {
  const { state, context } = turn;
  markSeen(state.sessions, hosted.attempt, true, context.options.sessions);
  failHosted(turn, hosted, reason, false);
}

/** Estimates the memory that tokens take. */
export function estimateTokenBytes(tokens: readonly string[]): number {
  return tokens.reduce((sum, token) => sum + TOKEN_BASE_BYTES + token.length, 0);
}

/** Removes an attempt and releases the memory that is accounted to it. */
export function removeHosted(state: HostState, hosted: HostedAttempt): void {
  state.totalBytes -= hosted.sizeBytes;
  state.attempts.delete(hosted.attempt.id);
}

/**
 * Returns the attempts that must end before the process may stop: those that are running, those
 * whose answer is being committed, and those with a reader that has not received the end.
 */
export function openAttempts(state: HostState): readonly HostedAttempt[] {
  const running = new Set(runningAttempts(state));
  return [...state.attempts.values()].filter(
    (hosted) =>
      running.has(hosted) || hosted.phase === HostedPhase.Committing || hosted.attachments.size > 0,
  );
}

/** Returns the attempts that run on the engine or wait to be started. */
export function runningAttempts(state: HostState): readonly HostedAttempt[] {
  const active = [HostedPhase.Waiting, HostedPhase.Resuming, HostedPhase.Running];
  return [...state.attempts.values()].filter((hosted) => active.includes(hosted.phase));
}

/**
 * Returns whether an attempt may start beside the running ones. A lone run, whose content is
 * suspected of crashing engines, starts only when nothing else runs, and nothing starts beside it.
 * Otherwise its crash would end other requests in the same batch and make their contents suspects
 * too.
 */
export function mayStartBeside(running: readonly HostedAttempt[], alone: boolean): boolean {
  if (running.length === 0) return true;
  return !alone && !running.some((hosted) => hosted.attempt.alone);
}
