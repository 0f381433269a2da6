/**
 * Membership: which members are alive or leaving, and small hints that other subsystems attach to
 * its messages.
 */
export * from './effects.js';
export * from './failures.js';
export { DATAGRAM_HEADER_BYTES } from './gossiping.js';
export * from './leaving-signs.js';
export {
  SUSPICION_NOT_REFUTED,
  announceLeaving,
  announceLeft,
  membershipWakeAtMs,
  receiveMembershipMessage,
  tickMembership,
} from './membership.js';
export * from './messages.js';
export type * from './options.js';
export { answeredRatio } from './probing.js';
export type { MembershipState, SelfDescription } from './state.js';
export { MEMBERSHIP_GUARDS, MEMBERSHIP_OPTIONS, createMembership, parseMemberId } from './state.js';
export { answerSync, receiveSyncAnswer, syncFailed } from './syncing.js';
export { findMember, mayBeAlive, membersIn, presentMembers } from './view.js';
export * from './wire.js';
