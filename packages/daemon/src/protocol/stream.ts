/**
 * What entry and sidecar say to each other about one attempt of a request at a model engine. All
 * plain JSON; the stream's events are batches of tokens, then exactly one result or error.
 */
import type { FinishReason } from '@cassiamast/platform';

/** Opens an attempt at the sidecar's engine. */
export interface StreamOpenParams {
  /** Unique per attempt; also the engine's stream id, so that a later sidecar can resume it. */
  readonly attemptId: string;
  /** Text of the request key the attempt belongs to. */
  readonly request: string;
  readonly service: string;
  readonly workspace: string;
  readonly contentHash: string;
  readonly model: string;
  readonly adapter: string | null;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly temperature: number;
  readonly seed: number;
  readonly priority: number;
  /** How long the attempt may take from its arrival at the sidecar. */
  readonly timeoutMs: number;
  readonly continueFrom: readonly string[];
  readonly kvHandle: string | null;
  readonly prefillOnly: boolean;
  /** Member ids of the holders that get the finished answer. */
  readonly holders: readonly string[];
}

/** Takes up a running or finished attempt from a token on. */
export interface StreamAttachParams {
  readonly attemptId: string;
  readonly fromIndex: number;
}

/** One batch of tokens; `index` is the position of the first in the whole answer. */
export interface StreamTokensParams {
  readonly index: number;
  readonly tokens: readonly string[];
}

/** How an attempt ended well. */
export interface StreamResult {
  readonly reason: FinishReason;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly outputTokens: number;
  readonly kvHandle: string | null;
}

/** Runs one call at the plain service beside a sidecar. */
export interface PlainCallParams {
  readonly attemptId: string;
  readonly request: string;
  readonly service: string;
  readonly workspace: string;
  /** The incarnation of the sidecar that the entry meant; another one refuses. Null: any. */
  readonly incarnation: number | null;
  readonly repeatable: boolean;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly bodyBase64: string;
  readonly timeoutMs: number;
  readonly holders: readonly string[];
}

/** The plain service's whole answer. */
export interface PlainCallResult {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly bodyBase64: string;
}
