/**
 * Readers of a hosted attempt: each reads at its own pace from the one copy that is kept.
 */
import { HostEffectKind, HostedPhase } from './host-types.js';
import type { HostContext, HostEffect, HostState, HostedAttempt } from './host-types.js';
import { StreamFailureReason } from './messages.js';
import type { StreamFailure } from './messages.js';

/** One turn of the machine. */
export interface HostTurn {
  readonly state: HostState;
  readonly context: HostContext;
  readonly out: HostEffect[];
}

/** A stream failure of a kind that carries no record. */
export function streamFailure(
  reason: StreamFailureReason,
  mayHaveRun: boolean,
  retryAfterMs = 0,
): StreamFailure {
  return { reason, mayHaveRun, record: null, retryAfterMs };
}

/** Lets a connection read an attempt from a token index on. */
export function addReader(
  turn: HostTurn,
  hosted: HostedAttempt,
  attachId: string,
  fromIndex: number,
): void {
  hosted.attachments.set(attachId, { nextIndex: fromIndex, paused: false });
  if (hosted.phase === HostedPhase.Resuming) return;
  turn.out.push({ kind: HostEffectKind.OpenStream, attachId });
  feedReader(turn, hosted, attachId);
}

/** Sends a reader what it has not had, and the end when there is one. */
export function feedReader(turn: HostTurn, hosted: HostedAttempt, attachId: string): void {
  const reader = hosted.attachments.get(attachId);
  if (reader === undefined || reader.paused) return;
  if (reader.nextIndex < hosted.tokens.length) {
    const index = reader.nextIndex;
    const tokens = hosted.tokens.slice(index);
    reader.nextIndex = hosted.tokens.length;
    turn.out.push({ kind: HostEffectKind.SendTokens, attachId, index, tokens });
  }
  if (hosted.phase === HostedPhase.Ended && hosted.ending !== null) {
    const end = { ending: hosted.ending, tokenCount: hosted.tokens.length };
    turn.out.push({ kind: HostEffectKind.EndStream, attachId, end });
    hosted.attachments.delete(attachId);
  }
  if (hosted.phase === HostedPhase.Failed && hosted.failure !== null) {
    turn.out.push({ kind: HostEffectKind.FailStream, attachId, failure: hosted.failure });
    hosted.attachments.delete(attachId);
  }
}

/** Sends every reader what is new. */
export function feedAll(turn: HostTurn, hosted: HostedAttempt): void {
  for (const attachId of [...hosted.attachments.keys()]) feedReader(turn, hosted, attachId);
}

/** Finds the attempt that a connection reads. */
export function attemptOfReader(state: HostState, attachId: string): HostedAttempt | undefined {
  for (const hosted of state.attempts.values()) {
    if (hosted.attachments.has(attachId)) return hosted;
  }
  return undefined;
}

/** Ends an attempt without an answer; what it made is kept for its readers. */
export function failHosted(
  turn: HostTurn,
  hosted: HostedAttempt,
  reason: StreamFailureReason,
  mayHaveRun: boolean,
): void {
  hosted.phase = HostedPhase.Failed;
  hosted.failure = streamFailure(reason, mayHaveRun);
  hosted.expiresAtMs = turn.context.nowMs + turn.context.options.retentionMs;
  feedAll(turn, hosted);
}
