/**
 * The ledger of contents that crash targets, in the key-value service: it outlives every process,
 * and it knows a request by its content, so that a new key does not make it innocent again. Beside
 * it stands, per service, the one lone run that may be under way, written before the run begins.
 */
import type { StoredValue } from '../claims/key-value.js';
import type { Place } from '../records/place.js';

/** What is known of one content. */
export interface LedgerEntry {
  /** Attempts during which their engine crashed; sorted, without repeats. */
  readonly crashedAttemptIds: readonly string[];
  /** Lone runs whose sidecar was lost with nobody left to say what became of the target. */
  readonly lostAttemptIds: readonly string[];
}

/** The lone run of a service: which attempt may run alone, where, and whose it is. */
export interface LoneRun {
  readonly bodyHash: string;
  readonly attemptId: string;
  readonly place: Place;
  /** Incarnation of the sidecar that may run it; another one knows nothing of it. */
  readonly sidecarIncarnation: string;
}

/** Prefix of a service's ledger. */
export function ledgerPrefixOf(service: string): string {
  return `poison/${service}/content/`;
}

/** Key of a content's entry. */
export function ledgerKeyOf(service: string, bodyHash: string): string {
  return `${ledgerPrefixOf(service)}${bodyHash}`;
}

/** Key of a service's lone run. */
export function loneRunKeyOf(service: string): string {
  return `poison/${service}/lone`;
}

/** Reads an entry; a missing or unreadable one counts no crash. */
export function parseLedgerEntry(stored: StoredValue | null): LedgerEntry {
  const entry = parse<Partial<LedgerEntry>>(stored);
  return {
    crashedAttemptIds: entry?.crashedAttemptIds ?? [],
    lostAttemptIds: entry?.lostAttemptIds ?? [],
  };
}

/** Reads the lone run, or null. */
export function parseLoneRun(stored: StoredValue | null): LoneRun | null {
  return parse<LoneRun>(stored);
}

/** The entry with one crash more; the same crash reported again changes nothing. */
export function withCrash(entry: LedgerEntry, attemptId: string): LedgerEntry {
  return { ...entry, crashedAttemptIds: withId(entry.crashedAttemptIds, attemptId) };
}

/** The entry with one loss more. */
export function withLoss(entry: LedgerEntry, attemptId: string): LedgerEntry {
  return { ...entry, lostAttemptIds: withId(entry.lostAttemptIds, attemptId) };
}

function withId(ids: readonly string[], id: string): readonly string[] {
  return [...new Set([...ids, id])].sort();
}

/** Decides whether a content is run no more. */
export type IsConvicted = (entry: LedgerEntry) => boolean;

/** Crashes in total, whoever saw them, that convict: one may be bad luck in a batch, two are not. */
export const CONVICTING_CRASHES = 2;

/**
 * Crashes and losses together that convict: a sidecar that is lost beside a lone run may have been
 * restarted by chance, so a loss weighs less than a crash that was seen.
 */
export const CONVICTING_LOSSES = 3;

/**
 * Guards the fleet against a content that crashes each target. Failure: its caller sends it again
 * and again, under new keys and through other entries; it shows as one target lost after another.
 * The guard holds because crashes are counted by content where no restart forgets them.
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
