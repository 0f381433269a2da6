/**
 * Decides whether the counts of a window may be fixed although the store has none. A store that came
 * back from an older copy may have lost counts that were reported, and a process that has started
 * since does not remember them. Whoever fixes others then contradicts the report.
 */

/**
 * Counts are fixed no earlier than this after the end of their window: a request that began in it may
 * be counted when its answer comes.
 */
export const FIXED_AFTER_END_MS = 1500;
/** A holder sends counts that others have not acknowledged only this soon after a renewal. */
export const UNACKNOWLEDGED_AFTER_RENEWAL_MS = 1000;
/** How far two gateways may differ in what they take for the end of a window. */
const CLOCK_MARGIN_MS = 500;

/** What one running gateway can tell about the time before. All times are on the asker's clock. */
export interface UsageWitness {
  /** Its process ran from then on at the latest. */
  readonly startedAtMs: number;
  /** The store's era as it knows it, and when it saw that era first, at the latest. */
  readonly era: number;
  readonly eraSeenAtMs: number;
  /** How many gateways it knew lately, itself included. */
  readonly gatewayCount: number;
}

/** What is known about the reports that were made before. */
export interface UsageEvidence {
  /** How often the store has come back from an older copy. */
  readonly era: number;
  /** The store has all counts that were fixed of this window and later ones; null if not known. */
  readonly completeSinceWindow: number | null;
  /** From then on, this gateway alone could fix counts until the era began; null if it could not. */
  readonly heldSinceMs: number | null;
  /** All gateways that have answered since the holder before can send no more, and this one. */
  readonly witnesses: readonly UsageWitness[];
}

/** Times that bound when a report is sent. */
export interface ReportTimes {
  /** Time within which all gateways have read a change of the store. */
  readonly maxUpdateDelayMs: number;
  /** From then on counts are sent that others may not know, counted from the end of the window. */
  readonly lastSendAfterEndMs: number;
}

/** Returns when the era was seen first; Infinity if none of the witnesses has seen it. */
export function eraSeenFirstMs({ era, witnesses }: UsageEvidence): number {
  return Math.min(
    ...witnesses.map((each) => (each.era === era ? each.eraSeenAtMs : Infinity)),
    Infinity,
  );
}

/**
 * Returns the earliest time at which windows may end whose counts can only have been fixed in this
 * era, and which the store therefore has.
 */
export function completeSinceMs(evidence: UsageEvidence): number {
  return eraSeenFirstMs(evidence) - FIXED_AFTER_END_MS + CLOCK_MARGIN_MS;
}

/** Returns whether no counts of a window were reported that neither the store nor a witness knows. */
export function isUnreported(
  window: number,
  endMs: number,
  evidence: UsageEvidence,
  times: ReportTimes,
): boolean {
  const { era, completeSinceWindow, heldSinceMs } = evidence;
  if (era === 0) return true;
  if (completeSinceWindow !== null && window >= completeSinceWindow) return true;
  if (endMs > completeSinceMs(evidence)) return true;
  if (heldSinceMs !== null && endMs > heldSinceMs) return true;
  return isUnknownToMost(endMs, evidence.witnesses) && isUnsent(endMs, evidence, times);
}

/** Returns whether so many ran at the end of a window that a majority can't have acknowledged it. */
function isUnknownToMost(endMs: number, witnesses: readonly UsageWitness[]): boolean {
  const gatewayCount = Math.max(...witnesses.map((each) => each.gatewayCount));
  const ranThen = witnesses.filter(({ startedAtMs }) => startedAtMs < endMs).length;
  return 2 * ranThen >= gatewayCount;
}

/** Returns whether the holder before lost its right before it sends without acknowledgements. */
function isUnsent(endMs: number, evidence: UsageEvidence, times: ReportTimes): boolean {
  const { maxUpdateDelayMs, lastSendAfterEndMs } = times;
  const sentAfterEndMs = Math.min(FIXED_AFTER_END_MS + maxUpdateDelayMs, lastSendAfterEndMs);
  const sentUntilMs = eraSeenFirstMs(evidence) + UNACKNOWLEDGED_AFTER_RENEWAL_MS;
  return sentUntilMs + CLOCK_MARGIN_MS < endMs + sentAfterEndMs;
}
