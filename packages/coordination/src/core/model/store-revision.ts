/**
 * Revisions of a store that may come back from an older copy of itself. It then gives out revisions
 * again, and its era rises. Revisions here continue over the eras, so that they can be compared: what
 * is written later has the higher one, whether the store came back in between or not.
 */

/** Far more than a store gives out in years; leaves room for thousands of eras in a safe integer. */
const REVISIONS_PER_ERA = 2 ** 38;

/** Returns whether a number can be what the store itself calls a revision. */
export function isStoreRevision(value: number): boolean {
  return Number.isInteger(value) && value >= 0 && value < REVISIONS_PER_ERA;
}

/** Returns the revision for what the store itself calls a revision in one of its eras. */
export function revisionInEra(era: number, storeRevision: number): number {
  return era * REVISIONS_PER_ERA + storeRevision;
}

/** Returns the era of a revision. */
export function eraOf(revision: number): number {
  return Math.floor(revision / REVISIONS_PER_ERA);
}

/** Returns what the store itself calls the revision, in the revision's era. */
export function storeRevisionOf(revision: number): number {
  return revision % REVISIONS_PER_ERA;
}

/** Returns the revision for a log line, as the store's own number after its era. */
export function describeRevision(revision: number): string {
  return `${String(eraOf(revision))}/${String(storeRevisionOf(revision))}`;
}
