/** Failures of the weight store. Its status is only read, so no call changes anything. */
import { defineFailure } from '@cassiamast/coordination';

/** The store's status could not be read. */
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
