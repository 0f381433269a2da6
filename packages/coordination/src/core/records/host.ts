/**
 * The attempt machine of a sidecar. A dispatch runs once, in the session that it names; an attempt
 * that was taken back or refused never runs, however late a copy of its dispatch comes. Answers are
 * kept whole while they are made and go on without any entry; the end goes to the holders first.
 */
import { askHolders, checkCommitted, handOver, onHolderReply } from './host-commit.js';
import {
  neverRun,
  onAttach,
  onDispatch,
  onLoneRunChecked,
  removeHosted,
  runningAttempts,
  startWhenAlone,
} from './host-dispatch.js';
import { onCrash, onEngine, onSuspicion } from './host-engine.js';
import { attemptOfReader, feedReader } from './host-streams.js';
import type { HostTurn } from './host-streams.js';
import { HostEventKind, HostedPhase } from './host-types.js';
import type { HostContext, HostEffect, HostEvent, HostState } from './host-types.js';
import { CancelOutcome, LoneProbe, StreamFailureReason } from './messages.js';
import type { CancelMessage, ProbeMessage } from './messages.js';
import type { Attempt } from './record.js';
import { SequenceVerdict, createSessions, markSeen } from './sessions.js';

/** A sidecar that has just started; `incarnation` is drawn anew at each start. */
export function createHost(sidecarId: string, target: string, incarnation: string): HostState {
  return {
    sidecarId,
    target,
    sessions: createSessions(incarnation),
    attempts: new Map(),
    totalBytes: 0,
    draining: false,
    inherited: null,
    suspectedHashes: new Set(),
    awaitedLoneRuns: new Map(),
  };
}

/** Takes one event and returns what is to be done. */
export function handleHostEvent(
  state: HostState,
  event: HostEvent,
  context: HostContext,
): readonly HostEffect[] {
  const turn: HostTurn = { state, context, out: [] };
  handle(turn, event);
  return turn.out;
}

/** Takes an attempt back unless it was received; the answer says truly which. */
export function cancelHosted(
  state: HostState,
  message: CancelMessage,
  context: HostContext,
): { readonly outcome: CancelOutcome; readonly effects: readonly HostEffect[] } {
  const turn: HostTurn = { state, context, out: [] };
  return { outcome: cancel(turn, message.attempt), effects: turn.out };
}

function handle(turn: HostTurn, event: HostEvent): void {
  const { state } = turn;
  switch (event.kind) {
    case HostEventKind.Dispatched:
      onDispatch(turn, event.attachId, event.message);
      return;
    case HostEventKind.Attached:
      onAttach(turn, event.attachId, event.message);
      return;
    case HostEventKind.Detached:
    case HostEventKind.ReaderPaused:
    case HostEventKind.ReaderResumed:
      onReader(turn, event.kind, event.attachId);
      return;
    case HostEventKind.EngineTokens:
    case HostEventKind.EngineEnded:
    case HostEventKind.EngineStreamFailed:
    case HostEventKind.EngineStreamMissing:
      onEngine(turn, event);
      return;
    case HostEventKind.EngineCrashed:
      onCrash(turn);
      return;
    case HostEventKind.EngineInherited:
      state.inherited = event.inherited;
      startWhenAlone(turn);
      return;
    case HostEventKind.HolderReplied: {
      const hosted = state.attempts.get(event.attemptId);
      if (hosted !== undefined) onHolderReply(turn, hosted, event.from, event.reply);
      return;
    }
    case HostEventKind.HolderFailed:
      state.attempts.get(event.attemptId)?.holdersUnderWay.delete(event.from);
      return;
    case HostEventKind.MembersChanged:
      for (const hosted of state.attempts.values()) {
        askHolders(turn, hosted);
        checkCommitted(turn, hosted);
      }
      return;
    case HostEventKind.LoneRunChecked:
      onLoneRunChecked(turn, event.attemptId, event.stands);
      return;
    case HostEventKind.ContentSuspected:
      onSuspicion(turn, event.bodyHash);
      return;
    case HostEventKind.ContentCleared:
      state.suspectedHashes.delete(event.bodyHash);
      return;
    case HostEventKind.DrainChanged:
      state.draining = event.draining;
      return;
    case HostEventKind.Tick:
      onTick(turn);
  }
}

