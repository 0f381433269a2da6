/**
 * Counts, on one gateway, the requests of each workspace that targets began to run, by window of
 * time. Counts of a window only grow, so a later reading of them replaces an earlier one.
 */

/** Number of requests by workspace. */
export type UsageCounts = Readonly<Record<string, number>>;

/** The counts of one window. */
export interface WindowUsage {
  /** Number of the window: it begins at this multiple of the window's length, from 1970 on. */
  readonly window: number;
  readonly counts: UsageCounts;
}

/** The counts of one gateway. */
export interface UsageLedger {
  readonly windowMs: number;
  readonly windows: Map<number, Record<string, number>>;
}

/** Windows that are kept: a report is due long before they are over. */
const MAX_WINDOWS = 12;

/** Creates a ledger without counts. */
export function createUsageLedger(windowMs: number): UsageLedger {
  return { windowMs, windows: new Map() };
}

/** Returns the number of the window at a time, in Unix milliseconds. */
export function usageWindowAt(atMs: number, windowMs: number): number {
  return Math.floor(atMs / windowMs);
}

/** Counts a request that a target began to run, at a time in Unix milliseconds. */
export function recordUse(ledger: UsageLedger, workspace: string, atMs: number): void {
  const window = usageWindowAt(atMs, ledger.windowMs);
  const counts = ledger.windows.get(window) ?? {};
  ledger.windows.set(window, counts);
  counts[workspace] = (counts[workspace] ?? 0) + 1;
  const oldest = Math.min(...ledger.windows.keys());
  if (ledger.windows.size > MAX_WINDOWS) ledger.windows.delete(oldest);
}

/** Returns the counts of a window and of all later ones. */
export function usageSince(ledger: UsageLedger, window: number): readonly WindowUsage[] {
  return [...ledger.windows]
    .filter(([each]) => each >= window)
    .map(([each, counts]) => ({ window: each, counts: { ...counts } }));
}
