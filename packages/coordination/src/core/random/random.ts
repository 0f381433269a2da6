/**
 * Randomness as an argument: decision code draws from a {@link Random} that it is handed, so that
 * a seed replays every decision.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Draws a number from [0, 1). */
export type Random = () => number;

/** A generator of the same sequence for the same seed. */
export function seededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/** Draws a whole number from [0, bound). */
export function randomBelow(random: Random, bound: number): number {
  return Math.min(bound - 1, Math.floor(random() * bound));
}
