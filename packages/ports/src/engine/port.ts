/**
 * Interface between a sidecar and its model engine: token streams, orders, cache events and load
 * reports. The HTTP client in this folder uses OpenAI-compatible completions with a few extensions.
 */
import type { EngineRole, Failure } from '@cassiamast/coordination';
import type { ResultAsync } from 'neverthrow';

/** A generation request. `streamId` identifies the stream for resuming and cancelling. */
export interface EngineRequest {
  readonly streamId: string;
  readonly model: string;
  readonly adapter: string | null;
  readonly prompt: string;
  readonly maxTokens: number;
  /** Requests with a higher priority run first. */
  readonly priority: number;
  readonly temperature: number;
  /** Makes sampling reproducible, so that another engine can continue with the same tokens. */
  readonly seed: number;
  /** Tokens that the caller already has; the engine continues after them without repeating them. */
  readonly continueFrom: readonly string[];
  /** Handle of a KV cache that another engine exported, or null to run the prefill here. */
  readonly kvHandle: string | null;
  /** Whether to compute and export the KV cache only, without generating tokens. */
  readonly prefillOnly: boolean;
}

/** Kinds of chunks of a stream. */
export enum EngineChunkKind {
  Tokens = 'tokens',
  Finished = 'finished',
}

/** Reasons for the end of a generation. */
export enum FinishReason {
  Stop = 'stop',
  Length = 'length',
  PrefillDone = 'prefill-done',
}

/** A chunk of an answer; `index` is the position of its first token in the whole answer. */
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

/** Controls a stream. `pause` and `resume` apply back-pressure to the engine's connection. */
export interface EngineStream {
  readonly cancel: () => void;
  readonly pause: () => void;
  readonly resume: () => void;
}

/** Callbacks for a stream. The last call is either `onEnd` or `onFailure`, once. */
export interface EngineStreamHandlers {
  readonly onChunk: (chunk: EngineChunk) => void;
  readonly onEnd: () => void;
  readonly onFailure: (failure: Failure) => void;
}

/** The load that an engine reports. It is already out of date when it arrives. */
export interface EngineLoad {
  /** Number of reports since the engine's start; a lower number means that it has restarted. */
  readonly sequence: number;
  /** Identifies the run of the engine process; changes with each restart. */
  readonly epoch: string;
  readonly runningRequests: number;
  readonly waitingRequests: number;
  readonly waitingPrefillTokens: number;
  readonly runningContextTokens: number;
  readonly kvUsedTokens: number;
  readonly kvCapacityTokens: number;
  readonly stepMs: number;
}

/** Kinds of orders. */
export enum OrderKind {
  SetRole = 'set-role',
  LoadModel = 'load-model',
  UnloadModel = 'unload-model',
}

/**
 * An order: a command that changes the state of an engine. `fence` is the fencing token of the
 * planner lease; engines that check it reject an outdated one.
 */
export interface EngineOrder {
  readonly orderId: string;
  readonly fence: number;
  readonly kind: OrderKind;
  readonly role?: EngineRole;
  readonly model?: string;
  readonly version?: string;
  readonly adapter?: string | null;
}

/** The state of an engine. Callers read it before they repeat an order. */
export interface EngineState {
  readonly epoch: string;
  readonly role: EngineRole;
  /** Id of the order that is being executed, or null. */
  readonly orderInProgress: string | null;
  readonly lastOrderDone: string | null;
  readonly highestFence: number;
  readonly models: readonly {
    readonly name: string;
    readonly version: string;
    readonly adapters: readonly string[];
  }[];
}

/** Kinds of changes of cached prefix blocks. */
export enum CacheEventKind {
  Stored = 'stored',
  Evicted = 'evicted',
  Cleared = 'cleared',
}

/** A change of the prefix cache. A gap in `sequence` means that events were lost. */
export interface CacheEvent {
  readonly epoch: string;
  readonly sequence: number;
  readonly kind: CacheEventKind;
  /** Fingerprints of the affected prefix blocks. */
  readonly blocks: readonly string[];
}

/** Calls to one engine. None of them is retried by the port. */
export interface EnginePort {
  readonly generate: (request: EngineRequest, handlers: EngineStreamHandlers) => EngineStream;
  /**
   * Resumes a stream whose connection failed while the engine continued, from token `fromIndex`.
   */
  readonly resumeStream: (
    streamId: string,
    fromIndex: number,
    handlers: EngineStreamHandlers,
  ) => EngineStream;
  readonly cancel: (streamId: string) => ResultAsync<null, Failure>;
  /**
   * Returns the ids of the streams that are running now, rather than at the time of the last load
   * report. A restarted sidecar uses it to find the streams of its previous process.
   */
  readonly runningStreams: () => ResultAsync<readonly string[], Failure>;
  readonly state: () => ResultAsync<EngineState, Failure>;
  readonly load: () => ResultAsync<EngineLoad, Failure>;
  readonly cacheEvents: (afterSequence: number) => ResultAsync<readonly CacheEvent[], Failure>;
  readonly order: (order: EngineOrder) => ResultAsync<EngineState, Failure>;
  readonly exportKv: (streamId: string) => ResultAsync<string, Failure>;
  readonly importKv: (kvHandle: string, from: string) => ResultAsync<null, Failure>;
}
