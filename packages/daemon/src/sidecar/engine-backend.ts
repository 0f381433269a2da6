/**
 * Runs attempts on a model engine. When the connection of a stream breaks, the engine's epoch shows
 * whether the engine has crashed. If it is still the same engine, the stream is resumed where it
 * stopped; otherwise all attempts that were running become suspects of the crash.
 */
import { type Failure, HostEventKind } from '@cassiamast/coordination';
import {
  ENGINE_ANSWER_LOST,
  ENGINE_STREAM_UNKNOWN,
  ENGINE_UNREACHABLE,
  type EngineChunk,
  EngineChunkKind,
  type EngineClient,
  type EngineRequest,
  type EngineStream,
  type EngineStreamHandlers,
} from '@cassiamast/ports';
import type { ModelPayload } from '../protocol/stream.js';
import type { Backend, OnBackendEvent } from './backend.js';

/** Delay between attempts to resume a broken stream while the state of the engine is unknown. */
const RESUME_RETRY_DELAY_MS = 50;
const MAX_RESUMES = 5;

/** Dependencies of the engine backend. */
export interface EngineBackendOptions {
  readonly engine: EngineClient;
  readonly onEvent: OnBackendEvent;
  /** Runs the prefill at another engine; null if that failed and this engine has to do it. */
  readonly prefill: (attemptId: string, payload: ModelPayload) => Promise<string | null>;
}

/** State of one engine stream that this process reads. */
interface RunningStream {
  stream: EngineStream | null;
  /** Epoch of the engine when the stream started; empty if it was not known. */
  readonly epoch: string;
  nextIndex: number;
  resumes: number;
  cancelled: boolean;
}

/** A backend that also receives the engine's epoch, which the load reporter reads. */
export interface EngineBackend extends Backend {
  readonly recordEpoch: (epoch: string) => void;
}

/** Creates the backend of one engine. */
export function createEngineBackend(options: EngineBackendOptions): EngineBackend {
  const { engine, onEvent } = options;
  const running = new Map<string, RunningStream>();
  let epoch = '';
  let isRetired = false;

  function closeIfIdle(): void {
    if (isRetired && running.size === 0) void engine.close();
  }

  function untrackStream(attemptId: string): void {
    running.delete(attemptId);
    closeIfIdle();
  }

  function trackStream(attemptId: string, nextIndex: number): RunningStream {
    const entry: RunningStream = { stream: null, epoch, nextIndex, resumes: 0, cancelled: false };
    running.set(attemptId, entry);
    return entry;
  }

  function createStreamHandlers(attemptId: string, entry: RunningStream): EngineStreamHandlers {
    let finished = false;
    return {
      onChunk: (chunk) => {
        if (entry.cancelled) return;
        if (chunk.kind === EngineChunkKind.Finished) finished = true;
        handleChunk(attemptId, entry, chunk);
      },
      onEnd: () => {
        if (!finished && !entry.cancelled) void tryResume(attemptId, entry);
      },
      onFailure: (failure) => {
        if (!finished && !entry.cancelled) handleFailure(attemptId, entry, failure);
      },
    };
  }

  function handleChunk(attemptId: string, entry: RunningStream, chunk: EngineChunk): void {
    if (chunk.kind === EngineChunkKind.Tokens) {
      const { index, tokens } = chunk;
      entry.nextIndex = Math.max(entry.nextIndex, index + tokens.length);
      onEvent({ kind: HostEventKind.EngineTokens, attemptId, index, tokens });
      return;
    }
    untrackStream(attemptId);
    const { reason, promptTokens, cachedTokens, outputTokens } = chunk;
    const ending = { reason, promptTokens, cachedTokens, outputTokens, plain: null };
    onEvent({ kind: HostEventKind.EngineEnded, attemptId, ending });
  }

  function handleFailure(attemptId: string, entry: RunningStream, failure: Failure): void {
    if (ENGINE_ANSWER_LOST.is(failure)) {
      void tryResume(attemptId, entry);
      return;
    }
    untrackStream(attemptId);
    if (ENGINE_STREAM_UNKNOWN.is(failure)) {
      onEvent({ kind: HostEventKind.EngineStreamMissing, attemptId });
      return;
    }
    const data = (failure.data ?? {}) as { readonly mayHaveRun?: boolean };
    const mayHaveRun = data.mayHaveRun ?? true;
    onEvent({ kind: HostEventKind.EngineStreamFailed, attemptId, mayHaveRun });
  }

  /** Resumes a broken stream if the engine still has the epoch at which the stream started. */
  async function tryResume(attemptId: string, entry: RunningStream): Promise<void> {
    const state = await engine.state();
    if (!running.has(attemptId) || entry.cancelled) return;
    const isSameEngine = state.isOk() && (entry.epoch === '' || state.value.epoch === entry.epoch);
    if (!isSameEngine) {
      const hasCrashed = state.isOk() || ENGINE_UNREACHABLE.is(state.error);
      if (hasCrashed) handleCrash();
      else retryLater(attemptId, entry);
      return;
    }
    if (entry.resumes >= MAX_RESUMES) {
      untrackStream(attemptId);
      onEvent({ kind: HostEventKind.EngineStreamFailed, attemptId, mayHaveRun: true });
      return;
    }
    entry.resumes += 1;
    const handlers = createStreamHandlers(attemptId, entry);
    entry.stream = engine.resumeStream(attemptId, entry.nextIndex, handlers);
  }

  function retryLater(attemptId: string, entry: RunningStream): void {
    entry.resumes += 1;
    if (entry.resumes > MAX_RESUMES) {
      handleCrash();
      return;
    }
    setTimeout(() => void tryResume(attemptId, entry), RESUME_RETRY_DELAY_MS);
  }

  function handleCrash(): void {
    running.clear();
    closeIfIdle();
    epoch = '';
    onEvent({ kind: HostEventKind.EngineCrashed });
  }

  return {
    recordEpoch: (reportedEpoch) => {
      epoch = reportedEpoch;
    },
    start: (attempt, payload, continueFrom) => {
      const model = payload as ModelPayload;
      const entry = trackStream(attempt.id, continueFrom.length);
      const generate = (kvHandle: string | null): void => {
        if (entry.cancelled) return;
        const request = toEngineRequest(attempt.id, model, continueFrom, kvHandle);
        entry.stream = engine.generate(request, createStreamHandlers(attempt.id, entry));
      };
      if (model.reader === null) generate(null);
      else void options.prefill(attempt.id, model).then(generate);
    },
    resume: (attemptId, fromIndex) => {
      const entry = trackStream(attemptId, fromIndex);
      entry.stream = engine.resumeStream(
        attemptId,
        fromIndex,
        createStreamHandlers(attemptId, entry),
      );
    },
    cancel: (attemptId) => {
      const entry = running.get(attemptId);
      running.delete(attemptId);
      if (entry !== undefined) {
        entry.cancelled = true;
        entry.stream?.cancel();
      }
      void engine.cancel(attemptId).then(closeIfIdle);
    },
    retire: () => {
      isRetired = true;
      closeIfIdle();
    },
  };
}

function toEngineRequest(
  streamId: string,
  payload: ModelPayload,
  continueFrom: readonly string[],
  kvHandle: string | null,
): EngineRequest {
  const { model, adapter, prompt, maxTokens, priority, temperature, seed } = payload;
  return {
    streamId,
    model,
    adapter,
    prompt,
    maxTokens,
    priority,
    temperature,
    seed,
    continueFrom,
    kvHandle,
    prefillOnly: false,
  };
}
