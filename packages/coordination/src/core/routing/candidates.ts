/**
 * Selects the targets that are compared for a request: a random sample of the entry's subset, the
 * targets that probably have the beginning of the prompt in their KV cache, and the home targets of
 * the prefix. The number of candidates does not grow with the fleet.
 */
import { randomBelow } from '../random/random.js';
import type { Random } from '../random/random.js';
import { likelyHolders } from './prefix-index.js';
import { homeTargetsOf, wantsReports } from './router.js';
import type { Router } from './router.js';
import type { TargetView } from './target-view.js';

/** Candidates for each of the two phases. */
export interface Candidates {
  readonly prefillTargets: readonly TargetView[];
  readonly decodeTargets: readonly TargetView[];
}

/** Selects the candidates for a prompt that begins with the blocks `prefixBlocks`. */
export function pickCandidates(
  router: Router,
  prefixBlocks: readonly string[],
  excluded: ReadonlySet<string>,
  nowMs: number,
  random: Random,
): Candidates {
  const prefillTargets = sample(router.prefillTargets, router.options.choices, random);
  const decodeTargets = sample(router.decodeTargets, router.options.choices, random);
  for (const view of affinityTargets(router, prefixBlocks)) {
    if (!view.accepting || !isLoadKnownOrExplored(router, view, nowMs, random)) continue;
    const phaseTargets =
      router.options.profile.roles[view.role].maxBatch > 0 ? decodeTargets : prefillTargets;
    if (!phaseTargets.includes(view)) phaseTargets.push(view);
  }
  if (excluded.size === 0) return { prefillTargets, decodeTargets };
  return {
    prefillTargets: prefillTargets.filter((view) => !excluded.has(view.name)),
    decodeTargets: decodeTargets.filter((view) => !excluded.has(view.name)),
  };
}

/** Share of the requests that may go to a target with unknown load, to learn its load. */
const EXPLORATION_PROBABILITY = 0.05;

/** Returns whether the target's load is known, or this request may explore it. */
function isLoadKnownOrExplored(
  router: Router,
  view: TargetView,
  nowMs: number,
  random: Random,
): boolean {
  // A home target that is in no entry's subset has no reports and looks idle to every entry, so all
  // entries would send to it at once. Its first answer carries its load, and the entry receives its
  // reports while it uses the target.
  if (view.report !== null && wantsReports(router, view.name, nowMs)) return true;
  return random() < EXPLORATION_PROBABILITY;
}

function affinityTargets(router: Router, prefixBlocks: readonly string[]): readonly TargetView[] {
  const firstBlock = prefixBlocks[0];
  if (firstBlock === undefined) return [];
  const targets: TargetView[] = [...homeTargetsOf(router, firstBlock)];
  for (const index of likelyHolders(router.prefixes, prefixBlocks)) {
    const view = router.viewsByIndex[index];
    if (view !== undefined) targets.push(view);
  }
  return targets;
}

/** Returns up to `count` different items at random, or all in order if there are no more. */
function sample<T>(items: readonly T[], count: number, random: Random): T[] {
  if (items.length <= count) return [...items];
  const chosen = new Set<T>();
  for (let draw = 0; draw < count; draw += 1) {
    const item = items[randomBelow(random, items.length)];
    if (item !== undefined) chosen.add(item);
  }
  return [...chosen];
}
