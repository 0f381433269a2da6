/**
 * What a sidecar makes of its engine's signs: tokens, ends, failed streams, crashes.
 */
import { EventKind } from '../events/event.js';
import { commitAnswer, commitCrash } from './host-commit.js';
import { removeHosted, runningAttempts, sizeOfTokens, startWhenAlone } from './host-dispatch.js';
import { failHosted, feedAll } from './host-streams.js';
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

export function onEngine(turn: HostTurn, event: EngineEvent): void {
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
      startWhenAlone(turn);
      return;
    case HostEventKind.EngineStreamFailed:
      failHosted(turn, hosted, StreamFailureReason.EngineFailed, event.mayHaveRun);
      startWhenAlone(turn);
      return;
    case HostEventKind.EngineStreamMissing: {
      const wasResuming = hosted.phase === HostedPhase.Resuming;
      const reason = wasResuming ? StreamFailureReason.Lost : StreamFailureReason.EngineFailed;
      failHosted(turn, hosted, reason, true);
      if (wasResuming) removeHosted(turn.state, hosted);
      startWhenAlone(turn);
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
  const fresh = tokens.slice(hosted.tokens.length - index);
  hosted.tokens.push(...fresh);
  const bytes = sizeOfTokens(fresh);
  hosted.sizeBytes += bytes;
  turn.state.totalBytes += bytes;
  if (hosted.tokens.length > turn.context.options.maxAnswerTokens) {
    turn.out.push({ kind: HostEffectKind.CancelEngine, attemptId: hosted.attempt.id });
    failHosted(turn, hosted, StreamFailureReason.EngineFailed, true);
    return;
  }
  feedAll(turn, hosted);
}

/**
 * The engine crashed. What counts as running here may have been started after the crash, when the
 * news come late to a sidecar that was paused: it is cancelled, and nothing is started until the
 * engine was asked what it runs. Else a lone run would begin beside it.
 */
export function onCrash(turn: HostTurn): void {
  const { state } = turn;
  state.inherited = null;
  const running = runningAttempts(state).filter((hosted) => hosted.phase === HostedPhase.Running);
  for (const hosted of running) {
    failHosted(turn, hosted, StreamFailureReason.EngineCrashed, true);
    commitCrash(turn, hosted);
    noteSuspected(turn, hosted.record.bodyHash);
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
  startWhenAlone(turn);
}

function noteSuspected(turn: HostTurn, bodyHash: string): void {
  const { suspectedHashes } = turn.state;
  suspectedHashes.add(bodyHash);
  const oldest = suspectedHashes.values().next().value;
  const isOver = suspectedHashes.size > turn.context.options.maxSuspectedHashes;
  if (isOver && oldest !== undefined) suspectedHashes.delete(oldest);
}

/** Another target crashed on this content: stops it here before it crashes this one too. */
export function onSuspicion(turn: HostTurn, bodyHash: string): void {
  noteSuspected(turn, bodyHash);
  for (const hosted of runningAttempts(turn.state)) {
    if (hosted.record.bodyHash !== bodyHash || hosted.attempt.alone) continue;
    turn.out.push({ kind: HostEffectKind.CancelEngine, attemptId: hosted.attempt.id });
    failHosted(turn, hosted, StreamFailureReason.Suspected, true);
  }
  startWhenAlone(turn);
}
