/**
 * Decides when the absence of a record at the holders of its key proves that the request never ran.
 * Records are kept in memory only, so absence proves nothing if the copies may have been lost with
 * their holders, or may be stored at members that this process could not reach.
 */
import { createPlacement, holdersOf } from './placement.js';
import type { PlacementMember } from './placement.js';
import type { Hash32 } from '../hashing/hashing.js';

/** A member with its contact times on the clock of this process. */
export interface ContactHistory extends PlacementMember {
  /** When this process first saw this incarnation of the member. */
  readonly seenSinceMs: number;
  /** Latest time at which the member was suspect or dead, or null if it never was. */
  readonly lastOutOfContactAtMs: number | null;
  /** Whether the member is an entry, which accepts requests but needs a sidecar to run them. */
  readonly isEntry: boolean;
}

/** Evidence on which the decision is based. */
export interface AbsenceEvidence {
  readonly keyText: string;
  /** Members that replied, for the current request, that they have no record of the key. */
  readonly absentAt: readonly string[];
  /** Members that are alive, and members that died within the horizon. */
  readonly contacts: readonly ContactHistory[];
  /** How long an earlier submission of the key can still have an effect. */
  readonly horizonMs: number;
  readonly nowMs: number;
  readonly hash32: Hash32;
}

/** Decides whether absence at the holders proves that no earlier submission ran. */
export type ProvesAbsence = (evidence: AbsenceEvidence) => boolean;

/**
 * Prevents a false "not-run". Both holders of an earlier submission may have died at once, or
 * holders on the other side of a partition may have accepted it; a request that a target did run
 * would then be reported as not run. Absence is therefore proven only if (1) both members that have
 * held the key over the whole horizon replied, and (2) no entry together with a sidecar was out of
 * contact within the horizon, since the other side of a partition needs both to run a request.
 */
export const provesAbsence: ProvesAbsence = (evidence) => {
  const horizonStartMs = evidence.nowMs - evidence.horizonMs;
  const establishedMembers = evidence.contacts.filter(
    (contact) => contact.seenSinceMs <= horizonStartMs,
  );
  const formerHolders = holdersOf(
    createPlacement(establishedMembers, evidence.hash32),
    evidence.keyText,
  );
  if (formerHolders.length < 2) return false;
  if (!formerHolders.every((holder) => evidence.absentAt.includes(holder))) return false;
  const outOfContact = evidence.contacts.filter(
    (contact) => (contact.lastOutOfContactAtMs ?? -Infinity) > horizonStartMs,
  );
  return !(
    outOfContact.some((contact) => contact.isEntry) &&
    outOfContact.some((contact) => !contact.isEntry)
  );
};
