/**
 * Counts of the faults that a run brought about, by kind, so that a report shows what was tried.
 */

/** Faults by kind. */
export type FaultCounts = Map<string, number>;

/** Counts one fault. */
export function countFault(counts: FaultCounts, kind: string): void {
  counts.set(kind, (counts.get(kind) ?? 0) + 1);
}
