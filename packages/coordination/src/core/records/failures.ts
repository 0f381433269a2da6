/**
 * Defines the request failures that are reported to callers and operators.
 */
import { defineFailure } from '../failures/failure.js';

/** A request has the same idempotency key as an earlier one, but another body. */
export const KEY_CONFLICT = defineFailure({
  name: 'idempotency-key-conflict',
  title: 'The idempotency key is in use for another request',
  message: (data: { readonly service: string }) =>
    `A request to ${data.service} with another body has this key.`,
  hint: 'Send a new request with a new key, or the same body with this key.',
});

/** The holders of the key are full and accept no new record. */
export const RECORDS_FULL = defineFailure({
  name: 'request-records-full',
  title: 'No room to record the request',
  message: (data: { readonly service: string }) =>
    `The members that would record this request to ${data.service} are full.`,
  hint: 'Come back after the stated time; shorten answerRetentionMs or add members if it lasts.',
});

/** The holders of the key did not reply in time. */
export const RECORDS_UNREACHABLE = defineFailure({
  name: 'request-records-unreachable',
  title: 'The request could not be recorded',
  message: (data: { readonly service: string }) =>
    `The members that record this request to ${data.service} did not answer in time.`,
  hint: 'Send it again with the same key after the stated time.',
});

/** Admission control rejected the request. */
export const NOT_ADMITTED = defineFailure({
  name: 'request-not-admitted',
  title: 'The request is not admitted now',
  message: (data: { readonly service: string; readonly reason: string }) =>
    `${data.service} takes no more work now: ${data.reason}.`,
  hint: 'Come back after the stated time.',
});

/** The deadline passed before an answer was available. */
export const DEADLINE_PASSED = defineFailure({
  name: 'request-deadline-passed',
  title: 'The deadline of the request has passed',
  message: (data: { readonly service: string }) => `No answer of ${data.service} came in time.`,
  hint: 'Send it again with the same key: an answer that is still made is kept and handed out.',
});

/** All attempts that the retry budget allows have failed. */
export const TRIES_SPENT = defineFailure({
  name: 'request-tries-spent',
  title: 'The request was given up',
  message: (data: { readonly service: string; readonly attempts: number }) =>
    `${String(data.attempts)} attempts at ${data.service} failed.`,
  hint: 'Send it again with the same key after the stated time.',
});

/** A call that must not be repeated was dispatched, and its outcome is unknown. */
export const OUTCOME_UNKNOWN = defineFailure({
  name: 'request-outcome-unknown',
  title: 'The call may have run',
  message: (data: { readonly service: string }) =>
    `The call to ${data.service} was handed to a target whose answer is lost.`,
  hint: 'Ask the service itself whether it ran. The same key is not run again.',
});

/** The claim that is required for a call that must not be repeated could not be acquired. */
export const CLAIM_UNAVAILABLE = defineFailure({
  name: 'claim-unavailable',
  title: 'The call cannot be claimed now',
  message: (data: { readonly service: string }) =>
    `Calls to ${data.service} that may not be repeated need the key-value service, which is out.`,
  hint: 'Come back after the stated time; this sending of it ran nothing.',
});

/** A rerun produced another text than the part that the caller has already received. */
export const ANSWER_DIVERGED = defineFailure({
  name: 'answer-diverged',
  title: 'The answer changed and cannot be continued',
  message: (data: { readonly service: string; readonly index: number }) =>
    `The answer of ${data.service} differs from what was sent within its first ${String(data.index)} tokens.`,
  hint: 'Discard the part that was read and send the request again without Last-Event-ID.',
});

/** The content has crashed targets, so it is no longer run. */
export const POISONED_REQUEST = defineFailure({
  name: 'poisoned-request',
  title: 'The request crashes the targets that run it',
  message: (data: { readonly service: string; readonly crashes: number }) =>
    `${String(data.crashes)} targets of ${data.service} crashed while they ran this content.`,
  hint: 'Change the content; the same content is refused for the time stated in the operators’ pages.',
});
