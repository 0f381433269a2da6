/** Failures of the weight store. Only its status is read, so no call has side effects. */
import { defineFailure } from '@cassiamast/coordination';

/** The status of the weight store could not be read. */
export const WEIGHT_STORE_UNAVAILABLE = defineFailure({
  name: 'weight-store-unavailable',
  title: 'The weight store gives no status',
  message: (data: {
    readonly address: string;
    readonly mayHaveRun: boolean;
    readonly detail: string;
  }) => `The weight store at ${data.address}: ${data.detail}.`,
  hint: 'Loads of models wait until it answers; look whether the store runs.',
});
