/**
 * State machine with which a sidecar hosts the attempts on its target. A dispatch runs at most
 * once, in the session that it names, and an attempt that was cancelled or refused never runs, even
 * if another copy of its dispatch arrives later. Answers are buffered and continue without a
 * connected entry, and they are stored at the holders before readers receive their end.
 */
import { callHolders, checkCommitted, delegateCommit, onHolderReply } from './host-commit.js';
import {
  rejectWaiting,
  onAttach,
  onDispatch,
  onLoneRunChecked,
  removeHosted,
  runningAttempts,
  startWaitingAttempts,
} from './host-dispatch.js';
import { onEngineCrash, onEngineEvent, onContentSuspected } from './host-engine.js';
import { findAttemptByReader, sendToReader } from './host-streams.js';
import type { HostTurn } from './host-streams.js';
import { HostEventKind, HostedPhase } from './host-types.js';
import type { HostContext, HostEffect, HostEvent, HostState } from './host-types.js';
import { CancelOutcome, LoneRunStatus, StreamFailureReason } from './messages.js';
import type { CancelMessage, ProbeMessage } from './messages.js';
import type { Attempt } from './record.js';
import { SequenceVerdict, createSessions, markSeen } from './sessions.js';

/** Creates the state of a sidecar at its start; each start draws a new `incarnation`. */
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
    probedLoneRuns: new Map(),
  };
}

/** Handles an event and returns the effects to carry out. */
export function handleHostEvent(
  state: HostState,
  event: HostEvent,
  context: HostContext,
): readonly HostEffect[] {
  const turn: HostTurn = { state, context, out: [] };
  handle(turn, event);
  return turn.out;
}

/** Cancels an attempt unless it has started, and returns what is known about it. */
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
      onEngineEvent(turn, event);
      return;
    case HostEventKind.EngineCrashed:
      onEngineCrash(turn);
      return;
    case HostEventKind.EngineInherited:
      state.inherited = event.inherited;
      startWaitingAttempts(turn);
      return;
    case HostEventKind.HolderReplied: {
      const hosted = state.attempts.get(event.attemptId);
      if (hosted !== undefined) onHolderReply(turn, hosted, event.from, event.reply);
      return;
    }
    case HostEventKind.HolderFailed:
      state.attempts.get(event.attemptId)?.holderCallsInFlight.delete(event.from);
      return;
    case HostEventKind.MembersChanged:
      for (const hosted of state.attempts.values()) {
        callHolders(turn, hosted);
        checkCommitted(turn, hosted);
      }
      return;
    case HostEventKind.LoneRunChecked:
      onLoneRunChecked(turn, event.attemptId, event.isCurrentLoneRun);
      return;
    case HostEventKind.ContentSuspected:
      onContentSuspected(turn, event.bodyHash);
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
  const hosted = findAttemptByReader(turn.state, attachId);
  const reader = hosted?.attachments.get(attachId);
  if (hosted === undefined || reader === undefined) return;
  if (kind === HostEventKind.Detached) {
    hosted.attachments.delete(attachId);
    return;
  }
  reader.paused = kind === HostEventKind.ReaderPaused;
  sendToReader(turn, hosted, attachId);
}

function onTick(turn: HostTurn): void {
  const { state, context } = turn;
  for (const hosted of state.attempts.values()) {
    const hasExpiredWaiting =
      hosted.phase === HostedPhase.Waiting && hosted.deadlineAtMs <= context.nowMs;
    if (hasExpiredWaiting) rejectWaiting(turn, hosted, StreamFailureReason.Expired);
    const nextCallAtMs = hosted.holdersCalledAtMs + context.options.holderRetryMs;
    if (hosted.holderCall !== null && nextCallAtMs <= context.nowMs) callHolders(turn, hosted);
    if (hosted.delegateCommitAtMs <= context.nowMs) delegateCommit(turn, hosted);
    if (hosted.expiresAtMs <= context.nowMs) removeHosted(state, hosted);
  }
  startWaitingAttempts(turn);
}

function cancel(turn: HostTurn, attempt: Attempt): CancelOutcome {
  const { state, context } = turn;
  const hosted = state.attempts.get(attempt.id);
  if (hosted !== undefined) {
    if (hosted.phase === HostedPhase.Waiting) {
      rejectWaiting(turn, hosted, StreamFailureReason.Cancelled);
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
 * Returns the state of a lone run whose slot another suspect wants. A lone run whose dispatch does
 * not arrive within the grace period is forbidden before its slot is released, because the dispatch
 * may still be in flight.
 */
export function probeLoneRun(
  state: HostState,
  message: ProbeMessage,
  context: HostContext,
): LoneRunStatus {
  const { attemptId, sidecarIncarnation } = message;
  if (sidecarIncarnation !== state.sessions.incarnation) return LoneRunStatus.Gone;
  const hosted = state.attempts.get(attemptId);
  if (hosted === undefined) return probeUnarrivedLoneRun(state, attemptId, context);
  if (hosted.failure?.reason === StreamFailureReason.EngineCrashed) return LoneRunStatus.Crashed;
  return runningAttempts(state).includes(hosted) ? LoneRunStatus.Running : LoneRunStatus.Over;
}

function probeUnarrivedLoneRun(
  state: HostState,
  attemptId: string,
  context: HostContext,
): LoneRunStatus {
  const { nowMs, options } = context;
  const probedRun = state.probedLoneRuns.get(attemptId);
  if (probedRun === undefined) {
    if (state.probedLoneRuns.size >= options.maxProbedLoneRuns) dropOldestProbed(state);
    state.probedLoneRuns.set(attemptId, { firstProbedAtMs: nowMs, forbidden: false });
    return LoneRunStatus.Running;
  }
  if (nowMs - probedRun.firstProbedAtMs >= options.loneRunGraceMs) probedRun.forbidden = true;
  return probedRun.forbidden ? LoneRunStatus.Over : LoneRunStatus.Running;
}

function dropOldestProbed(state: HostState): void {
  const oldest = state.probedLoneRuns.keys().next().value;
  if (oldest !== undefined) state.probedLoneRuns.delete(oldest);
}
