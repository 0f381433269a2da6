/**
 * Filling the hand-written entries: each `{name}` becomes a value drawn from a seeded generator, so
 * that a prompt is the same for the same seed.
 */
import type { Random } from '@cassiamast/coordination';
import { randomBelow } from '@cassiamast/coordination';

const PLACEHOLDER = /\{([a-z]+)\}/g;
const FIRST_DAY_MS = Date.UTC(2019, 0, 7);
const DAYS = 2_500;
const DAY_MS = 86_400_000;

/** Draws one of the items. */
export function pick<T>(random: Random, items: readonly T[]): T {
  const item = items[randomBelow(random, items.length)];
  if (item === undefined) throw new RangeError('nothing to pick from');
  return item;
}

/** A whole number from `low` to `high`, both allowed. */
export function between(random: Random, low: number, high: number): number {
  return low + randomBelow(random, high - low + 1);
}

/** A date as records write it. */
export function drawDate(random: Random): string {
  return new Date(FIRST_DAY_MS + between(random, 0, DAYS) * DAY_MS).toISOString().slice(0, 10);
}

/** How each placeholder is drawn. */
const DRAWS: Readonly<Record<string, (random: Random) => string>> = {
  station: (random) =>
    pick(random, ['Windhoek', 'Walvis Bay', 'Cape Town', 'Johannesburg', 'Luanda', 'Maun']),
  substation: (random) =>
    pick(random, ['Bayanzurkh', 'Khan-Uul', 'Songino', 'Nalaikh', 'Choir', 'Sainshand']),
  side: (random) => pick(random, ['1', '2', 'left', 'right']),
  date: drawDate,
  serial: (random) => `${pick(random, ['A', 'H', 'KX'])}${String(between(random, 10_000, 99_999))}`,
  order: (random) => `WO-${String(between(random, 100_000, 999_999))}`,
  feeder: (random) => `F-${String(between(random, 1, 48))}`,
  section: (random) => pick(random, ['70', '95', '120', '150']),
  row: (random) => String(between(random, 1, 30)),
  g: (random) => `1.${String(between(random, 6, 9))}`,
  n: (random) => String(between(random, 1, 9)),
  m: (random) => String(between(random, 1, 40)),
  km: (random) => String(between(random, 3, 60)),
  mw: (random) => String(between(random, 4, 60)),
  ka: (random) => String(between(random, 9, 17)),
  amps: (random) => String(between(random, 180, 540)),
  span: (random) => String(between(random, 2, 90)),
  bay: (random) => String(between(random, 1, 14)),
  pct: (random) => String(between(random, 11, 94)),
  mps: (random) => String(between(random, 6, 9)),
};

/** Fills every placeholder; one that is not known is left as it stands. */
export function fill(template: string, random: Random): string {
  return template.replace(PLACEHOLDER, (whole, name: string) => DRAWS[name]?.(random) ?? whole);
}
