/**
 * Streams the tokens of hosted attempts to their readers. All readers of an attempt share one
 * buffer, and each reads from it at its own pace.
 */
import { HostEffectKind, HostedPhase } from './host-types.js';
import type { HostContext, HostEffect, HostState, HostedAttempt } from './host-types.js';
import { StreamFailureReason } from './messages.js';
import type { StreamFailure } from './messages.js';

/** State, inputs and collected effects while one event is handled. */
export interface HostTurn {
  readonly state: HostState;
  readonly context: HostContext;
  readonly out: HostEffect[];
}

/** Creates a stream failure that carries no record. */
export function streamFailure(
  reason: StreamFailureReason,
  mayHaveRun: boolean,
  retryAfterMs = 0,
): StreamFailure {
  return { reason, mayHaveRun, record: null, retryAfterMs };
}

/** Adds a reader that receives the tokens of an attempt from `fromIndex` on. */
export function addReader(
  turn: HostTurn,
  hosted: HostedAttempt,
  attachId: string,
  fromIndex: number,
): void {
  hosted.attachments.set(attachId, { nextIndex: fromIndex, paused: false });
  if (hosted.phase === HostedPhase.Resuming) return;
  turn.out.push({ kind: HostEffectKind.OpenStream, attachId });
  sendToReader(turn, hosted, attachId);
}

/** Sends a reader the tokens that it lacks, then the end or failure of the stream if known. */
export function sendToReader(turn: HostTurn, hosted: HostedAttempt, attachId: string): void {
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

/** Sends pending tokens to all readers of an attempt. */
export function sendToAllReaders(turn: HostTurn, hosted: HostedAttempt): void {
  for (const attachId of [...hosted.attachments.keys()]) sendToReader(turn, hosted, attachId);
}

/** Finds the attempt that a connection reads from. */
export function findAttemptByReader(state: HostState, attachId: string): HostedAttempt | undefined {
  for (const hosted of state.attempts.values()) {
    if (hosted.attachments.has(attachId)) return hosted;
  }
  return undefined;
}

/** Marks an attempt as failed; its tokens are kept for its readers. */
export function failHosted(
  turn: HostTurn,
  hosted: HostedAttempt,
  reason: StreamFailureReason,
  mayHaveRun: boolean,
): void {
  hosted.phase = HostedPhase.Failed;
  hosted.failure = streamFailure(reason, mayHaveRun);
  hosted.expiresAtMs = turn.context.nowMs + turn.context.options.retentionMs;
  sendToAllReaders(turn, hosted);
}
