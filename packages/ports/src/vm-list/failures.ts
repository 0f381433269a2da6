/** Failures of the platform's list of VMs. It is only read, so no call changes anything. */
import { defineFailure } from '@cassiamast/coordination';

/** The list could not be read. */
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
