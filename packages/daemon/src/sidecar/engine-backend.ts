/**
 * A model engine as backend. A stream whose connection breaks is told apart from an engine that
 * crashed by the engine's epoch: the one is resumed where it stopped, the other makes suspects of
 * all that ran.
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

/** Pauses between tries to take up a broken stream at an engine that lives. */
const RESUME_AFTER_MS = 50;
const MAX_RESUMES = 5;

/** What the backend needs. */
export interface EngineBackendOptions {
  readonly engine: EngineClient;
  readonly onEvent: OnBackendEvent;
  /** Reads a prompt at another engine; null when that failed and it must be read here. */
  readonly prefill: (attemptId: string, payload: ModelPayload) => Promise<string | null>;
}

/** One stream of the engine as this process reads it. */
interface Running {
  stream: EngineStream | null;
  /** Epoch of the engine when the stream began; empty when it was not known. */
  readonly epoch: string;
  nextIndex: number;
  resumes: number;
  cancelled: boolean;
}

/** An engine backend also wants to know the engine's epoch as reports bring it. */
export interface EngineBackend extends Backend {
  readonly noteEpoch: (epoch: string) => void;
}

/** Makes the backend of one engine. */
export function createEngineBackend(options: EngineBackendOptions): EngineBackend {
  const { engine, onEvent } = options;
  const running = new Map<string, Running>();
  let epoch = '';
  let isRetired = false;

  function letGo(): void {
    if (isRetired && running.size === 0) void engine.close();
  }

  function end(attemptId: string): void {
    running.delete(attemptId);
    letGo();
  }

  function begin(attemptId: string, nextIndex: number): Running {
    const entry: Running = { stream: null, epoch, nextIndex, resumes: 0, cancelled: false };
    running.set(attemptId, entry);
    return entry;
  }

  function handlersOf(attemptId: string, entry: Running): EngineStreamHandlers {
    let finished = false;
    return {
      onChunk: (chunk) => {
        if (entry.cancelled) return;
        if (chunk.kind === EngineChunkKind.Finished) finished = true;
        takeChunk(attemptId, entry, chunk);
      },
      onEnd: () => {
        if (!finished && !entry.cancelled) void takeUp(attemptId, entry);
      },
      onFailure: (failure) => {
        if (!finished && !entry.cancelled) fail(attemptId, entry, failure);
      },
    };
  }

  function takeChunk(attemptId: string, entry: Running, chunk: EngineChunk): void {
    if (chunk.kind === EngineChunkKind.Tokens) {
      const { index, tokens } = chunk;
      entry.nextIndex = Math.max(entry.nextIndex, index + tokens.length);
      onEvent({ kind: HostEventKind.EngineTokens, attemptId, index, tokens });
      return;
    }
    end(attemptId);
    const { reason, promptTokens, cachedTokens, outputTokens } = chunk;
    const ending = { reason, promptTokens, cachedTokens, outputTokens, plain: null };
    onEvent({ kind: HostEventKind.EngineEnded, attemptId, ending });
  }

  function fail(attemptId: string, entry: Running, failure: Failure): void {
    if (ENGINE_ANSWER_LOST.is(failure)) {
      void takeUp(attemptId, entry);
      return;
    }
    end(attemptId);
    if (ENGINE_STREAM_UNKNOWN.is(failure)) {
      onEvent({ kind: HostEventKind.EngineStreamMissing, attemptId });
      return;
    }
    const data = (failure.data ?? {}) as { readonly mayHaveRun?: boolean };
    const mayHaveRun = data.mayHaveRun ?? true;
    onEvent({ kind: HostEventKind.EngineStreamFailed, attemptId, mayHaveRun });
  }

  /** The stream broke: asks the engine whether it is still the one that the stream began at. */
  async function takeUp(attemptId: string, entry: Running): Promise<void> {
    const state = await engine.state();
    if (!running.has(attemptId) || entry.cancelled) return;
    const lives = state.isOk() && (entry.epoch === '' || state.value.epoch === entry.epoch);
    if (!lives) {
      const isGone = state.isOk() || ENGINE_UNREACHABLE.is(state.error);
      if (isGone) crashed();
      else retryLater(attemptId, entry);
      return;
    }
    if (entry.resumes >= MAX_RESUMES) {
      end(attemptId);
      onEvent({ kind: HostEventKind.EngineStreamFailed, attemptId, mayHaveRun: true });
      return;
    }
    entry.resumes += 1;
    const handlers = handlersOf(attemptId, entry);
    entry.stream = engine.resumeStream(attemptId, entry.nextIndex, handlers);
  }

  function retryLater(attemptId: string, entry: Running): void {
    entry.resumes += 1;
    if (entry.resumes > MAX_RESUMES) {
      crashed();
      return;
    }
    setTimeout(() => void takeUp(attemptId, entry), RESUME_AFTER_MS);
  }

  function crashed(): void {
    running.clear();
    letGo();
    epoch = '';
    onEvent({ kind: HostEventKind.EngineCrashed });
  }

  return {
    noteEpoch: (known) => {
      epoch = known;
    },
    start: (attempt, payload, continueFrom) => {
      const model = payload as ModelPayload;
      const entry = begin(attempt.id, continueFrom.length);
      const generate = (kvHandle: string | null): void => {
        if (entry.cancelled) return;
        const request = toEngineRequest(attempt.id, model, continueFrom, kvHandle);
        entry.stream = engine.generate(request, handlersOf(attempt.id, entry));
      };
      if (model.reader === null) generate(null);
      else void options.prefill(attempt.id, model).then(generate);
    },
    resume: (attemptId, fromIndex) => {
      const entry = begin(attemptId, fromIndex);
      entry.stream = engine.resumeStream(attemptId, fromIndex, handlersOf(attemptId, entry));
    },
    cancel: (attemptId) => {
      const entry = running.get(attemptId);
      running.delete(attemptId);
      if (entry !== undefined) {
        entry.cancelled = true;
        entry.stream?.cancel();
      }
      void engine.cancel(attemptId).then(letGo);
    },
    retire: () => {
      isRetired = true;
      letGo();
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
