/**
 * Placement by rendezvous hashing: every process that knows the same members finds the same places
 * for a key without asking anybody. A change of one member moves only that member's keys. Member
 * hashes are computed once per membership, so that a choice costs one integer mix per member.
 */
import type { Hash32 } from '../hashing/hashing.js';

/** What placement needs to know of a member. */
export interface PlacementMember {
  readonly id: string;
  readonly failureDomain: string;
}

/** Members with their hashes, prepared for many choices. */
export interface Placement {
  readonly members: readonly PlacementMember[];
  readonly memberHashes: Uint32Array;
  /** Number of each member's failure domain, for comparison without strings. */
  readonly domainNumbers: Uint32Array;
  readonly hash32: Hash32;
}

/** Multipliers of the 32-bit finalizer of MurmurHash3, which spreads each input bit over all. */
const MIX_FIRST = 0x85ebca6b;
const MIX_SECOND = 0xc2b2ae35;

/** Prepares choices among `members`; the order in which they are given does not matter. */
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
 * The members that hold a key: the best, and the best of another failure domain. With one domain
 * the second best of it; with one member that one alone; with none an empty list.
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
    const isElsewhere = domainNumbers[index] !== domainNumbers[first];
    if (score > firstScore) {
      if (first !== -1 && isElsewhere) {
        second = first;
        secondScore = firstScore;
      }
      first = index;
      firstScore = score;
    } else if (isElsewhere) {
      second = index;
      secondScore = score;
    }
  }
  if (first === -1) return [];
  if (second === -1) second = bestMember(placement, keyHash, (index) => index !== first);
  return [first, second].flatMap((index) => memberIdAt(placement, index));
}

/** The holders of a key as if some members were not there. */
export function holdersWithout(
  placement: Placement,
  key: string,
  without: ReadonlySet<string>,
): readonly string[] {
  const members = placement.members.filter((member) => !without.has(member.id));
  return holdersOf(createPlacement(members, placement.hash32), key);
}

/** The member that batches the claims of a key's shard; any member may stand in for a dead one. */
export function claimAggregatorOf(
  placement: Placement,
  key: string,
  shardCount: number,
): string | null {
  const shard = placement.hash32(key) % shardCount;
  return bestFor(placement, `claims/${String(shard)}`, () => true);
}

/** The member of a failure domain that runs the one watch of this kind there. */
export function watcherOf(
  placement: Placement,
  kind: string,
  failureDomain: string,
): string | null {
  const inDomain = (index: number): boolean =>
    placement.members[index]?.failureDomain === failureDomain;
  return bestFor(placement, `watch/${kind}/${failureDomain}`, inDomain);
}

/** The member that owns a key, among all that are known. */
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