function onReader(turn: HostTurn, kind: HostEventKind, attachId: string): void {
  const hosted = attemptOfReader(turn.state, attachId);
  const reader = hosted?.attachments.get(attachId);
  if (hosted === undefined || reader === undefined) return;
  if (kind === HostEventKind.Detached) {
    hosted.attachments.delete(attachId);
    return;
  }
  reader.paused = kind === HostEventKind.ReaderPaused;
  feedReader(turn, hosted, attachId);
}

function onTick(turn: HostTurn): void {
  const { state, context } = turn;
  for (const hosted of state.attempts.values()) {
    const isExpiredWaiter =
      hosted.phase === HostedPhase.Waiting && hosted.deadlineAtMs <= context.nowMs;
    if (isExpiredWaiter) neverRun(turn, hosted, StreamFailureReason.Expired);
    const askAgainAtMs = hosted.holdersAskedAtMs + context.options.holderRetryMs;
    if (hosted.holderCall !== null && askAgainAtMs <= context.nowMs) askHolders(turn, hosted);
    if (hosted.patienceUntilMs <= context.nowMs) handOver(turn, hosted);
    if (hosted.expiresAtMs <= context.nowMs) removeHosted(state, hosted);
  }
  startWhenAlone(turn);
}

function cancel(turn: HostTurn, attempt: Attempt): CancelOutcome {
  const { state, context } = turn;
  const hosted = state.attempts.get(attempt.id);
  if (hosted !== undefined) {
    if (hosted.phase === HostedPhase.Waiting) {
      neverRun(turn, hosted, StreamFailureReason.Cancelled);
    }
    return hosted.failure?.mayHaveRun === false ? CancelOutcome.NeverRuns : CancelOutcome.Started;
  }
  const session = state.sessions.byId.get(attempt.sessionId);
  switch (context.options.judgeSequence(session, attempt.sequence)) {
    case SequenceVerdict.Fresh:
      markSeen(state.sessions, attempt, true, context.options.sessions);
      return CancelOutcome.NeverRuns;
    case SequenceVerdict.Refused:
      return CancelOutcome.NeverRuns;
    case SequenceVerdict.Stale:
    case SequenceVerdict.NoSession:
      return CancelOutcome.Unknown;
  }
}

/**
 * Says what became of a lone run whose place another suspect wants. One that does not come within
 * the grace is forbidden before its place is given away: its dispatch may still be under way.
 */
export function probeLoneRun(
  state: HostState,
  message: ProbeMessage,
  context: HostContext,
): LoneProbe {
  const { attemptId, sidecarIncarnation } = message;
  if (sidecarIncarnation !== state.sessions.incarnation) return LoneProbe.Gone;
  const hosted = state.attempts.get(attemptId);
  if (hosted === undefined) return awaitLoneRun(state, attemptId, context);
  if (hosted.failure?.reason === StreamFailureReason.EngineCrashed) return LoneProbe.Crashed;
  return runningAttempts(state).includes(hosted) ? LoneProbe.Running : LoneProbe.Over;
}

function awaitLoneRun(state: HostState, attemptId: string, context: HostContext): LoneProbe {
  const { nowMs, options } = context;
  const awaited = state.awaitedLoneRuns.get(attemptId);
  if (awaited === undefined) {
    if (state.awaitedLoneRuns.size >= options.maxAwaitedLoneRuns) dropOldestAwaited(state);
    state.awaitedLoneRuns.set(attemptId, { askedAtMs: nowMs, forbidden: false });
    return LoneProbe.Running;
  }
  if (nowMs - awaited.askedAtMs >= options.loneRunGraceMs) awaited.forbidden = true;
  return awaited.forbidden ? LoneProbe.Over : LoneProbe.Running;
}

function dropOldestAwaited(state: HostState): void {
  const oldest = state.awaitedLoneRuns.keys().next().value;
  if (oldest !== undefined) state.awaitedLoneRuns.delete(oldest);
}
