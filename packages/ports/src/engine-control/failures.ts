/** Failures of control calls to engines that register themselves. */
import { defineFailure } from '@cassiamast/coordination';

/** The engine returned no usable response, or none at all. */
export const ENGINE_CALL_FAILED = defineFailure({
  name: 'engine-call-failed',
  title: 'An engine gave no usable answer',
  message: (data: {
    readonly target: string;
    readonly call: string;
    readonly mayHaveRun: boolean;
    readonly detail: string;
  }) => `${data.call} at ${data.target}: ${data.detail}.`,
  hint: 'Look at the engine and the network to it. An order may have been accepted all the same.',
});
