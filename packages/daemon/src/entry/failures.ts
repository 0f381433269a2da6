/**
 * Failures that are reported to callers. Each becomes an RFC 9457 problem whose `type` contains its
 * name; {@link Refusal} adds the HTTP status, whether the request ran, and when to retry.
 */
import { type Failure, type RunState, defineFailure } from '@cassiamast/coordination';

/** A failure as it is reported to a caller. */
export interface Refusal {
  readonly failure: Failure;
  readonly status: number;
  readonly runState: RunState;
  /** Null when retrying the same request cannot succeed. */
  readonly retryAfterMs: number | null;
}

/** The request names no known API key. */
export const UNAUTHENTICATED = defineFailure({
  name: 'unauthenticated',
  title: 'No valid API key',
  message: () => 'The request carries no API key of a known workspace.',
  hint: 'Send "Authorization: Bearer <key>"; the operators list each workspace’s keys.',
});

/** The body or the headers are invalid. */
export const REQUEST_MALFORMED = defineFailure({
  name: 'request-malformed',
  title: 'The request is malformed',
  message: (data: { readonly faults: readonly string[] }) => data.faults.join('; '),
  hint: 'Correct the request; nothing was run.',
});

/** The body exceeds the configured limit. */
export const REQUEST_TOO_LARGE = defineFailure({
  name: 'request-too-large',
  title: 'The request is too large',
  message: (data: { readonly maxBytes: number }) =>
    `The body is over ${String(data.maxBytes)} bytes.`,
  hint: 'Shorten the prompt or ask the operators for a higher limit.',
});

/** No service serves this model or path. */
export const NOT_SERVED = defineFailure({
  name: 'not-served',
  title: 'Nothing serves this',
  message: (data: { readonly what: string }) => `No service serves ${data.what}.`,
  hint: 'GET /v1/models lists what is served.',
});

/** The entry is shutting down, isolated, or has no configuration yet. */
export const ENTRY_NOT_SERVING = defineFailure({
  name: 'entry-not-serving',
  title: 'This entry takes no new work',
  message: (data: { readonly reason: string }) => `This entry takes no new work: ${data.reason}.`,
  hint: 'Resend; the balancer sends it to another entry.',
});

/** The entry has reached its limit of concurrent requests. */
export const ENTRY_BUSY = defineFailure({
  name: 'entry-busy',
  title: 'This entry is busy',
  message: (data: { readonly limit: number }) =>
    `This entry holds ${String(data.limit)} requests, its limit.`,
  hint: 'Resend; the balancer may send it to another entry.',
});
