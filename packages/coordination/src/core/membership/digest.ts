/**
 * A fingerprint of the view per bucket of member ids, kept up to date in constant time per change,
 * so that two members find out what differs for 32 numbers instead of the whole view. Suspicion
 * passes by itself and the dead are forgotten at different times; neither counts.
 */
import type { Hash32 } from '../hashing/hashing.js';
import type { Member } from '../model/member.js';
import { MemberState } from '../model/member.js';

/** About 36 members a bucket at the target size: one page. */
export const DIGEST_BUCKETS = 32;

/** The bucket that a member belongs to. */
export function bucketOf(id: string, hash32: Hash32): number {
  return hash32(id) % DIGEST_BUCKETS;
}

function fingerprint(member: Member, hash32: Hash32): number {
  if (member.state === MemberState.Dead) return 0;
  const leaving = member.state === MemberState.Leaving ? 'l' : 'a';
  return hash32(`${member.id}|${String(member.incarnation)}|${leaving}`);
}

/** Adds a member to, or takes it out of, the digests: both are the same operation. */
export function toggleInDigest(digests: Uint32Array, member: Member, hash32: Hash32): void {
  const bucket = bucketOf(member.id, hash32);
  digests[bucket] = ((digests[bucket] ?? 0) ^ fingerprint(member, hash32)) >>> 0;
}
