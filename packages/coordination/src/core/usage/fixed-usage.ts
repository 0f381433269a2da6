/**
 * The counts that were fixed in the store before they were reported. Every gateway remembers the last
 * ones, as a store that comes back from an older copy may have lost them after they were reported.
 */
import type { UsageCounts } from './ledger.js';

const REPORT_PREFIX = 'cassiamast/usage/';
/** More windows than a report can be late. */
const MAX_WINDOWS = 16;

/** The fixed counts by window. */
export type FixedUsage = Map<number, UsageCounts>;

/** Returns the store's key of a window's fixed counts. */
export function fixedUsageKey(window: number): string {
  return `${REPORT_PREFIX}${String(window)}`;
}

/** Returns the window whose fixed counts are under a key; null for any other key. */
export function windowOfKey(key: string): number | null {
  if (!key.startsWith(REPORT_PREFIX)) return null;
  const window = Number(key.slice(REPORT_PREFIX.length));
  return Number.isInteger(window) ? window : null;
}

/** Remembers the counts of a window; those that were fixed first stay. */
export function rememberFixedUsage(fixed: FixedUsage, window: number, counts: UsageCounts): void {
  if (fixed.has(window)) return;
  fixed.set(window, counts);
  const oldest = fixed.keys().next().value;
  if (fixed.size > MAX_WINDOWS && oldest !== undefined) fixed.delete(oldest);
}

/** Returns whether two counts are the same report. */
export function isSameUsage(one: UsageCounts, other: UsageCounts): boolean {
  const workspaces = Object.keys(one);
  return (
    workspaces.length === Object.keys(other).length &&
    workspaces.every((workspace) => one[workspace] === other[workspace])
  );
}
