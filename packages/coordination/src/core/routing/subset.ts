/**
 * Chooses the targets that an entry considers. An entry of a small fleet uses all targets. In a
 * large fleet it uses a subset chosen by rendezvous hashing of (entry, target) and filled evenly
 * from the failure domains: the cost per entry does not grow with the fleet, each target serves
 * about the same number of entries, and a change of the fleet changes few subsets. Prompt prefixes
 * also have home targets, which are the same for all entries.
 */
import type { Hash32 } from '../hashing/hashing.js';

/** The properties of a target that subset selection uses. */
export interface Placeable {
  readonly index: number;
  readonly failureDomain: string;
  readonly nameHash: number;
}

/** Combines two 32-bit hashes with the finalizer of MurmurHash3, for rendezvous hashing. */
export function mixHashes(a: number, b: number): number {
  let mixed = Math.imul(a ^ Math.imul(b, 0x9e3779b1), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

/** Selects `size` targets for an entry, round robin over the failure domains. */
export function chooseSubset<T extends Placeable>(
  targets: readonly T[],
  entry: string,
  size: number,
  hash32: Hash32,
): readonly T[] {
  if (targets.length <= size) return targets;
  const entryHash = hash32(entry);
  const byDomain = new Map<string, T[]>();
  for (const target of targets) {
    const domainTargets = byDomain.get(target.failureDomain);
    if (domainTargets === undefined) byDomain.set(target.failureDomain, [target]);
    else domainTargets.push(target);
  }
  const rankedByDomain = [...byDomain.values()];
  for (const domainTargets of rankedByDomain) {
    domainTargets.sort(
      (a, b) => mixHashes(entryHash, b.nameHash) - mixHashes(entryHash, a.nameHash),
    );
  }
  return takeRoundRobin(rankedByDomain, size);
}

function takeRoundRobin<T>(lists: readonly (readonly T[])[], size: number): readonly T[] {
  const chosen: T[] = [];
  for (let round = 0; chosen.length < size; round += 1) {
    let hasMore = false;
    for (const list of lists) {
      const next = list[round];
      if (next === undefined || chosen.length >= size) continue;
      chosen.push(next);
      hasMore = true;
    }
    if (!hasMore) break;
  }
  return chosen;
}

/** Returns the `count` targets that rank highest for a key. Runs in O(targets). */
export function rankHighest<T extends Placeable>(
  targets: readonly T[],
  keyHash: number,
  count: number,
): readonly T[] {
  const best: { target: T; score: number }[] = [];
  for (const target of targets) {
    const score = mixHashes(keyHash, target.nameHash);
    if (best.length === count && score <= (best[count - 1]?.score ?? 0)) continue;
    best.push({ target, score });
    best.sort((a, b) => b.score - a.score);
    if (best.length > count) best.pop();
  }
  return best.map((ranked) => ranked.target);
}
