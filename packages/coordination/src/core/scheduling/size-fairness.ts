/**
 * Keeps any size of prompt from starving. The load pattern: engines that are full for many seconds,
 * and prompts of one route from a hundred tokens to fifty thousand. What is worth most for the
 * engine's time comes first, and the largest prompts never would; so the share of them that is
 * served is watched against the share of all prompts of their route.
 */

/** Size classes of a route. */
export enum SizeClass {
  Ordinary = 'ordinary',
  /** Larger than seven in ten. */
  Large = 'large',
  /** Larger than nine in ten. */
  Largest = 'largest',
}

/** Sizes that the bounds of the classes rest on, the newest of a route. */
const SIZES_KEPT = 64;
/** Below so few sizes all count as ordinary. */
const MIN_SIZES = 10;
const LARGE_QUANTILE = 0.7;
const LARGEST_QUANTILE = 0.9;
/** A class is starved when it is served less often than this part of its whole route. */
const STARVED_RATIO = 0.65;
/** Weight that the past keeps at each new job of the class: half after some 35. */
const FADE = 0.98;

/** How often jobs were asked for and served; old ones fade. */
interface Tally {
  asked: number;
  served: number;
}

/** What is known of one route. */
interface RouteSizeTally {
  readonly sizes: number[];
  readonly all: Tally;
  readonly byClass: Record<SizeClass, Tally>;
}

/** What is known of all routes of a service. */
export interface SizeFairness {
  readonly byRoute: Map<string, RouteSizeTally>;
}

/** Nothing known. */
export function createSizeFairness(): SizeFairness {
  return { byRoute: new Map() };
}

/** Counts a job that is asked for, and tells its class. */
export function noteAskedSize(fairness: SizeFairness, route: string, size: number): SizeClass {
  const tally = fairness.byRoute.get(route) ?? createRouteTally();
  fairness.byRoute.set(route, tally);
  const sizeClass = classOf(tally.sizes, size);
  tally.sizes.push(size);
  if (tally.sizes.length > SIZES_KEPT) tally.sizes.shift();
  ask(tally.all);
  ask(tally.byClass[sizeClass]);
  return sizeClass;
}

/** Counts a job that is given to an engine. */
export function noteServedSize(fairness: SizeFairness, route: string, sizeClass: SizeClass): void {
  const tally = fairness.byRoute.get(route);
  if (tally === undefined) return;
  tally.all.served += 1;
  tally.byClass[sizeClass].served += 1;
}

/** Whether jobs of a class are served much less often than those of their whole route. */
export function isStarved(fairness: SizeFairness, route: string, sizeClass: SizeClass): boolean {
  const tally = fairness.byRoute.get(route);
  if (tally === undefined || sizeClass === SizeClass.Ordinary) return false;
  const { asked, served } = tally.byClass[sizeClass];
  const servedOfAll = tally.all.served / Math.max(1, tally.all.asked);
  // The job in question counts as asked already.
  return served < asked * servedOfAll * STARVED_RATIO;
}

function createRouteTally(): RouteSizeTally {
  return {
    sizes: [],
    all: { asked: 0, served: 0 },
    byClass: {
      [SizeClass.Ordinary]: { asked: 0, served: 0 },
      [SizeClass.Large]: { asked: 0, served: 0 },
      [SizeClass.Largest]: { asked: 0, served: 0 },
    },
  };
}

function ask(tally: Tally): void {
  tally.asked = tally.asked * FADE + 1;
  tally.served *= FADE;
}

function classOf(sizes: readonly number[], size: number): SizeClass {
  if (sizes.length < MIN_SIZES) return SizeClass.Ordinary;
  const smaller = sizes.filter((each) => each < size).length / sizes.length;
  if (smaller >= LARGEST_QUANTILE) return SizeClass.Largest;
  return smaller >= LARGE_QUANTILE ? SizeClass.Large : SizeClass.Ordinary;
}
