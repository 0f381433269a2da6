/** Failures of the store that holds the fleet. */
import { defineFailure } from '@cassiamast/coordination';

/** The changes after a revision are no longer to be had. */
export const FLEET_HISTORY_GONE = defineFailure({
  name: 'fleet-history-gone',
  title: 'The changes since the last reading are no longer kept',
  message: (data: { readonly revision: number }) =>
    `The store has dropped the changes after revision ${String(data.revision)}.`,
  hint: 'List the fleet anew. Nothing needs to be done by hand.',
});
