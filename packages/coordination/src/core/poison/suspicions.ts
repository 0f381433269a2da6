/**
 * What a process knows of suspected contents, fed by the ledger's watch and by announcements; both
 * may miss, repeat or come late, so this decides only what is asked of the ledger first.
 */
import { Suspicion } from '../records/drive-types.js';
import { CONVICTING_CRASHES } from './ledger.js';

/** Crashes by content, oldest news first. */
export interface SuspicionTable {
  readonly crashesByHash: Map<string, number>;
  readonly maxEntries: number;
}

/** No suspicions. */
export function createSuspicionTable(maxEntries: number): SuspicionTable {
  return { crashesByHash: new Map(), maxEntries };
}

/** Takes news of a content; 0 crashes clear it. The oldest news gives way when the table is full. */
export function noteSuspicion(table: SuspicionTable, bodyHash: string, crashes: number): void {
  table.crashesByHash.delete(bodyHash);
  if (crashes === 0) return;
  table.crashesByHash.set(bodyHash, crashes);
  const oldest = table.crashesByHash.keys().next().value;
  if (table.crashesByHash.size > table.maxEntries && oldest !== undefined) {
    table.crashesByHash.delete(oldest);
  }
}

/** What is known of a content. */
export function suspicionOf(table: SuspicionTable, bodyHash: string): Suspicion {
  const crashes = table.crashesByHash.get(bodyHash) ?? 0;
  if (crashes >= CONVICTING_CRASHES) return Suspicion.Convicted;
  return crashes > 0 ? Suspicion.Suspect : Suspicion.None;
}
