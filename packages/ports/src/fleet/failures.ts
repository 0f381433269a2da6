/** Failures of the fleet store. */
import { defineFailure, describeRevision } from '@cassiamast/coordination';

/** The store no longer has the event history after the requested revision. */
export const FLEET_HISTORY_GONE = defineFailure({
  name: 'fleet-history-gone',
  title: 'The changes since the last reading are no longer kept',
  message: (data: { readonly revision: number }) =>
    `The store has dropped the changes after revision ${describeRevision(data.revision)}.`,
  hint: 'List the fleet anew. Nothing needs to be done by hand.',
});
