/** Failures of the platform's VM list. The list is read-only, so no call has side effects. */
import { defineFailure } from '@cassiamast/coordination';

/** The VM list could not be read. */
export const VM_LIST_UNAVAILABLE = defineFailure({
  name: 'vm-list-unavailable',
  title: 'The list of VMs cannot be read',
  message: (data: {
    readonly address: string;
    readonly mayHaveRun: boolean;
    readonly detail: string;
  }) => `The list of VMs at ${data.address}: ${data.detail}.`,
  hint: 'Membership goes on by its own probes; leaving VMs are noticed later.',
});
