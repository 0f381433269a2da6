/**
 * State of the key-value stand-in: entries under one increasing revision, leases, and a bounded watch
 * history. Performs no I/O; the current time is a parameter.
 */

/** Changes kept for watches that start at a past revision. Older ones are compacted. */
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

/** A change of one key at a revision. */
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

/** A write operation of a transaction. */
export type StoreWrite =
  | { readonly put: { readonly key: string; readonly value: string; readonly lease: string } }
  | { readonly remove: { readonly key: string } };

/** State of the service. */
export interface Store {
  revision: number;
  readonly entries: Map<string, StoredEntry>;
  readonly leases: Map<string, Lease>;
  readonly history: StoredChange[];
  nextLeaseId: number;
}

/** Creates an empty store. The first write gets revision 2, as in etcd. */
export function createStore(): Store {
  return {
    revision: 1,
    entries: new Map(),
    leases: new Map(),
    history: [],
    nextLeaseId: 7_000_001,
  };
}

/** Returns the entries from `key` to `end` (exclusive), or the entry of `key` if `end` is null. */
export function readRange(store: Store, key: string, end: string | null, limit: number) {
  if (end === null) {
    const entry = store.entries.get(key);
    return entry === undefined ? [] : [entry];
  }
  const found = [...store.entries.values()].filter((entry) => entry.key >= key && entry.key < end);
  found.sort((a, b) => (a.key < b.key ? -1 : 1));
  return limit > 0 ? found.slice(0, limit) : found;
}

/** Applies writes under one new revision and returns the changes, or null for an unknown lease. */
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

/** Grants a lease of `ttlS` seconds. */
export function grantLease(store: Store, ttlS: number, nowMs: number): Lease {
  const id = String(store.nextLeaseId++);
  const lease = { id, ttlS, expiresAtMs: nowMs + ttlS * 1_000, keys: new Set<string>() };
  store.leases.set(id, lease);
  return lease;
}

/** Extends a lease. Returns null if it has expired. */
export function keepLeaseAlive(store: Store, id: string, nowMs: number): Lease | null {
  const lease = store.leases.get(id);
  if (lease === undefined || lease.expiresAtMs <= nowMs) return null;
  lease.expiresAtMs = nowMs + lease.ttlS * 1_000;
  return lease;
}

/** Revokes a lease and removes its keys. Returns null if there is no such lease. */
export function revokeLease(store: Store, id: string): readonly StoredChange[] | null {
  const lease = store.leases.get(id);
  if (lease === undefined) return null;
  const removals = [...lease.keys].map((key) => ({ remove: { key } }));
  const changes = applyWrites(store, removals) ?? [];
  store.leases.delete(id);
  return changes;
}

/** Revokes the expired leases and returns the changes. */
export function expireLeases(store: Store, nowMs: number): readonly StoredChange[] {
  const expired = [...store.leases.values()].filter((lease) => lease.expiresAtMs <= nowMs);
  return expired.flatMap((lease) => revokeLease(store, lease.id) ?? []);
}

/** Returns the changes of the watched keys since a revision that are still in the watch history. */
export function changesSince(
  store: Store,
  revision: number,
  watched: (key: string) => boolean,
): readonly StoredChange[] {
  return store.history.filter((change) => change.revision >= revision && watched(change.key));
}
