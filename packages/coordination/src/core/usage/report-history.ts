/**
 * The record in the store of how far its fixed counts are complete. It names the store's era, as a
 * store that comes back from an older copy has the record again but may lack counts.
 */

/** The store's key of the record. */
export const REPORT_HISTORY_KEY = 'cassiamast/duties/usage-history';

/** From which window on the store has all counts that were fixed, in one of its eras. */
export interface ReportHistory {
  readonly completeInEra: number;
  readonly sinceWindow: number;
}

/** Returns the value of the record as JSON. */
export function encodeReportHistory({ completeInEra, sinceWindow }: ReportHistory): string {
  return JSON.stringify({ completeInEra, sinceWindow });
}

/** Decodes the value of the record; null if it is invalid or from another era. */
export function decodeReportHistory(
  value: Readonly<Record<string, unknown>> | null,
  era: number,
): ReportHistory | null {
  const { completeInEra, sinceWindow } = value ?? {};
  if (completeInEra !== era || typeof sinceWindow !== 'number') return null;
  return Number.isInteger(sinceWindow) ? { completeInEra, sinceWindow } : null;
}
