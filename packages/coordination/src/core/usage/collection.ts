/**
 * Merges the counts of all gateways. Each source is one process, whose counts of a window only grow;
 * the counts of a process that has ended stay until the window is reported.
 */
import type { UsageCounts, WindowUsage } from './ledger.js';

/** Counts by window, then by source. */
export type UsageCollection = Map<number, Map<string, UsageCounts>>;

/** Creates an empty collection. */
export function createUsageCollection(): UsageCollection {
  return new Map();
}

/** Replaces the counts of a source. */
export function recordUsage(
  collection: UsageCollection,
  source: string,
  usage: readonly WindowUsage[],
): void {
  for (const { window, counts } of usage) {
    const bySource = collection.get(window) ?? new Map<string, UsageCounts>();
    collection.set(window, bySource);
    const before = bySource.get(source) ?? {};
    // An answer that was overtaken by a later one has less.
    if (sumOf(counts) >= sumOf(before)) bySource.set(source, counts);
  }
}

/** Returns the counts of a window over all sources. */
export function totalUsage(collection: UsageCollection, window: number): UsageCounts {
  const total: Record<string, number> = {};
  for (const counts of collection.get(window)?.values() ?? []) {
    for (const [workspace, count] of Object.entries(counts)) {
      total[workspace] = (total[workspace] ?? 0) + count;
    }
  }
  return total;
}

/** Removes the windows before one. */
export function forgetUsageBefore(collection: UsageCollection, window: number): void {
  for (const each of collection.keys()) if (each < window) collection.delete(each);
}

function sumOf(counts: UsageCounts): number {
  return Object.values(counts).reduce((sum, count) => sum + count, 0);
}
