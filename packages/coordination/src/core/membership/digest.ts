/**
 * Digests of the view, one per bucket of member ids, updated in constant time per change. By
 * exchanging 32 numbers, two members find the buckets that differ without sending the whole view.
 * Suspicion is left out because it is temporary, and dead members because each member removes them
 * at a different time.
 */
import type { Hash32 } from '../hashing/hashing.js';
import type { Member } from '../model/member.js';
import { MemberState } from '../model/member.js';

/** Gives about 36 members per bucket at the target fleet size, which is one sync page. */
export const DIGEST_BUCKETS = 32;

/** Returns the bucket of a member id. */
export function bucketOf(id: string, hash32: Hash32): number {
  return hash32(id) % DIGEST_BUCKETS;
}

function fingerprint(member: Member, hash32: Hash32): number {
  if (member.state === MemberState.Dead) return 0;
  const stateCode = member.state === MemberState.Leaving ? 'l' : 'a';
  return hash32(`${member.id}|${String(member.incarnation)}|${stateCode}`);
}

/** Adds a member to the digests or removes it. Both are the same XOR operation. */
export function toggleInDigest(digests: Uint32Array, member: Member, hash32: Hash32): void {
  const bucket = bucketOf(member.id, hash32);
  digests[bucket] = ((digests[bucket] ?? 0) ^ fingerprint(member, hash32)) >>> 0;
}
