/**
 * Dispatches and attachments at a sidecar: which may begin, which are refused for ever, and when a
 * lone run may start.
 */
import { addReader, failHosted, streamFailure } from './host-streams.js';
import type { HostTurn } from './host-streams.js';
import { HostEffectKind, HostedPhase } from './host-types.js';
import type { HostState, HostedAttempt } from './host-types.js';
import { StreamFailureReason } from './messages.js';
import type { AttachMessage, DispatchMessage } from './messages.js';
import { SequenceVerdict, isOfIncarnation, markSeen } from './sessions.js';

/** Estimated bytes of an attempt beside its tokens. */
const ATTEMPT_BASE_BYTES = 1200;
const TOKEN_BASE_BYTES = 24;

export function onDispatch(turn: HostTurn, attachId: string, message: DispatchMessage): void {
  const { state, context } = turn;
  const { attempt } = message;
  const known = state.attempts.get(attempt.id);
  if (known !== undefined) {
    addReader(turn, known, attachId, attempt.startIndex);
    return;
  }
  const session = state.sessions.byId.get(attempt.sessionId);
  const verdict = context.options.judgeSequence(session, attempt.sequence);
  const { reason, mayHaveRun } = refusalOf(turn, verdict, message);
  if (reason !== null) {
    const neverRuns = verdict === SequenceVerdict.Fresh;
    if (neverRuns) markSeen(state.sessions, attempt, true, context.options.sessions);
    const failure = streamFailure(reason, mayHaveRun, context.options.busyRetryAfterMs);
    turn.out.push({ kind: HostEffectKind.FailStream, attachId, failure });
    return;
  }
  markSeen(state.sessions, attempt, false, context.options.sessions);
  const hosted = host(turn, message);
  addReader(turn, hosted, attachId, attempt.startIndex);
  startWhenAlone(turn);
}

interface DispatchRefusal {
  readonly reason: StreamFailureReason | null;
  readonly mayHaveRun: boolean;
}

function refusalOf(
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
      if (state.awaitedLoneRuns.get(attempt.id)?.forbidden === true) {
        return { reason: StreamFailureReason.Cancelled, mayHaveRun: false };
      }
      if (isSuspected) return { reason: StreamFailureReason.Suspected, mayHaveRun: false };
      if (message.remainingMs <= 0) {
        return { reason: StreamFailureReason.Expired, mayHaveRun: false };
      }
      const running = runningAttempts(state);
      const isBlocked = !attempt.alone && !context.options.leavesAlone(running, false);
      const isInherited = state.inherited === null || state.inherited.mayBeLone;
      const isBusy = isBlocked || isInherited || state.draining || isFull(turn, message);
      return { reason: isBusy ? StreamFailureReason.Busy : null, mayHaveRun: false };
    }
  }
}

function isFull(turn: HostTurn, message: DispatchMessage): boolean {
  const { state, context } = turn;
  if (state.attempts.size >= context.options.maxAttempts) return true;
  const newBytes = ATTEMPT_BASE_BYTES + sizeOfTokens(message.continueFrom);
  return state.totalBytes + newBytes > context.options.maxBytes;
}

function host(turn: HostTurn, message: DispatchMessage): HostedAttempt {
  const { state, context } = turn;
  const hosted: HostedAttempt = {
    attempt: message.attempt,
    record: message.record,
    payload: message.payload,
    phase: HostedPhase.Waiting,
    loneRunStands: false,
    loneRunAskedAtMs: -Infinity,
    tokens: [...message.continueFrom],
    ending: null,
    failure: null,
    attachments: new Map(),
    holderCall: null,
    holderReplies: new Map(),
    holdersAskedAtMs: context.nowMs,
    holdersUnderWay: new Map(),
    patienceUntilMs: Infinity,
    deadlineAtMs: context.nowMs + message.remainingMs,
    expiresAtMs: Infinity,
    sizeBytes: ATTEMPT_BASE_BYTES + sizeOfTokens(message.continueFrom),
  };
  state.attempts.set(message.attempt.id, hosted);
  state.totalBytes += hosted.sizeBytes;
  return hosted;
}

/**
 * Asks whether the lone run still stands. Failure: its dispatch waited in a paused sidecar while the
 * service's place was given to others and the content was convicted; it shows as a target that is
 * lost to a convicted content. The guard holds because the ledger is read just before the start.
 */
