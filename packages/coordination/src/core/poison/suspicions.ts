/**
 * What a process knows of suspected contents: from the ledger, which it reads at its start and then
 * watches, and from announcements of crashes, which come at once and through outages of the
 * key-value service. Both may miss, repeat or come late; crashes are therefore kept by attempt.
 */
import { Suspicion } from '../records/drive-types.js';
import type { IsConvicted } from './ledger.js';

/** What is known of one content. */
interface KnownContent {
  readonly crashedAttemptIds: Set<string>;
  /** Whether the ledger had it; what was only announced is not cleared by its absence there. */
  inLedger: boolean;
}

/** Contents by hash, oldest news first. */
export interface SuspicionTable {
  readonly byHash: Map<string, KnownContent>;
  readonly maxEntries: number;
  /** Whether the whole ledger was read, from the key-value service or a peer that had read it. */
  isRead: boolean;
}

/** Crashed attempts by content, as the ledger or a peer has them. */
export type LedgerSnapshot = ReadonlyMap<string, readonly string[]>;

/** No suspicions. */
export function createSuspicionTable(maxEntries: number): SuspicionTable {
  return { byHash: new Map(), maxEntries, isRead: false };
}

/** Takes news of crashes; the oldest content gives way when the table is full. */
export function noteCrashes(
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

/** A content ran alone to its end: it is a suspect no more. */
export function clearSuspicion(table: SuspicionTable, bodyHash: string): void {
  table.byHash.delete(bodyHash);
}

/** What a reading of the ledger showed. */
export interface LedgerReading {
  /** Contents that were in the ledger and are no more. */
  readonly cleared: readonly string[];
  /** Contents whose crashes were announced and are not all in the ledger: to be reported anew. */
  readonly unwritten: LedgerSnapshot;
}

/**
 * Takes the whole ledger. Guards a crash whose reporter died in an outage: it would show as one
 * target more lost to the same content. The guard holds because whoever heard of it reports it.
 */
export function readLedger(table: SuspicionTable, ledger: LedgerSnapshot): LedgerReading {
  const cleared: string[] = [];
  const unwritten = new Map<string, readonly string[]>();
  for (const [bodyHash, known] of table.byHash) {
    const written = ledger.get(bodyHash);
    const missing = [...known.crashedAttemptIds].filter((id) => !written?.includes(id));
    if (written === undefined && known.inLedger) cleared.push(bodyHash);
    else if (missing.length > 0) unwritten.set(bodyHash, missing);
  }
  for (const bodyHash of cleared) clearSuspicion(table, bodyHash);
  for (const [bodyHash, attemptIds] of ledger) noteCrashes(table, bodyHash, attemptIds, true);
  table.isRead = true;
  return { cleared, unwritten };
}

/** What a peer is given that cannot read the ledger itself. */
export function snapshotOf(table: SuspicionTable): LedgerSnapshot {
  return new Map(
    [...table.byHash].map(([bodyHash, known]) => [bodyHash, [...known.crashedAttemptIds]]),
  );
}

/**
 * What is known of a content. Guards against a convicted content at an entry that has just started:
 * it would show as one more target lost after each restart. The guard holds because an entry
 * dispatches nothing before it has read the ledger.
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
