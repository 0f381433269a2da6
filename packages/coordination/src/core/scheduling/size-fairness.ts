/**
 * Prevents starvation of large prompts. When engines are full for many seconds and the prompts of
 * one route range from a hundred to fifty thousand tokens, ranking by value per engine time would
 * never serve the largest prompts. Therefore the share of served jobs is tracked per size class and
 * compared with that of the whole route.
 */

/** Size classes of a route. */
export enum SizeClass {
  Ordinary = 'ordinary',
  /** Larger than 70 percent of the prompts. */
  Large = 'large',
  /** Larger than 90 percent of the prompts. */
  Largest = 'largest',
}

/** Number of recent sizes per route that the class bounds are based on. */
const MAX_SAMPLED_SIZES = 64;
/** With fewer sizes than this, all jobs count as ordinary. */
const MIN_SAMPLED_SIZES = 10;
const LARGE_QUANTILE = 0.7;
const LARGEST_QUANTILE = 0.9;
/**
 * A class is starved if its served share falls below this fraction of the share of its whole route.
 */
const STARVED_RATIO = 0.65;
/** Weight that past counts keep with each new job of the class; they halve after about 35 jobs. */
const TALLY_DECAY = 0.98;

/** Decayed counts of requested and served jobs. */
interface Tally {
  requested: number;
  served: number;
}

/** Statistics of one route. */
interface RouteSizeTally {
  readonly sizes: number[];
  readonly all: Tally;
  readonly byClass: Record<SizeClass, Tally>;
}

/** Statistics of all routes of a service. */
export interface SizeFairness {
  readonly byRoute: Map<string, RouteSizeTally>;
}

/** Returns empty statistics. */
export function createSizeFairness(): SizeFairness {
  return { byRoute: new Map() };
}

/** Counts a requested job and returns its size class. */
export function recordRequestedSize(
  fairness: SizeFairness,
  route: string,
  size: number,
): SizeClass {
  const tally = fairness.byRoute.get(route) ?? createRouteTally();
  fairness.byRoute.set(route, tally);
  const sizeClass = sizeClassOf(tally.sizes, size);
  tally.sizes.push(size);
  if (tally.sizes.length > MAX_SAMPLED_SIZES) tally.sizes.shift();
  countRequest(tally.all);
  countRequest(tally.byClass[sizeClass]);
  return sizeClass;
}

/** Counts a job that was given to an engine. */
export function recordServedSize(
  fairness: SizeFairness,
  route: string,
  sizeClass: SizeClass,
): void {
  const tally = fairness.byRoute.get(route);
  if (tally === undefined) return;
  tally.all.served += 1;
  tally.byClass[sizeClass].served += 1;
}

/** Returns whether jobs of a class are served much less often than all jobs of their route. */
export function isStarved(fairness: SizeFairness, route: string, sizeClass: SizeClass): boolean {
  const tally = fairness.byRoute.get(route);
  if (tally === undefined || sizeClass === SizeClass.Ordinary) return false;
  const { requested, served } = tally.byClass[sizeClass];
  const routeServedRatio = tally.all.served / Math.max(1, tally.all.requested);
  // The job in question is already counted as requested.
  return served < requested * routeServedRatio * STARVED_RATIO;
}

function createRouteTally(): RouteSizeTally {
  return {
    sizes: [],
    all: { requested: 0, served: 0 },
    byClass: {
      [SizeClass.Ordinary]: { requested: 0, served: 0 },
      [SizeClass.Large]: { requested: 0, served: 0 },
      [SizeClass.Largest]: { requested: 0, served: 0 },
    },
  };
}

function countRequest(tally: Tally): void {
  tally.requested = tally.requested * TALLY_DECAY + 1;
  tally.served *= TALLY_DECAY;
}

function sizeClassOf(sizes: readonly number[], size: number): SizeClass {
  if (sizes.length < MIN_SAMPLED_SIZES) return SizeClass.Ordinary;
  const smallerShare = sizes.filter((sampledSize) => sampledSize < size).length / sizes.length;
  if (smallerShare >= LARGEST_QUANTILE) return SizeClass.Largest;
  return smallerShare >= LARGE_QUANTILE ? SizeClass.Large : SizeClass.Ordinary;
}
