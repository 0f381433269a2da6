/** Failures of the calls that one gateway makes for all. */
import { defineFailure } from '@cassiamast/coordination';

/** The platform did not accept a call, or its answer was lost. */
export const DUTY_CALL_FAILED = defineFailure({
  name: 'duty-call-failed',
  title: 'The platform did not confirm a call',
  message: ({ call, detail }: { readonly call: string; readonly detail: string }) =>
    `The platform did not confirm ${call}: ${detail}.`,
  hint: 'The same call is repeated. Nothing needs to be done by hand.',
});
