/**
 * Parses and formats numbers with mandatory units, such as "360 ms", "10 min", "40 GB" or "5 %".
 * Each dimension lists its units with their factors to the base unit, which compiled fields use.
 */
import { NOT_A_QUANTITY, OUT_OF_RANGE, UNIT_MISSING, WRONG_UNIT } from '../faults/failures.js';
import { err, ok, type Result } from 'neverthrow';
import type { Failure } from '@cassiamast/coordination';

/** A kind of quantity and its allowed units. */
export interface Dimension {
  readonly name: string;
  /** Factor from each unit to the base unit, smallest unit first. */
  readonly units: Readonly<Record<string, number>>;
  /** Whether amounts are rounded to whole numbers of the base unit. */
  readonly whole: boolean;
}

/** Base unit: milliseconds. */
export const DURATION: Dimension = {
  name: 'duration',
  units: { ms: 1, s: 1_000, min: 60_000, h: 3_600_000 },
  whole: true,
};

/** Base unit: bytes; multiples are decimal. */
export const SIZE_BYTES: Dimension = {
  name: 'size',
  units: { B: 1, KB: 1e3, MB: 1e6, GB: 1e9 },
  whole: true,
};

/** Base unit: megabytes; multiples are decimal. */
export const SIZE_MB: Dimension = {
  name: 'size',
  units: { MB: 1, GB: 1e3, TB: 1e6 },
  whole: false,
};

/** Base unit: tokens. */
export const TOKENS: Dimension = { name: 'tokens', units: { tokens: 1 }, whole: true };

/** Base unit: tokens per second. */
export const TOKEN_RATE: Dimension = { name: 'rate', units: { 'tokens/s': 1 }, whole: false };

/** Base unit: targets. */
export const TARGET_COUNT: Dimension = { name: 'count', units: { targets: 1 }, whole: true };

/** Base unit: a ratio from 0 to 1. */
export const RATIO: Dimension = { name: 'ratio', units: { '%': 0.01 }, whole: false };

/** Inclusive limits of a quantity, written with units. */
export interface QuantityRange {
  readonly min: string;
  readonly max: string;
}

const QUANTITY_PATTERN = /^(\d{1,15}(?:\.\d{1,9})?) ?(.*)$/;

/** Longer offending values are truncated in messages. */
const MAX_QUOTED_LENGTH = 80;

/** Converts any value from the text to a short string that is safe to print in a message. */
export function quoted(value: unknown): string {
  const fullText = typeof value === 'string' ? value : (JSON.stringify(value) ?? 'nothing');
  // Control characters could change the state of the operator's terminal.
  const text = fullText.slice(0, MAX_QUOTED_LENGTH + 1).replace(/\p{C}/gu, '�');
  return text.length <= MAX_QUOTED_LENGTH ? text : `${text.slice(0, MAX_QUOTED_LENGTH)}…`;
}

/** Parses a quantity and converts it to the base unit, or returns the failure to report. */
export function parseQuantity(
  value: unknown,
  dimension: Dimension,
  range: QuantityRange,
): Result<number, Failure> {
  return parseAmount(value, dimension).andThen((amount) => {
    const min = parseLimit(range.min, dimension);
    const max = parseLimit(range.max, dimension);
    if (amount >= min && amount <= max) return ok(amount);
    return err(OUT_OF_RANGE.of({ found: quoted(value), range: `${range.min} to ${range.max}` }));
  });
}

function parseAmount(value: unknown, dimension: Dimension): Result<number, Failure> {
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
  return ok(toBaseUnit(Number(digits), factor, dimension));
}

function toBaseUnit(amount: number, factor: number, dimension: Dimension): number {
  const product = amount * factor;
  // Removes floating-point errors, as in 0.07 * 100, from the compiled configuration.
  return dimension.whole ? Math.round(product) : Number(product.toPrecision(12));
}

function parseLimit(limit: string, dimension: Dimension): number {
  return parseAmount(limit, dimension).unwrapOr(Number.NaN);
}

/**
 * Formats an amount in the largest unit that yields a whole number. If there is none, uses the
 * smallest unit.
 */
export function formatQuantity(amount: number, dimension: Dimension): string {
  const units = Object.entries(dimension.units).reverse();
  for (const [unit, factor] of units) {
    const inUnit = Number((amount / factor).toPrecision(12));
    if (Number.isInteger(inUnit) && inUnit !== 0) return `${String(inUnit)} ${unit}`;
  }
  const [smallest, factor] = units.at(-1) ?? ['', 1];
  return `${String(Number((amount / factor).toPrecision(12)))} ${smallest}`;
}

/** Returns the regular expression that editors use to validate quantities of the dimension. */
export function quantityPattern(dimension: Dimension): string {
  const units = Object.keys(dimension.units).join('|');
  return `^\\d{1,15}(\\.\\d{1,9})? ?(${units})$`;
}
