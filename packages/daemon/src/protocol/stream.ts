/**
 * Messages between an entry and a sidecar about one attempt. The events of a stream are
 * `stream.opened`, batches of tokens, and finally exactly one {@link StreamOutcome} as the result of
 * the call.
 */
import type { StreamEnd, StreamFailure } from '@cassiamast/coordination';

/** Kind of service behind a target. */
export enum PayloadKind {
  Model = 'model',
  Plain = 'plain',
}

/** Generation request for a model engine. */
export interface ModelPayload {
  readonly kind: PayloadKind.Model;
  readonly model: string;
  readonly adapter: string | null;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly temperature: number;
  readonly seed: number;
  readonly priority: number;
  /** Engine that runs the prefill and transfers its KV cache; null to run it at the target. */
  readonly reader: PrefillLocation | null;
}

/** Location of the engine that runs the prefill for another engine. */
export interface PrefillLocation {
  readonly sidecar: string;
  readonly target: string;
  /** Base URL of the prefill engine, from which the decode engine fetches the KV cache. */
  readonly engineUrl: string;
}

/** HTTP call to a plain service. */
export interface PlainPayload {
  readonly kind: PayloadKind.Plain;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly bodyBase64: string;
  readonly timeoutMs: number;
}

/** Work that is sent to a target. */
export type Payload = ModelPayload | PlainPayload;

/** A batch of tokens; `index` is the position of its first token in the whole answer. */
export interface StreamTokensParams {
  readonly index: number;
  readonly tokens: readonly string[];
}

/** Whether a stream ended or failed. */
export enum StreamOutcomeKind {
  Ended = 'ended',
  Failed = 'failed',
}

/** Final result of a stream call. */
export type StreamOutcome =
  | { readonly kind: StreamOutcomeKind.Ended; readonly end: StreamEnd }
  | { readonly kind: StreamOutcomeKind.Failed; readonly failure: StreamFailure };
