/**
 * Random number generators that are passed as arguments. Decision code draws only from the
 * {@link Random} it receives, so that a seed reproduces every decision.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Returns a random number in [0, 1). */
export type Random = () => number;

/** Creates a generator that returns the same sequence for the same seed. */
export function seededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/** Returns a random integer in [0, bound). */
export function randomBelow(random: Random, bound: number): number {
  return Math.min(bound - 1, Math.floor(random() * bound));
}
