/**
 * A plain service as its own sidecar sees it: one HTTP exchange, relayed whole.
 */
import type { Failure } from '@cassiamast/coordination';
import type { ResultAsync } from 'neverthrow';

/** A call by path. Headers that belong to one hop are already removed. */
export interface PlainRequest {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  /** Base64, so that any body crosses JSON unharmed. */
  readonly bodyBase64: string;
  readonly timeoutMs: number;
}

/** The service's whole answer. */
export interface PlainResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly bodyBase64: string;
}

/** Calls to one plain service. A failure says in its data whether the call may have run. */
export interface PlainServicePort {
  readonly call: (request: PlainRequest) => ResultAsync<PlainResponse, Failure>;
}
