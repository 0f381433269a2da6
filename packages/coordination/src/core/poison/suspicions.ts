/**
 * Tracks the suspected contents that one process knows of. It learns them from the ledger, which it
 * reads at its start and then watches, and from crash announcements, which arrive immediately and
 * also during outages of the key-value service. Both sources may be incomplete, duplicated or late,
 * so crashes are stored by attempt id.
 */
import { Suspicion } from '../records/request-types.js';
import type { IsConvicted } from './ledger.js';

/** A suspected content. */
interface KnownContent {
  readonly crashedAttemptIds: Set<string>;
  /** Whether the ledger had it. Only then does absence from the ledger clear the content. */
  inLedger: boolean;
}

/** Suspected contents by hash, least recently updated first. */
export interface SuspicionTable {
  readonly byHash: Map<string, KnownContent>;
  readonly maxEntries: number;
  /** Whether the whole ledger was read, from the key-value service or from a peer's snapshot. */
  isRead: boolean;
}

/** Crashed attempts by content hash, as stored in the ledger or known to a peer. */
export type LedgerSnapshot = ReadonlyMap<string, readonly string[]>;

/** Creates an empty table that has not read the ledger yet. */
export function createSuspicionTable(maxEntries: number): SuspicionTable {
  return { byHash: new Map(), maxEntries, isRead: false };
}

/** Records crashes of a content. A full table evicts the least recently updated content. */
export function recordCrashes(
  table: SuspicionTable,
  bodyHash: string,
  attemptIds: readonly string[],
  inLedger: boolean,
): void {
  const known = table.byHash.get(bodyHash);
  const crashedAttemptIds = new Set([...(known?.crashedAttemptIds ?? []), ...attemptIds]);
  table.byHash.delete(bodyHash);
  table.byHash.set(bodyHash, {
    crashedAttemptIds,
    inLedger: inLedger || (known?.inLedger ?? false),
  });
  const oldest = table.byHash.keys().next().value;
  if (table.byHash.size > table.maxEntries && oldest !== undefined) table.byHash.delete(oldest);
}

/** Removes a content that completed a lone run and is therefore no longer a suspect. */
export function clearSuspicion(table: SuspicionTable, bodyHash: string): void {
  table.byHash.delete(bodyHash);
}

/** Differences between the table and the ledger. */
export interface LedgerDifferences {
  /** Contents that were in the ledger before and were removed from it. */
  readonly cleared: readonly string[];
  /** Announced crashes that are missing from the ledger and have to be reported again. */
  readonly unwritten: LedgerSnapshot;
}

/**
 * Merges the whole ledger into the table and returns how they differed. Every process that knows of
 * an unwritten crash reports it again. Otherwise a crash whose reporter died during an outage would
 * be lost, and the same content would crash another target.
 */
export function mergeLedger(table: SuspicionTable, ledger: LedgerSnapshot): LedgerDifferences {
  const cleared: string[] = [];
  const unwritten = new Map<string, readonly string[]>();
  for (const [bodyHash, known] of table.byHash) {
    const written = ledger.get(bodyHash);
    const missing = [...known.crashedAttemptIds].filter((id) => !written?.includes(id));
    if (written === undefined && known.inLedger) cleared.push(bodyHash);
    else if (missing.length > 0) unwritten.set(bodyHash, missing);
  }
  for (const bodyHash of cleared) clearSuspicion(table, bodyHash);
  for (const [bodyHash, attemptIds] of ledger) recordCrashes(table, bodyHash, attemptIds, true);
  table.isRead = true;
  return { cleared, unwritten };
}

/** Returns the known crashes, for a peer that can't read the ledger itself. */
export function snapshotOf(table: SuspicionTable): LedgerSnapshot {
  return new Map(
    [...table.byHash].map(([bodyHash, known]) => [bodyHash, [...known.crashedAttemptIds]]),
  );
}

/**
 * Returns the suspicion of a content, which is `Unread` until the ledger was read. An entry
 * dispatches nothing before that; otherwise each restart of an entry could let a convicted content
 * crash one more target.
 */
export function suspicionOf(
  table: SuspicionTable,
  bodyHash: string,
  isConvicted: IsConvicted,
): Suspicion {
  if (!table.isRead) return Suspicion.Unread;
  const known = table.byHash.get(bodyHash);
  if (known === undefined) return Suspicion.None;
  const crashedAttemptIds = [...known.crashedAttemptIds];
  const convicted = isConvicted({ crashedAttemptIds, lostAttemptIds: [] });
  return convicted ? Suspicion.Convicted : Suspicion.Suspect;
}
