/**
 * The ledger of request contents that crash targets, stored in the key-value service so that it
 * survives the restart of any process. Entries are keyed by a hash of the content, so that a new
 * idempotency key does not clear a request of suspicion. Each service also has at most one stored
 * lone run, written before that run begins.
 */
import type { StoredValue } from '../claims/key-value.js';
import type { Place } from '../records/place.js';

/** Crashes and losses caused by one content. */
export interface LedgerEntry {
  /** Attempts during which the engine crashed; sorted, without duplicates. */
  readonly crashedAttemptIds: readonly string[];
  /** Lone runs whose sidecar was lost, so that the fate of the target is unknown. */
  readonly lostAttemptIds: readonly string[];
}

/**
 * The lone run of a service: the attempt of a suspect that may run on a target without any other
 * request, and where it runs.
 */
export interface LoneRun {
  readonly bodyHash: string;
  readonly attemptId: string;
  readonly place: Place;
  /** Incarnation of the sidecar that may run it; other incarnations have no record of the run. */
  readonly sidecarIncarnation: string;
}

/** Returns the key prefix of a service's ledger entries. */
export function ledgerPrefixOf(service: string): string {
  return `poison/${service}/content/`;
}

/** Returns the key of a content's ledger entry. */
export function ledgerKeyOf(service: string, bodyHash: string): string {
  return `${ledgerPrefixOf(service)}${bodyHash}`;
}

/** Returns the key of a service's lone run. */
export function loneRunKeyOf(service: string): string {
  return `poison/${service}/lone`;
}

/** Parses a ledger entry. A missing or malformed one counts as free of crashes. */
export function parseLedgerEntry(stored: StoredValue | null): LedgerEntry {
  const entry = parse<Partial<LedgerEntry>>(stored);
  return {
    crashedAttemptIds: entry?.crashedAttemptIds ?? [],
    lostAttemptIds: entry?.lostAttemptIds ?? [],
  };
}

/** Parses a lone run; null if it is missing or malformed. */
export function parseLoneRun(stored: StoredValue | null): LoneRun | null {
  return parse<LoneRun>(stored);
}

/** Adds a crash to an entry. A crash that is already listed changes nothing. */
export function withCrash(entry: LedgerEntry, attemptId: string): LedgerEntry {
  return { ...entry, crashedAttemptIds: withId(entry.crashedAttemptIds, attemptId) };
}

/** Adds a lost lone run to an entry. One that is already listed changes nothing. */
export function withLoss(entry: LedgerEntry, attemptId: string): LedgerEntry {
  return { ...entry, lostAttemptIds: withId(entry.lostAttemptIds, attemptId) };
}

function withId(ids: readonly string[], id: string): readonly string[] {
  return [...new Set([...ids, id])].sort();
}

/** Decides whether a content is convicted, that is, must not run any more. */
export type IsConvicted = (entry: LedgerEntry) => boolean;

/**
 * Crashes that convict a content, whichever processes reported them. A single crash may have been
 * caused by another request in the same batch.
 */
export const CONVICTING_CRASHES = 2;

/**
 * Crashes and losses together that convict a content. A sidecar lost during a lone run may have been
 * restarted for an unrelated reason, so a loss weighs less than an observed crash.
 */
export const CONVICTING_LOSSES = 3;

/**
 * Convicts a content by its crashes and losses in the ledger. Counting by content, in storage that
 * survives restarts, stops a caller that retries the content under new idempotency keys and through
 * other entries from crashing one target after another.
 */
export const isConvicted: IsConvicted = (entry) =>
  entry.crashedAttemptIds.length >= CONVICTING_CRASHES ||
  entry.crashedAttemptIds.length + entry.lostAttemptIds.length >= CONVICTING_LOSSES;

function parse<Value>(stored: StoredValue | null): Value | null {
  if (stored === null) return null;
  try {
    return JSON.parse(stored.value) as Value;
  } catch {
    return null;
  }
}
