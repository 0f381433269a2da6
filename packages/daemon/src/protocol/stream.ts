/**
 * What entry and sidecar say to each other about one attempt. A stream's events are `stream.opened`,
 * batches of tokens, then exactly one {@link StreamOutcome} as the result of the call.
 */
import type { StreamEnd, StreamFailure } from '@cassiamast/coordination';

/** What stands behind the target that an attempt runs at. */
export enum PayloadKind {
  Model = 'model',
  Plain = 'plain',
}

/** Work for a model engine. */
export interface ModelPayload {
  readonly kind: PayloadKind.Model;
  readonly model: string;
  readonly adapter: string | null;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly temperature: number;
  readonly seed: number;
  readonly priority: number;
  /** The engine that reads the prompt and hands its KV cache on; null to read it here. */
  readonly reader: PrefillPlace | null;
}

/** Where a prompt is read for another engine. */
export interface PrefillPlace {
  readonly sidecar: string;
  readonly target: string;
  /** Base URL of the engine, from which the writing engine fetches the KV cache. */
  readonly engineUrl: string;
}

/** A call of a plain service. */
export interface PlainPayload {
  readonly kind: PayloadKind.Plain;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly bodyBase64: string;
  readonly timeoutMs: number;
}

/** What a dispatch carries for the target. */
export type Payload = ModelPayload | PlainPayload;

/** One batch of tokens; `index` is the position of the first in the whole answer. */
export interface StreamTokensParams {
  readonly index: number;
  readonly tokens: readonly string[];
}

/** How a stream came to its end. */
export enum StreamOutcomeKind {
  Ended = 'ended',
  Failed = 'failed',
}

/** The result of a stream's call. */
export type StreamOutcome =
  | { readonly kind: StreamOutcomeKind.Ended; readonly end: StreamEnd }
  | { readonly kind: StreamOutcomeKind.Failed; readonly failure: StreamFailure };
