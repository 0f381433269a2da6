/** Failures of membership. */
import { defineFailure } from '../failures/failure.js';

/** The table of members is full; news of a further member is not taken. */
export const membersFull = defineFailure({
  name: 'members-full',
  title: 'The table of members is full',
  message: (data: { maxMembers: number; id: string }) =>
    `${data.id} was not taken in: the table already holds ${String(data.maxMembers)} members.`,
  hint: 'Raise maxMembers, or look for processes that start at ever new addresses.',
});

/** A datagram or page that is not a membership message. */
export const malformedMembershipMessage = defineFailure({
  name: 'malformed-membership-message',
  title: 'Not a membership message',
  message: (data: { method: string; reason: string }) => `${data.method}: ${data.reason}`,
  hint: 'Check that only members of this deployment, at compatible versions, reach the control port.',
});

/** The asked member serves as many pages of its view as it may for the moment. */
export const syncBusy = defineFailure({
  name: 'sync-busy',
  title: 'Too many members ask for the view at once',
  message: (data: { retryAfterMs: number }) => `Ask again in ${String(data.retryAfterMs)} ms.`,
  hint: 'Nothing to do: the asker tries another member by itself.',
});
