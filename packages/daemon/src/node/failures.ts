/** Failures of the transports between members. */
import { defineFailure } from '@cassiamast/coordination';

/** A call to a member returned no usable answer. */
export const MEMBER_UNREACHABLE = defineFailure({
  name: 'member-unreachable',
  title: 'A member did not answer',
  message: (data: {
    readonly member: string;
    readonly method: string;
    readonly cause: string;
    /** False only if the call is known not to have left this process. */
    readonly mayHaveRun: boolean;
  }) => `${data.member} did not answer ${data.method}: ${data.cause}`,
  hint: 'Look at the member itself and at the network between the two VMs.',
});

/** The control address is in use, by another process or by a paused earlier one of this slot. */
export const ADDRESS_TAKEN = defineFailure({
  name: 'address-taken',
  title: 'The control address is taken',
  message: (data: { readonly address: string; readonly cause: string }) =>
    `Can not bind ${data.address}: ${data.cause}`,
  hint: 'Another process, perhaps paused, still holds this slot; only one may. End it first.',
});

/** A member sent an invalid call. */
export const MALFORMED_CALL = defineFailure({
  name: 'malformed-call',
  title: 'The call is malformed',
  message: (data: { readonly fault: string }) => `The call was refused: ${data.fault}`,
  hint: 'Both members should run the same version.',
});

/** A call was not read, as the clients of the member send more than it has memory for. */
export const MEMBER_OVERLOADED = defineFailure({
  name: 'member-overloaded',
  title: 'The member has no memory for the call',
  message: () =>
    'The call was refused before it was read: clients send more than there is memory for.',
  hint: 'Look for "client over a limit" in the log of the member.',
});

/** A call did not carry the members' shared secret. */
export const NOT_A_MEMBER = defineFailure({
  name: 'not-a-member',
  title: 'The caller of the control port is no member',
  message: () => 'The call carried no valid secret.',
  hint: 'Members share one secret (secretFile); the command line needs it as well.',
});
