/**
 * Which targets are weighed for a request: a random few of the subset, those that probably hold
 * the beginning of the prompt, and the prefix's homes. The number does not grow with the fleet.
 */
import { randomBelow } from '../random/random.js';
import type { Random } from '../random/random.js';
import { likelyHolders } from './prefix-index.js';
import { homesOf, wantsReports } from './router.js';
import type { Router } from './router.js';
import type { TargetView } from './target-view.js';

/** Candidates of the two phases. */
export interface Candidates {
  readonly readers: readonly TargetView[];
  readonly writers: readonly TargetView[];
}

/** Picks the candidates for a prompt that begins with these blocks. */
export function pickCandidates(
  router: Router,
  prefixBlocks: readonly string[],
  excluded: ReadonlySet<string>,
  nowMs: number,
  random: Random,
): Candidates {
  const readers = sample(router.readers, router.options.choices, random);
  const writers = sample(router.writers, router.options.choices, random);
  for (const view of affine(router, prefixBlocks)) {
    if (!view.accepting || !isLoadKnown(router, view, nowMs, random)) continue;
    const list = router.options.profile.roles[view.role].maxBatch > 0 ? writers : readers;
    if (!list.includes(view)) list.push(view);
  }
  if (excluded.size === 0) return { readers, writers };
  return {
    readers: readers.filter((view) => !excluded.has(view.name)),
    writers: writers.filter((view) => !excluded.has(view.name)),
  };
}

/** Part of the requests that may go to a target whose load is unknown, to learn it. */
const EXPLORED_SHARE = 0.05;

/** Whether the load of a target is known, or this request may find it out. */
function isLoadKnown(router: Router, view: TargetView, nowMs: number, random: Random): boolean {
  // A home outside the subset of all entries has no reports and looks idle to each of them: all
  // would send to it at once. The first answer brings its load, and reports follow while it is used.
  if (view.report !== null && wantsReports(router, view.name, nowMs)) return true;
  return random() < EXPLORED_SHARE;
}

function affine(router: Router, prefixBlocks: readonly string[]): readonly TargetView[] {
  const first = prefixBlocks[0];
  if (first === undefined) return [];
  const found: TargetView[] = [...homesOf(router, first)];
  for (const index of likelyHolders(router.prefixes, prefixBlocks)) {
    const view = router.byIndex[index];
    if (view !== undefined) found.push(view);
  }
  return found;
}

/** Up to `count` different members of the list; all, in order, where it is no longer. */
function sample<T>(list: readonly T[], count: number, random: Random): T[] {
  if (list.length <= count) return [...list];
  const chosen = new Set<T>();
  for (let draw = 0; draw < count; draw += 1) {
    const member = list[randomBelow(random, list.length)];
    if (member !== undefined) chosen.add(member);
  }
  return [...chosen];
}
