/**
 * When may the silence of a key's holders be taken as proof that the request never ran? Records
 * live in memory only, so "absent" proves nothing where the copies may have died with their
 * holders, or may lie with members that this process could not see.
 */
import { createPlacement, holdersOf } from './placement.js';
import type { PlacementMember } from './placement.js';
import type { Hash32 } from '../hashing/hashing.js';

/** A member together with the times, on this process's clock, that bear on what it can prove. */
export interface ContactHistory extends PlacementMember {
  /** When this process first saw this incarnation of the member. */
  readonly seenSinceMs: number;
  /** Latest time at which it was out of contact (suspect, dead), or null for never. */
  readonly lastAwayAtMs: number | null;
  /** Whether it takes requests; a lone entry cannot dispatch without a sidecar at its side. */
  readonly isEntry: boolean;
}

/** What the judgement rests on. */
export interface AbsenceEvidence {
  readonly keyText: string;
  /** Members that answered, in this request, that they know nothing of the key. */
  readonly absentAt: readonly string[];
  /** Live members and those that died within the horizon. */
  readonly contacts: readonly ContactHistory[];
  /** How long an earlier submission of the key can still matter. */
  readonly horizonMs: number;
  readonly nowMs: number;
  readonly hash32: Hash32;
}

/** Decides whether absence at the holders proves that no earlier submission ran. */
export type ProvesAbsence = (evidence: AbsenceEvidence) => boolean;

/**
 * Guards against a false "not-run". Failure: both holders of an earlier submission died at once, or
 * that submission was accepted across a partition by holders of the other side; it shows as a
 * caller that is told "not-run" of a request that a target did run. The guard holds because (1)
 * both members that held the key over the whole horizon must have answered, and (2) another side of
 * a partition needs an entry and a sidecar, and both would have been out of contact from here.
 */
export const provesAbsence: ProvesAbsence = (evidence) => {
  const since = evidence.nowMs - evidence.horizonMs;
  const old = evidence.contacts.filter((contact) => contact.seenSinceMs <= since);
  const formerHolders = holdersOf(createPlacement(old, evidence.hash32), evidence.keyText);
  if (formerHolders.length < 2) return false;
  if (!formerHolders.every((holder) => evidence.absentAt.includes(holder))) return false;
  const away = evidence.contacts.filter((contact) => (contact.lastAwayAtMs ?? -Infinity) > since);
  return !(away.some((contact) => contact.isEntry) && away.some((contact) => !contact.isEntry));
};
