/**
 * Failures of calls to a plain service. Any status that the service returns, including an error
 * status, is a response and not a failure.
 */
import { defineFailure } from '@cassiamast/coordination';

/** Data of every failed call. */
export interface PlainCallData {
  readonly requestId: string;
  readonly address: string;
  readonly mayHaveRun: boolean;
  readonly detail: string;
}

/** No connection could be established, so the service did not receive the call. */
export const PLAIN_SERVICE_UNREACHABLE = defineFailure({
  name: 'plain-service-unreachable',
  title: 'The plain service cannot be reached',
  message: (data: PlainCallData) => `Request ${data.requestId} at ${data.address}: ${data.detail}.`,
  hint: 'Look whether the service runs and whether the address of its target is right.',
});

/**
 * The call was sent, but the response is incomplete, late or too large. The service may have run
 * the call.
 */
export const PLAIN_SERVICE_ANSWER_LOST = defineFailure({
  name: 'plain-service-answer-lost',
  title: 'The plain service gave no whole answer',
  message: (data: PlainCallData) => `Request ${data.requestId} at ${data.address}: ${data.detail}.`,
  hint: 'Repeat the call only if its service says that it may be repeated.',
});
