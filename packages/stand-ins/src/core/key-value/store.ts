/**
 * The stored state of the key-value stand-in: entries under one growing revision, leases, and a
 * bounded history for watches that begin in the past. Pure but for its own state; time is passed in.
 */

/** Changes kept for watches that begin in the past; an older beginning is compacted. */
const MAX_HISTORY = 10_000;

/** One stored entry. */
export interface StoredEntry {
  readonly key: string;
  readonly value: string;
  readonly createRevision: number;
  readonly modRevision: number;
  readonly version: number;
  /** 0 when bound to no lease. */
  readonly lease: string;
}

/** One change, in the order of revisions. */
export interface StoredChange {
  readonly key: string;
  readonly revision: number;
  /** Null when the key was removed. */
  readonly entry: StoredEntry | null;
}

interface Lease {
  readonly id: string;
  readonly ttlS: number;
  expiresAtMs: number;
  readonly keys: Set<string>;
}

/** What a transaction may do. */
export type StoreWrite =
  | { readonly put: { readonly key: string; readonly value: string; readonly lease: string } }
  | { readonly remove: { readonly key: string } };

/** The whole state. */
export interface Store {
  revision: number;
  readonly entries: Map<string, StoredEntry>;
  readonly leases: Map<string, Lease>;
  readonly history: StoredChange[];
  nextLeaseId: number;
}

/** An empty store; the first write gets revision 2, as in etcd. */
export function createStore(): Store {
  return {
    revision: 1,
    entries: new Map(),
    leases: new Map(),
    history: [],
    nextLeaseId: 7_000_001,
  };
}

/** Entries from `key` up to but without `end`; null means the one key. */
export function readRange(store: Store, key: string, end: string | null, limit: number) {
  if (end === null) {
    const entry = store.entries.get(key);
    return entry === undefined ? [] : [entry];
  }
  const found = [...store.entries.values()].filter((entry) => entry.key >= key && entry.key < end);
  found.sort((a, b) => (a.key < b.key ? -1 : 1));
  return limit > 0 ? found.slice(0, limit) : found;
}

/** Applies writes under one new revision and gives the changes. An unknown lease gives null. */
export function applyWrites(
  store: Store,
  writes: readonly StoreWrite[],
): readonly StoredChange[] | null {
  const unknownLease = writes.some(
    (write) => 'put' in write && write.put.lease !== '0' && !store.leases.has(write.put.lease),
  );
  if (unknownLease) return null;
  if (writes.length === 0) return [];
  const revision = store.revision + 1;
  const changes = writes.flatMap((write) =>
    'put' in write ? [put(store, revision, write.put)] : remove(store, revision, write.remove.key),
  );
  if (changes.length > 0) store.revision = revision;
  store.history.push(...changes);
  if (store.history.length > MAX_HISTORY) {
    store.history.splice(0, store.history.length - MAX_HISTORY);
  }
  return changes;
}

function put(
  store: Store,
  revision: number,
  write: { readonly key: string; readonly value: string; readonly lease: string },
): StoredChange {
  const before = store.entries.get(write.key);
  if (before !== undefined) store.leases.get(before.lease)?.keys.delete(write.key);
  const entry: StoredEntry = {
    ...write,
    createRevision: before?.createRevision ?? revision,
    modRevision: revision,
    version: (before?.version ?? 0) + 1,
  };
  store.entries.set(write.key, entry);
  store.leases.get(write.lease)?.keys.add(write.key);
  return { key: write.key, revision, entry };
}

function remove(store: Store, revision: number, key: string): StoredChange[] {
  const before = store.entries.get(key);
  if (before === undefined) return [];
  store.leases.get(before.lease)?.keys.delete(key);
  store.entries.delete(key);
  return [{ key, revision, entry: null }];
}

/** Grants a lease of whole seconds. */
export function grantLease(store: Store, ttlS: number, nowMs: number): Lease {
  const id = String(store.nextLeaseId++);
  const lease = { id, ttlS, expiresAtMs: nowMs + ttlS * 1_000, keys: new Set<string>() };
  store.leases.set(id, lease);
  return lease;
}

/** Prolongs a lease; null when it has lapsed. */
export function keepLeaseAlive(store: Store, id: string, nowMs: number): Lease | null {
  const lease = store.leases.get(id);
  if (lease === undefined || lease.expiresAtMs <= nowMs) return null;
  lease.expiresAtMs = nowMs + lease.ttlS * 1_000;
  return lease;
}

/** Ends a lease and removes its keys; null when there is no such lease. */
export function revokeLease(store: Store, id: string): readonly StoredChange[] | null {
  const lease = store.leases.get(id);
  if (lease === undefined) return null;
  const removals = [...lease.keys].map((key) => ({ remove: { key } }));
  const changes = applyWrites(store, removals) ?? [];
  store.leases.delete(id);
  return changes;
}

/** Ends the leases that have lapsed. */
export function expireLeases(store: Store, nowMs: number): readonly StoredChange[] {
  const lapsed = [...store.leases.values()].filter((lease) => lease.expiresAtMs <= nowMs);
  return lapsed.flatMap((lease) => revokeLease(store, lease.id) ?? []);
}

/** Changes of the watched keys since a revision, as far as the history reaches. */
export function changesSince(
  store: Store,
  revision: number,
  watched: (key: string) => boolean,
): readonly StoredChange[] {
  return store.history.filter((change) => change.revision >= revision && watched(change.key));
}
