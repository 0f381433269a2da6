/**
 * Numbers with mandatory units, as operators write them: "360 ms", "10 min", "40 GB", "5 %". A
 * dimension lists its units with the factor to the unit that the compiled field is kept in.
 */
import { NOT_A_QUANTITY, OUT_OF_RANGE, UNIT_MISSING, WRONG_UNIT } from '../faults/failures.js';
import { err, ok, type Result } from 'neverthrow';
import type { Failure } from '@cassiamast/coordination';

/** A kind of quantity and the units it may be written in. */
export interface Dimension {
  readonly name: string;
  /** Factor of each unit to the kept unit; the first is the smallest. */
  readonly units: Readonly<Record<string, number>>;
  /** Whether only whole numbers of the kept unit make sense. */
  readonly whole: boolean;
}

/** Kept in milliseconds. */
export const DURATION: Dimension = {
  name: 'duration',
  units: { ms: 1, s: 1_000, min: 60_000, h: 3_600_000 },
  whole: true,
};

/** Kept in bytes; decimal multiples. */
export const SIZE_BYTES: Dimension = {
  name: 'size',
  units: { B: 1, KB: 1e3, MB: 1e6, GB: 1e9 },
  whole: true,
};

/** Kept in megabytes; decimal multiples. */
export const SIZE_MB: Dimension = {
  name: 'size',
  units: { MB: 1, GB: 1e3, TB: 1e6 },
  whole: false,
};

/** Kept in tokens. */
export const TOKENS: Dimension = { name: 'tokens', units: { tokens: 1 }, whole: true };

/** Kept in tokens a second. */
export const TOKEN_RATE: Dimension = { name: 'rate', units: { 'tokens/s': 1 }, whole: false };

/** Kept in targets. */
export const TARGET_COUNT: Dimension = { name: 'count', units: { targets: 1 }, whole: true };

/** Kept as a ratio from 0 to 1. */
export const RATIO: Dimension = { name: 'ratio', units: { '%': 0.01 }, whole: false };

/** A quantity's bounds, both allowed, as operators write them. */
export interface QuantityRange {
  readonly min: string;
  readonly max: string;
}

const QUANTITY_PATTERN = /^(\d{1,15}(?:\.\d{1,9})?) ?(.*)$/;

/** Longest offending value quoted in a message. */
const MAX_QUOTED_LENGTH = 80;

/** Shortens a value for a message; any value may come from the text. */
export function quoted(value: unknown): string {
  const written = typeof value === 'string' ? value : (JSON.stringify(value) ?? 'nothing');
  // Control characters would reach the operator's terminal.
  const text = written.slice(0, MAX_QUOTED_LENGTH + 1).replace(/\p{C}/gu, '�');
  return text.length <= MAX_QUOTED_LENGTH ? text : `${text.slice(0, MAX_QUOTED_LENGTH)}…`;
}

/** Reads a quantity of the dimension into its kept unit, or says what is wrong with it. */
export function parseQuantity(
  value: unknown,
  dimension: Dimension,
  range: QuantityRange,
): Result<number, Failure> {
  return readQuantity(value, dimension).andThen((amount) => {
    const min = boundOf(range.min, dimension);
    const max = boundOf(range.max, dimension);
    if (amount >= min && amount <= max) return ok(amount);
    return err(OUT_OF_RANGE.of({ found: quoted(value), range: `${range.min} to ${range.max}` }));
  });
}

function readQuantity(value: unknown, dimension: Dimension): Result<number, Failure> {
  const units = Object.keys(dimension.units);
  if (typeof value === 'number') return err(UNIT_MISSING.of({ found: quoted(value), units }));
  if (typeof value !== 'string') return err(NOT_A_QUANTITY.of({ found: quoted(value), units }));
  const match = QUANTITY_PATTERN.exec(value);
  if (match === null) return err(NOT_A_QUANTITY.of({ found: quoted(value), units }));
  const [, digits = '', unit = ''] = match;
  if (unit === '') return err(UNIT_MISSING.of({ found: quoted(value), units }));
  const factor = Object.hasOwn(dimension.units, unit) ? dimension.units[unit] : undefined;
  if (factor === undefined) {
    return err(WRONG_UNIT.of({ found: quoted(value), unit: quoted(unit), units }));
  }
  return ok(scaled(Number(digits), factor, dimension));
}

function scaled(amount: number, factor: number, dimension: Dimension): number {
  const product = amount * factor;
  // 0.07 * 100 and its like must not leave binary dust in the compiled configuration.
  return dimension.whole ? Math.round(product) : Number(product.toPrecision(12));
}

function boundOf(bound: string, dimension: Dimension): number {
  return readQuantity(bound, dimension).unwrapOr(Number.NaN);
}

/** Writes an amount of the dimension's kept unit in the largest unit that keeps it whole. */
export function formatQuantity(amount: number, dimension: Dimension): string {
  const units = Object.entries(dimension.units).reverse();
  for (const [unit, factor] of units) {
    const inUnit = Number((amount / factor).toPrecision(12));
    if (Number.isInteger(inUnit) && inUnit !== 0) return `${String(inUnit)} ${unit}`;
  }
  const [smallest, factor] = units.at(-1) ?? ['', 1];
  return `${String(Number((amount / factor).toPrecision(12)))} ${smallest}`;
}

/** The regular expression, for editors, of the quantities that the dimension accepts. */
export function quantityPattern(dimension: Dimension): string {
  const units = Object.keys(dimension.units).join('|');
  return `^\\d{1,15}(\\.\\d{1,9})? ?(${units})$`;
}
