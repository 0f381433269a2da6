/**
 * A model engine as its own sidecar sees it. Orders, streams, cache events and load reports; the
 * HTTP adapter beside this file speaks the OpenAI-compatible completions with a few extensions.
 */
import type { EngineRole, Failure } from '@cassiamast/coordination';
import type { ResultAsync } from 'neverthrow';

/** Work for the engine. `streamId` names the stream for resume and cancel. */
export interface EngineRequest {
  readonly streamId: string;
  readonly model: string;
  readonly adapter: string | null;
  readonly prompt: string;
  readonly maxTokens: number;
  /** Higher runs first. */
  readonly priority: number;
  readonly temperature: number;
  /** Makes sampling repeatable, so that another engine goes on with the same tokens. */
  readonly seed: number;
  /** Tokens that the caller already has: the engine goes on after them and does not repeat them. */
  readonly continueFrom: readonly string[];
  /** Handle of KV cache that was exported by another engine, or null to prefill here. */
  readonly kvHandle: string | null;
  /** Prefill only: compute and export the KV cache, generate nothing. */
  readonly prefillOnly: boolean;
}

/** What a stream brings. */
export enum EngineChunkKind {
  Tokens = 'tokens',
  Finished = 'finished',
}

/** Why generation ended. */
export enum FinishReason {
  Stop = 'stop',
  Length = 'length',
  PrefillDone = 'prefill-done',
}

/** Part of an answer; `index` is the position of its first token in the whole answer. */
export type EngineChunk =
  | {
      readonly kind: EngineChunkKind.Tokens;
      readonly index: number;
      readonly tokens: readonly string[];
    }
  | {
      readonly kind: EngineChunkKind.Finished;
      readonly reason: FinishReason;
      readonly promptTokens: number;
      readonly cachedTokens: number;
      readonly outputTokens: number;
      readonly kvHandle: string | null;
    };

/** A running stream. `pause` and `resume` carry back-pressure to the engine's connection. */
export interface EngineStream {
  readonly cancel: () => void;
  readonly pause: () => void;
  readonly resume: () => void;
}

/** How a stream reports. Exactly one of `onEnd` and `onFailure` is called, once, last. */
export interface EngineStreamHandlers {
  readonly onChunk: (chunk: EngineChunk) => void;
  readonly onEnd: () => void;
  readonly onFailure: (failure: Failure) => void;
}

/** Load as reported, already old when it arrives. */
export interface EngineLoad {
  /** The engine's own count of reports since its start; a lower one means it restarted. */
  readonly sequence: number;
  /** Changes when the engine restarts. */
  readonly epoch: string;
  readonly runningRequests: number;
  readonly waitingRequests: number;
  readonly waitingPrefillTokens: number;
  readonly runningContextTokens: number;
  readonly kvUsedTokens: number;
  readonly kvCapacityTokens: number;
  readonly stepMs: number;
}

/** What an order asks for. */
export enum OrderKind {
  SetRole = 'set-role',
  LoadModel = 'load-model',
  UnloadModel = 'unload-model',
}

/** An order as the engine takes it. `fence` is refused by engines that check when it is old. */
export interface EngineOrder {
  readonly orderId: string;
  readonly fence: number;
  readonly kind: OrderKind;
  readonly role?: EngineRole;
  readonly model?: string;
  readonly version?: string;
  readonly adapter?: string | null;
}

/** What the engine is and does, read back before an order is repeated. */
export interface EngineState {
  readonly epoch: string;
  readonly role: EngineRole;
  /** The order being carried out, or null. */
  readonly orderInProgress: string | null;
  readonly lastOrderDone: string | null;
  readonly highestFence: number;
  readonly models: readonly {
    readonly name: string;
    readonly version: string;
    readonly adapters: readonly string[];
  }[];
}

/** What happened to a cached prefix block. */
export enum CacheEventKind {
  Stored = 'stored',
  Evicted = 'evicted',
  Cleared = 'cleared',
}

/** One cache event; a hole in `sequence` means that events were lost. */
export interface CacheEvent {
  readonly epoch: string;
  readonly sequence: number;
  readonly kind: CacheEventKind;
  /** Fingerprints of the prefix blocks concerned. */
  readonly blocks: readonly string[];
}

/** Calls to one engine. */
export interface EnginePort {
  readonly generate: (request: EngineRequest, handlers: EngineStreamHandlers) => EngineStream;
  /** Takes up a stream that runs on although its connection broke, from token `fromIndex`. */
  readonly resumeStream: (
    streamId: string,
    fromIndex: number,
    handlers: EngineStreamHandlers,
  ) => EngineStream;
  readonly cancel: (streamId: string) => ResultAsync<null, Failure>;
  /**
   * Ids of the streams that have not ended, as of now and not as of the last load report: what a
   * sidecar that was restarted has inherited.
   */
  readonly runningStreams: () => ResultAsync<readonly string[], Failure>;
  readonly state: () => ResultAsync<EngineState, Failure>;
  readonly load: () => ResultAsync<EngineLoad, Failure>;
  readonly cacheEvents: (afterSequence: number) => ResultAsync<readonly CacheEvent[], Failure>;
  readonly order: (order: EngineOrder) => ResultAsync<EngineState, Failure>;
  readonly exportKv: (streamId: string) => ResultAsync<string, Failure>;
  readonly importKv: (kvHandle: string, from: string) => ResultAsync<null, Failure>;
}
