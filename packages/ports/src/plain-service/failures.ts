/**
 * Failures of a plain service. A status that the service itself gave is an answer, not a failure.
 */
import { defineFailure } from '@cassiamast/coordination';

/** What each failure of a call says. */
export interface PlainCallData {
  readonly requestId: string;
  readonly address: string;
  readonly mayHaveRun: boolean;
  readonly detail: string;
}

/** No connection: the service never saw the call. */
export const PLAIN_SERVICE_UNREACHABLE = defineFailure({
  name: 'plain-service-unreachable',
  title: 'The plain service cannot be reached',
  message: (data: PlainCallData) => `Request ${data.requestId} at ${data.address}: ${data.detail}.`,
  hint: 'Look whether the service runs and whether the address of its target is right.',
});

/** The connection broke or the time ran out: the call may have run. */
export const PLAIN_SERVICE_ANSWER_LOST = defineFailure({
  name: 'plain-service-answer-lost',
  title: 'The plain service gave no whole answer',
  message: (data: PlainCallData) => `Request ${data.requestId} at ${data.address}: ${data.detail}.`,
  hint: 'Repeat the call only if its service says that it may be repeated.',
});
