/**
 * Places keys on members by rendezvous hashing: processes with the same membership view choose the
 * same members for a key without coordination, and a change of one member moves only its keys.
 * Member hashes are computed once per membership, so a lookup costs one integer mix per member.
 */
import type { Hash32 } from '../hashing/hashing.js';

/** A member on which keys can be placed. */
export interface PlacementMember {
  readonly id: string;
  readonly failureDomain: string;
}

/** Members with precomputed hashes, for repeated lookups. */
export interface Placement {
  readonly members: readonly PlacementMember[];
  readonly memberHashes: Uint32Array;
  /** Number of the failure domain of each member, which avoids string comparisons. */
  readonly domainNumbers: Uint32Array;
  readonly hash32: Hash32;
}

/** Multipliers of the 32-bit finalizer of MurmurHash3, in which each input bit affects all bits. */
const MIX_FIRST = 0x85ebca6b;
const MIX_SECOND = 0xc2b2ae35;

/** Creates the placement of a membership; the order of `members` does not matter. */
export function createPlacement(members: readonly PlacementMember[], hash32: Hash32): Placement {
  const sorted = [...members].sort((left, right) => (left.id < right.id ? -1 : 1));
  const domains = new Map<string, number>();
  const domainNumbers = new Uint32Array(sorted.length);
  const memberHashes = new Uint32Array(sorted.length);
  sorted.forEach((member, index) => {
    const number = domains.get(member.failureDomain) ?? domains.size;
    domains.set(member.failureDomain, number);
    domainNumbers[index] = number;
    memberHashes[index] = hash32(member.id);
  });
  return { members: sorted, memberHashes, domainNumbers, hash32 };
}

/**
 * Returns the ids of the members that hold a key: the one with the highest score, and the one with
 * the highest score in another failure domain. If there is only one domain, the second is the
 * runner-up in it. Returns a single id if there is one member, and an empty list if there is none.
 */
export function holdersOf(placement: Placement, key: string): readonly string[] {
  const { memberHashes, domainNumbers } = placement;
  const keyHash = placement.hash32(key);
  let first = -1;
  let firstScore = -1;
  let second = -1;
  let secondScore = -1;
  for (let index = 0; index < memberHashes.length; index += 1) {
    const score = mix((memberHashes[index] ?? 0) ^ keyHash);
    if (score <= secondScore) continue;
    const isOtherDomain = domainNumbers[index] !== domainNumbers[first];
    if (score > firstScore) {
      if (first !== -1 && isOtherDomain) {
        second = first;
        secondScore = firstScore;
      }
      first = index;
      firstScore = score;
    } else if (isOtherDomain) {
      second = index;
      secondScore = score;
    }
  }
  if (first === -1) return [];
  if (second === -1) second = bestMember(placement, keyHash, (index) => index !== first);
  return [first, second].flatMap((index) => memberIdAt(placement, index));
}

/** Returns the holders of a key as if the members in `without` did not exist. */
export function holdersWithout(
  placement: Placement,
  key: string,
  without: ReadonlySet<string>,
): readonly string[] {
  const members = placement.members.filter((member) => !without.has(member.id));
  return holdersOf(createPlacement(members, placement.hash32), key);
}

/** Returns the member that batches the claims of a key's shard; any member can replace it. */
export function claimAggregatorOf(
  placement: Placement,
  key: string,
  shardCount: number,
): string | null {
  const shard = placement.hash32(key) % shardCount;
  return bestFor(placement, `claims/${String(shard)}`, () => true);
}

/** Returns the member of a failure domain that runs its only watch of this kind. */
export function watcherOf(
  placement: Placement,
  kind: string,
  failureDomain: string,
): string | null {
  const inDomain = (index: number): boolean =>
    placement.members[index]?.failureDomain === failureDomain;
  return bestFor(placement, `watch/${kind}/${failureDomain}`, inDomain);
}

/** Returns the owner of a key among all known members. */
export function ownerOf(placement: Placement, key: string): string | null {
  return bestFor(placement, key, () => true);
}

function bestFor(
  placement: Placement,
  key: string,
  admits: (index: number) => boolean,
): string | null {
  const best = bestMember(placement, placement.hash32(key), admits);
  return memberIdAt(placement, best)[0] ?? null;
}

function memberIdAt(placement: Placement, index: number): string[] {
  const member = placement.members[index];
  return member === undefined ? [] : [member.id];
}

function bestMember(
  placement: Placement,
  keyHash: number,
  admits: (index: number) => boolean,
): number {
  const { memberHashes } = placement;
  let best = -1;
  let bestScore = -1;
  for (let index = 0; index < memberHashes.length; index += 1) {
    if (!admits(index)) continue;
    const score = mix((memberHashes[index] ?? 0) ^ keyHash);
    if (score > bestScore) {
      best = index;
      bestScore = score;
    }
  }
  return best;
}

function mix(value: number): number {
  let mixed = value ^ (value >>> 16);
  mixed = Math.imul(mixed, MIX_FIRST);
  mixed ^= mixed >>> 13;
  mixed = Math.imul(mixed, MIX_SECOND);
  mixed ^= mixed >>> 16;
  return mixed >>> 0;
}
