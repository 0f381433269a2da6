/**
 * Interface between a sidecar and its plain service, an HTTP service that is not a model engine.
 * Each call is forwarded as one HTTP exchange with a buffered body and response.
 */
import type { Failure } from '@cassiamast/coordination';
import type { ResultAsync } from 'neverthrow';

/** An HTTP call. Hop-by-hop headers are already removed. */
export interface PlainRequest {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  /** Base64, because the body may be binary and is carried in JSON. */
  readonly bodyBase64: string;
  readonly timeoutMs: number;
}

/** The complete response of the service. */
export interface PlainResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly bodyBase64: string;
}

/** Calls to one plain service. The data of a failure states whether the call may have run. */
export interface PlainServicePort {
  readonly call: (request: PlainRequest) => ResultAsync<PlainResponse, Failure>;
}