function checkLoneRun(turn: HostTurn, hosted: HostedAttempt): void {
  const { nowMs, options } = turn.context;
  if (nowMs - hosted.loneRunAskedAtMs < options.holderRetryMs) return;
  hosted.loneRunAskedAtMs = nowMs;
  const attemptId = hosted.attempt.id;
  const { service } = hosted.record;
  turn.out.push({ kind: HostEffectKind.CheckLoneRun, attemptId, service });
}

/** The ledger was read for a lone run that waits. */
export function onLoneRunChecked(turn: HostTurn, attemptId: string, stands: boolean): void {
  const hosted = turn.state.attempts.get(attemptId);
  if (hosted?.phase !== HostedPhase.Waiting) return;
  if (!stands) {
    neverRun(turn, hosted, StreamFailureReason.Cancelled);
    return;
  }
  hosted.loneRunStands = true;
  startWhenAlone(turn);
  hosted.loneRunStands = false;
}

/**
 * Starts what waits: a lone run once nothing else runs, others at once. Streams that a former
 * incarnation left in the engine count as well: they would crash with a suspect unseen.
 */
export function startWhenAlone(turn: HostTurn): void {
  const { state, context } = turn;
  for (const hosted of state.attempts.values()) {
    if (hosted.phase !== HostedPhase.Waiting) continue;
    const others = runningAttempts(state).filter((other) => other !== hosted);
    const started = others.filter((other) => other.phase !== HostedPhase.Waiting);
    if (!context.options.leavesAlone(started, hosted.attempt.alone)) continue;
    if (hosted.attempt.alone && state.inherited?.count !== 0) continue;
    if (hosted.attempt.alone && !hosted.loneRunStands) {
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
 * Joins a stream. One that a former incarnation of this sidecar started may still run in the
 * engine; it is taken up again where all of its text came from that engine.
 */
export function onAttach(turn: HostTurn, attachId: string, message: AttachMessage): void {
  const { state } = turn;
  const { attempt } = message;
  const known = state.attempts.get(attempt.id);
  if (known !== undefined) {
    addReader(turn, known, attachId, message.fromIndex);
    return;
  }
  const isFormer = !isOfIncarnation(state.sessions, attempt.sessionId);
  if (
    !isFormer ||
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
  const hosted = host(turn, dispatch);
  hosted.phase = HostedPhase.Resuming;
  addReader(turn, hosted, attachId, message.fromIndex);
  turn.out.push({ kind: HostEffectKind.ResumeEngine, attemptId: attempt.id, fromIndex: 0 });
}

export function neverRun(turn: HostTurn, hosted: HostedAttempt, reason: StreamFailureReason): void {
  const { state, context } = turn;
  markSeen(state.sessions, hosted.attempt, true, context.options.sessions);
  failHosted(turn, hosted, reason, false);
}

export function sizeOfTokens(tokens: readonly string[]): number {
  return tokens.reduce((sum, token) => sum + TOKEN_BASE_BYTES + token.length, 0);
}

export function removeHosted(state: HostState, hosted: HostedAttempt): void {
  state.totalBytes -= hosted.sizeBytes;
  state.attempts.delete(hosted.attempt.id);
}

/**
 * Attempts that a process which stops must not leave: those that run, those whose answer the holders
 * are being told, and those of which a reader has not had the end.
 */
export function openAttempts(state: HostState): readonly HostedAttempt[] {
  const running = new Set(runningAttempts(state));
  return [...state.attempts.values()].filter(
    (hosted) =>
      running.has(hosted) || hosted.phase === HostedPhase.Committing || hosted.attachments.size > 0,
  );
}

/** Attempts that the engine works on, or will when its turn comes. */
export function runningAttempts(state: HostState): readonly HostedAttempt[] {
  const active = [HostedPhase.Waiting, HostedPhase.Resuming, HostedPhase.Running];
  return [...state.attempts.values()].filter((hosted) => active.includes(hosted.phase));
}

/**
 * Guards innocents and the fleet from a suspect of crashes. Failure: a suspect runs in a batch with
 * others; it shows as innocents that are cut and suspected too. The guard holds because the target
 * runs nothing else beside it, and it waits until nothing else runs.
 */
export function leavesAlone(running: readonly HostedAttempt[], alone: boolean): boolean {
  if (running.length === 0) return true;
  return !alone && !running.some((hosted) => hosted.attempt.alone);
}
