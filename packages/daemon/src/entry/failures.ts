/**
 * Failures that callers are told of. Each becomes an RFC 9457 problem whose `type` is its name;
 * {@link Refusal} adds the HTTP status, the true run state and when coming back can help.
 */
import { type Failure, type RunState, defineFailure } from '@cassiamast/coordination';

/** A failure as it is told to a caller. */
export interface Refusal {
  readonly failure: Failure;
  readonly status: number;
  readonly runState: RunState;
  /** Null where coming back with the same request can not help. */
  readonly retryAfterMs: number | null;
}

/** The request names no known API key. */
export const UNAUTHENTICATED = defineFailure({
  name: 'unauthenticated',
  title: 'No valid API key',
  message: () => 'The request carries no API key of a known workspace.',
  hint: 'Send "Authorization: Bearer <key>"; the operators list each workspace’s keys.',
});

/** The body or headers are not what the interface takes. */
export const REQUEST_MALFORMED = defineFailure({
  name: 'request-malformed',
  title: 'The request is malformed',
  message: (data: { readonly faults: readonly string[] }) => data.faults.join('; '),
  hint: 'Correct the request; nothing was run.',
});

/** The body is over the operators' limit. */
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

/** The same idempotency key came with another body. */
export const KEY_REUSED = defineFailure({
  name: 'idempotency-key-reused',
  title: 'The idempotency key belongs to another request',
  message: () => 'This Idempotency-Key was used with a different body.',
  hint: 'Use a new key for a new request; resend the same body to get the same answer.',
});

/** A returning caller holds text that this answer does not begin with. */
export const ANSWER_CHANGED = defineFailure({
  name: 'answer-changed',
  title: 'The answer can not be continued',
  message: () => 'The text you hold is not the beginning of the answer that could be made again.',
  hint: 'Resend without Last-Event-ID to get the whole answer.',
});

/** There is no target that may take the work now. */
export const NO_TARGET = defineFailure({
  name: 'no-target',
  title: 'No target is free to take the request',
  message: (data: { readonly service: string }) => `Service ${data.service} has no ready target.`,
  hint: 'Come back after the time in Retry-After.',
});

/** Every attempt failed within the budget. */
export const ATTEMPTS_FAILED = defineFailure({
  name: 'attempts-failed',
  title: 'The request could not be completed',
  message: (data: { readonly attempts: number; readonly last: string }) =>
    `${String(data.attempts)} attempts failed; last: ${data.last}`,
  hint: 'Resend with the same Idempotency-Key after the time in Retry-After.',
});

/** The deadline passed. */
export const DEADLINE_PASSED = defineFailure({
  name: 'deadline-passed',
  title: 'The deadline passed',
  message: (data: { readonly timeoutMs: number }) =>
    `The request was not done within ${String(data.timeoutMs)} ms.`,
  hint: 'Resend with the same Idempotency-Key, or with a longer "Prefer: wait=" time.',
});

/** The entry is shutting down or cut off. */
export const ENTRY_NOT_SERVING = defineFailure({
  name: 'entry-not-serving',
  title: 'This entry takes no new work',
  message: (data: { readonly reason: string }) => `This entry takes no new work: ${data.reason}.`,
  hint: 'Resend; the balancer sends it to another entry.',
});
