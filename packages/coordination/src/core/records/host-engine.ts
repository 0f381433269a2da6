/**
 * Handles the events of the engine beside a sidecar: tokens, ends of streams, failed streams and
 * crashes, as well as reports of content that crashed another engine.
 */
import { EventKind } from '../events/event.js';
import { commitAnswer, commitCrash } from './host-commit.js';
import {
  removeHosted,
  runningAttempts,
  estimateTokenBytes,
  startWaitingAttempts,
} from './host-dispatch.js';
import { failHosted, sendToAllReaders } from './host-streams.js';
import type { HostTurn } from './host-streams.js';
import { HostEffectKind, HostEventKind, HostedPhase } from './host-types.js';
import type { HostEvent, HostedAttempt } from './host-types.js';
import { StreamFailureReason } from './messages.js';

type EngineEvent = Extract<
  HostEvent,
  {
    kind:
      | HostEventKind.EngineTokens
      | HostEventKind.EngineEnded
      | HostEventKind.EngineStreamFailed
      | HostEventKind.EngineStreamMissing;
  }
>;

/** Handles an event of one engine stream; events of inactive attempts are ignored. */
export function onEngineEvent(turn: HostTurn, event: EngineEvent): void {
  const hosted = turn.state.attempts.get(event.attemptId);
  if (hosted === undefined) return;
  const isActive = hosted.phase === HostedPhase.Running || hosted.phase === HostedPhase.Resuming;
  if (!isActive) return;
  switch (event.kind) {
    case HostEventKind.EngineTokens:
      onEngineTokens(turn, hosted, event.index, event.tokens);
      return;
    case HostEventKind.EngineEnded:
      becomeRunning(turn, hosted);
      commitAnswer(turn, hosted, event.ending);
      startWaitingAttempts(turn);
      return;
    case HostEventKind.EngineStreamFailed:
      failHosted(turn, hosted, StreamFailureReason.EngineFailed, event.mayHaveRun);
      startWaitingAttempts(turn);
      return;
    case HostEventKind.EngineStreamMissing: {
      const wasResuming = hosted.phase === HostedPhase.Resuming;
      const reason = wasResuming ? StreamFailureReason.Lost : StreamFailureReason.EngineFailed;
      failHosted(turn, hosted, reason, true);
      if (wasResuming) removeHosted(turn.state, hosted);
      startWaitingAttempts(turn);
    }
  }
}

function becomeRunning(turn: HostTurn, hosted: HostedAttempt): void {
  if (hosted.phase !== HostedPhase.Resuming) return;
  hosted.phase = HostedPhase.Running;
  for (const attachId of hosted.attachments.keys()) {
    turn.out.push({ kind: HostEffectKind.OpenStream, attachId });
  }
}

function onEngineTokens(
  turn: HostTurn,
  hosted: HostedAttempt,
  index: number,
  tokens: readonly string[],
): void {
  if (index > hosted.tokens.length) {
    failHosted(turn, hosted, StreamFailureReason.EngineFailed, true);
    turn.out.push({ kind: HostEffectKind.CancelEngine, attemptId: hosted.attempt.id });
    return;
  }
  becomeRunning(turn, hosted);
  const newTokens = tokens.slice(hosted.tokens.length - index);
  hosted.tokens.push(...newTokens);
  const bytes = estimateTokenBytes(newTokens);
  hosted.sizeBytes += bytes;
  turn.state.totalBytes += bytes;
  if (hosted.tokens.length > turn.context.options.maxAnswerTokens) {
    turn.out.push({ kind: HostEffectKind.CancelEngine, attemptId: hosted.attempt.id });
    failHosted(turn, hosted, StreamFailureReason.EngineFailed, true);
    return;
  }
  sendToAllReaders(turn, hosted);
}

/**
 * Handles a crash of the engine. If the sidecar was paused, the report of the crash arrives late,
 * and attempts that are recorded as running may have started on the engine after the crash. They
 * are therefore cancelled, and nothing new starts until the engine has reported what it runs;
 * otherwise a lone run could start beside them.
 */
export function onEngineCrash(turn: HostTurn): void {
  const { state } = turn;
  state.inherited = null;
  const running = runningAttempts(state).filter((hosted) => hosted.phase === HostedPhase.Running);
  for (const hosted of running) {
    failHosted(turn, hosted, StreamFailureReason.EngineCrashed, true);
    commitCrash(turn, hosted);
    addSuspectedHash(turn, hosted.record.bodyHash);
    turn.out.push({ kind: HostEffectKind.CancelEngine, attemptId: hosted.attempt.id });
  }
  const service = running[0]?.record.service;
  if (service !== undefined) {
    const suspects = running.map((hosted) => ({
      attemptId: hosted.attempt.id,
      bodyHash: hosted.record.bodyHash,
      alone: hosted.attempt.alone,
    }));
    turn.out.push({ kind: HostEffectKind.ReportCrash, service, suspects });
  }
  const event = {
    kind: EventKind.EngineCrashed,
    target: state.target,
    reason: 'its streams ended at once',
    figures: { running: running.length },
  };
  turn.out.push({ kind: HostEffectKind.Emit, event });
  startWaitingAttempts(turn);
}

function addSuspectedHash(turn: HostTurn, bodyHash: string): void {
  const { suspectedHashes } = turn.state;
  suspectedHashes.add(bodyHash);
  const oldest = suspectedHashes.values().next().value;
  const isOver = suspectedHashes.size > turn.context.options.maxSuspectedHashes;
  if (isOver && oldest !== undefined) suspectedHashes.delete(oldest);
}

/** Cancels running attempts whose content crashed another target and may crash this one. */
export function onContentSuspected(turn: HostTurn, bodyHash: string): void {
  addSuspectedHash(turn, bodyHash);
  for (const hosted of runningAttempts(turn.state)) {
    if (hosted.record.bodyHash !== bodyHash || hosted.attempt.alone) continue;
    turn.out.push({ kind: HostEffectKind.CancelEngine, attemptId: hosted.attempt.id });
    failHosted(turn, hosted, StreamFailureReason.Suspected, true);
  }
  startWaitingAttempts(turn);
}
