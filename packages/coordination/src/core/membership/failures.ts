/** Failures of the membership protocol. */
import { defineFailure } from '../failures/failure.js';

/** The member table is full, and an update about a new member was rejected. */
export const membersFull = defineFailure({
  name: 'members-full',
  title: 'The table of members is full',
  message: (data: { maxMembers: number; id: string }) =>
    `${data.id} was not taken in: the table already holds ${String(data.maxMembers)} members.`,
  hint: 'Raise maxMembers, or look for processes that start at ever new addresses.',
});

/** A datagram or sync page is not a valid membership message. */
export const malformedMembershipMessage = defineFailure({
  name: 'malformed-membership-message',
  title: 'Not a membership message',
  message: (data: { method: string; reason: string }) => `${data.method}: ${data.reason}`,
  hint: 'Check that only members of this deployment, at compatible versions, reach the control port.',
});

/** The requested member has reached its limit of sync pages per second. */
export const syncBusy = defineFailure({
  name: 'sync-busy',
  title: 'Too many members ask for the view at once',
  message: (data: { retryAfterMs: number }) => `Ask again in ${String(data.retryAfterMs)} ms.`,
  hint: 'Nothing to do: the asker tries another member by itself.',
});
