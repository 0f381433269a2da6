/**
 * One attempt at the engine beside this sidecar. The answer is kept whole while it is made,
 * bounded by the request's output limit, so that the engine never waits for a slow caller and any
 * entry can read it from any token on, also when the entry that opened it is gone.
 */
import { type Failure } from '@cassiamast/coordination';
import { type EngineChunk, EngineChunkKind, type EngineStream } from '@cassiamast/platform';
import type { StreamOpenParams, StreamResult } from '../protocol/stream.js';

/** What an attempt came to; `null` while it runs. */
export type AttemptEnd =
  | { readonly ok: true; readonly result: StreamResult }
  | { readonly ok: false; readonly failure: Failure };

/** An attempt and what it has brought so far. */
export interface Attempt {
  readonly params: StreamOpenParams;
  /** Tokens made by this attempt; the first stands at `params.continueFrom.length`. */
  readonly tokens: string[];
  readonly openedAtMs: number;
  firstTokenAtMs: number | null;
  end: AttemptEnd | null;
  endedAtMs: number | null;
  engineStream: EngineStream | null;
  /** Called whenever there is more to read or the end is known. */
  readonly readers: Set<() => void>;
}

/** A fresh attempt. */
export function createAttempt(params: StreamOpenParams, nowMs: number): Attempt {
  return {
    params,
    tokens: [],
    openedAtMs: nowMs,
    firstTokenAtMs: null,
    end: null,
    endedAtMs: null,
    engineStream: null,
    readers: new Set(),
  };
}

/** Position in the whole answer of the first token that this attempt makes. */
export function firstIndex(attempt: Attempt): number {
  return attempt.params.continueFrom.length;
}

/** Takes a chunk of the engine; tokens that are already here, as after a resume, are skipped. */
export function noteChunk(attempt: Attempt, chunk: EngineChunk, nowMs: number): void {
  if (attempt.end !== null) return;
  if (chunk.kind === EngineChunkKind.Finished) {
    const { reason, promptTokens, cachedTokens, kvHandle } = chunk;
    const outputTokens = firstIndex(attempt) + attempt.tokens.length;
    endAttempt(
      attempt,
      { ok: true, result: { reason, promptTokens, cachedTokens, outputTokens, kvHandle } },
      nowMs,
    );
    return;
  }
  const known = firstIndex(attempt) + attempt.tokens.length - chunk.index;
  attempt.firstTokenAtMs ??= nowMs;
  attempt.tokens.push(...chunk.tokens.slice(Math.max(0, known)));
  wakeReaders(attempt);
}

/** Records the end, once; a later one changes nothing. */
export function endAttempt(attempt: Attempt, end: AttemptEnd, nowMs: number): void {
  if (attempt.end !== null) return;
  attempt.end = end;
  attempt.endedAtMs = nowMs;
  attempt.engineStream = null;
  wakeReaders(attempt);
}

function wakeReaders(attempt: Attempt): void {
  for (const wake of [...attempt.readers]) wake();
}
