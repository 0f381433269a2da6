/**
 * Which targets an entry knows. In a small fleet: all. In a large one: a subset by rendezvous
 * hashing of (entry, target), filled evenly from the failure domains, so that the cost of an entry
 * does not grow with the fleet, targets have about the same number of entries, and a change of the
 * fleet changes few subsets. A prompt's prefix has homes besides, the same for all entries.
 */
import type { Hash32 } from '../hashing/hashing.js';

/** A target as placement sees it. */
export interface Placeable {
  readonly index: number;
  readonly failureDomain: string;
  readonly nameHash: number;
}

/** Mixes two 32-bit hashes to one (the finaliser of MurmurHash3): rendezvous in integers. */
export function mixHashes(a: number, b: number): number {
  let mixed = Math.imul(a ^ Math.imul(b, 0x9e3779b1), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

/** Picks `size` targets for an entry, round robin over the failure domains. */
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
    const list = byDomain.get(target.failureDomain);
    if (list === undefined) byDomain.set(target.failureDomain, [target]);
    else list.push(target);
  }
  const ranked = [...byDomain.values()];
  for (const list of ranked) {
    list.sort((a, b) => mixHashes(entryHash, b.nameHash) - mixHashes(entryHash, a.nameHash));
  }
  return takeInTurn(ranked, size);
}

function takeInTurn<T>(lists: readonly (readonly T[])[], size: number): readonly T[] {
  const chosen: T[] = [];
  for (let round = 0; chosen.length < size; round += 1) {
    let found = false;
    for (const list of lists) {
      const next = list[round];
      if (next === undefined || chosen.length >= size) continue;
      chosen.push(next);
      found = true;
    }
    if (!found) break;
  }
  return chosen;
}

/** The `count` targets that rank highest for a key among all given. O(targets). */
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
  return best.map((entry) => entry.target);
}
