/**
 * Failures of calls to the key-value service. `mayHaveRun` is false if a write certainly did not
 * take effect, and true if the caller must read the key back before it retries.
 */
import { defineFailure } from '@cassiamast/coordination';

/** Data of every failed call. */
export interface KeyValueCallData {
  readonly call: string;
  readonly endpoint: string;
  readonly mayHaveRun: boolean;
  readonly detail: string;
}

/** No connection could be established, so the call did not take effect. */
export const KEY_VALUE_UNREACHABLE = defineFailure({
  name: 'key-value-unreachable',
  title: 'The key-value service cannot be reached',
  message: (data: KeyValueCallData) => `${data.call} at ${data.endpoint}: ${data.detail}.`,
  hint: 'Look whether the service runs and whether its endpoint in the settings is right.',
});

/** The response was lost, late or too large; a write may have taken effect. */
export const KEY_VALUE_ANSWER_LOST = defineFailure({
  name: 'key-value-answer-lost',
  title: 'The key-value service gave no whole answer',
  message: (data: KeyValueCallData) => `${data.call} at ${data.endpoint}: ${data.detail}.`,
  hint: 'Read the key back before the call is repeated.',
});

/** The service returned an error status. */
export const KEY_VALUE_REFUSED = defineFailure({
  name: 'key-value-refused',
  title: 'The key-value service refused the call',
  message: (data: KeyValueCallData & { readonly status: number }) =>
    `${data.call} at ${data.endpoint}: status ${String(data.status)}, ${data.detail}.`,
  hint: 'A 503 passes by itself; anything else is for the people who run the service.',
});

/** The lease has expired or was revoked. */
export const KEY_VALUE_LEASE_GONE = defineFailure({
  name: 'key-value-lease-gone',
  title: 'The lease is gone',
  message: (data: { readonly leaseId: string; readonly mayHaveRun: boolean }) =>
    `The lease ${data.leaseId} has lapsed or was revoked.`,
  hint: 'Whatever it guarded belongs to somebody else now: stop acting on it.',
});

/** The response does not follow the protocol. */
export const KEY_VALUE_PROTOCOL = defineFailure({
  name: 'key-value-protocol',
  title: 'The key-value service answered in a form that is not understood',
  message: (data: KeyValueCallData) => `${data.call} at ${data.endpoint}: ${data.detail}.`,
  hint: 'Check that the endpoint serves the etcd v3 JSON gateway under /v3.',
});

/** A watch ended; the caller starts another from the last revision that it has seen. */
export const KEY_VALUE_WATCH_ENDED = defineFailure({
  name: 'key-value-watch-ended',
  title: 'A watch ended',
  message: (data: KeyValueCallData) => `${data.call} at ${data.endpoint}: ${data.detail}.`,
  hint: 'Watch again from the last revision seen, after a pause.',
});
