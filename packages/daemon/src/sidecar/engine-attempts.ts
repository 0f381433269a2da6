/**
 * The attempts at the engine beside this sidecar: opened once per attempt id, read by any entry,
 * dropped a while after their end. The table is bounded; a full one refuses before anything runs.
 */
import { type Failure, FailureError } from '@cassiamast/coordination';
import type { EnginePort, EngineRequest } from '@cassiamast/platform';
import type { StreamOpenParams } from '../protocol/stream.js';
import { type Attempt, createAttempt, endAttempt, noteChunk } from './attempt.js';
import { ATTEMPTS_FULL, ENGINE_FAILED, UNKNOWN_ATTEMPT } from './failures.js';

/** An engine runs a few hundred streams; the rest is room for answers that wait to be fetched. */
export const MAX_ATTEMPTS = 4_096;
/** Long enough for an entry to fail and its caller to come back through another one. */
export const ATTEMPT_RETENTION_MS = 60_000;

/** What the attempts need. */
export interface EngineAttemptsOptions {
  readonly target: string;
  readonly generate: EnginePort['generate'];
  readonly nowMs: () => number;
  /** Called once for each attempt, when its end is known. */
  readonly onEnd: (attempt: Attempt) => void;
  /** Why no new work is taken, or null while it is. */
  readonly notServing: () => Failure | null;
}

/** The attempts of one sidecar. */
export interface EngineAttempts {
  /** The attempt of this id, opened now if it is new. Throws FailureError when refused. */
  readonly open: (params: StreamOpenParams) => Attempt;
  /** Throws FailureError when the id is not known. */
  readonly find: (attemptId: string) => Attempt;
  readonly cancel: (attemptId: string) => void;
  readonly runningCount: () => number;
  readonly running: () => readonly Attempt[];
  /** Drops attempts that ended longer ago than the retention. */
  readonly sweep: () => void;
}

/** Makes an empty table of attempts. */
export function createEngineAttempts(options: EngineAttemptsOptions): EngineAttempts {
  const attempts = new Map<string, Attempt>();

  function start(attempt: Attempt): void {
    const { params } = attempt;
    const finishOnce = (failure: Failure | null): void => {
      if (attempt.end !== null) return;
      if (failure !== null) endAttempt(attempt, { ok: false, failure }, options.nowMs());
      options.onEnd(attempt);
    };
    attempt.engineStream = options.generate(toEngineRequest(params), {
      onChunk: (chunk) => {
        const hadEnded = attempt.end !== null;
        noteChunk(attempt, chunk, options.nowMs());
        if (!hadEnded && attempt.end !== null) options.onEnd(attempt);
      },
      onEnd: () => {
        finishOnce(engineFailed(options.target, 'the stream ended early', true));
      },
      onFailure: (failure) => {
        finishOnce(engineFailed(options.target, failure.message, mayHaveRun(failure)));
      },
    });
  }

  return {
    open: (params) => {
      const known = attempts.get(params.attemptId);
      // A dispatch that was duplicated or resent after a lost answer finds the running attempt.
      if (known !== undefined) return known;
      const refusal = options.notServing();
      if (refusal !== null) throw new FailureError(refusal);
      if (attempts.size >= MAX_ATTEMPTS) {
        throw new FailureError(ATTEMPTS_FULL.of({ limit: MAX_ATTEMPTS }));
      }
      const attempt = createAttempt(params, options.nowMs());
      attempts.set(params.attemptId, attempt);
      start(attempt);
      return attempt;
    },
    find: (attemptId) => {
      const attempt = attempts.get(attemptId);
      if (attempt === undefined) throw new FailureError(UNKNOWN_ATTEMPT.of({ attemptId }));
      return attempt;
    },
    cancel: (attemptId) => {
      const attempt = attempts.get(attemptId);
      if (attempt?.end !== null) return;
      attempt.engineStream?.cancel();
      const failure = engineFailed(options.target, 'cancelled by the entry', true);
      endAttempt(attempt, { ok: false, failure }, options.nowMs());
    },
    runningCount: () => [...attempts.values()].filter((attempt) => attempt.end === null).length,
    running: () => [...attempts.values()].filter((attempt) => attempt.end === null),
    sweep: () => {
      const keptSinceMs = options.nowMs() - ATTEMPT_RETENTION_MS;
      for (const [id, attempt] of attempts) {
        if (attempt.endedAtMs !== null && attempt.endedAtMs < keptSinceMs) attempts.delete(id);
      }
    },
  };
}

function toEngineRequest(params: StreamOpenParams): EngineRequest {
  return {
    streamId: params.attemptId,
    model: params.model,
    adapter: params.adapter,
    prompt: params.prompt,
    maxTokens: params.maxTokens,
    priority: params.priority,
    temperature: params.temperature,
    seed: params.seed,
    continueFrom: params.continueFrom,
    kvHandle: params.kvHandle,
    prefillOnly: params.prefillOnly,
  };
}

function engineFailed(target: string, cause: string, ran: boolean): Failure {
  return ENGINE_FAILED.of({ target, cause, mayHaveRun: ran, crashed: ran });
}

function mayHaveRun(failure: Failure): boolean {
  const data = failure.data as { readonly mayHaveRun?: boolean } | null;
  return data?.mayHaveRun ?? true;
}
