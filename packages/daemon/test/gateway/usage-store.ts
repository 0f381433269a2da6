/** A store in memory with leases, for gateways that run on a virtual clock in one process. */
import { type Failure, revisionInEra } from '@cassiamast/coordination';
import type { KeyValueEntry, LeaseStore, TransactionResult } from '@cassiamast/ports';
import { KEY_VALUE_UNREACHABLE } from '@cassiamast/ports';
import { ResultAsync } from 'neverthrow';

const ANSWER_MS = 4;
const NO_ANSWER = { call: 'any', endpoint: 'memory', mayHaveRun: false, detail: 'away' };

interface Item {
  readonly value: string;
  readonly revision: number;
  readonly leaseId: string | undefined;
}

interface Content {
  readonly items: Map<string, Item>;
  readonly leases: Map<string, { ttlMs: number; endsAtMs: number }>;
  revision: number;
}

/** The store and what a test may do to it. */
export interface MemoryStore {
  isAway: boolean;
  /** Returns the port of one gateway, whose calls fail while `isCut` says so. */
  readonly portOf: (isCut: () => boolean) => LeaseStore;
  readonly entries: () => readonly KeyValueEntry[];
  readonly revision: () => number;
  /**
   * Returns a function that brings the store back as it is now, in a new era, with leases that last
   * for their whole time to live, and without a key that was written right after the copy.
   */
  readonly copy: () => (withoutKey?: string) => void;
}

/** Creates an empty store. */
export function createMemoryStore(nowMs: () => number): MemoryStore {
  let content: Content = { items: new Map(), leases: new Map(), revision: 1 };
  let era = 0;
  let lastLease = 0;

  const shown = (revision: number): number => revisionInEra(era, revision);

  function entryOf(key: string): KeyValueEntry | null {
    const item = content.items.get(key);
    if (item === undefined) return null;
    const revision = shown(item.revision);
    return { key, value: item.value, createRevision: revision, modRevision: revision };
  }

  function expire(): void {
    for (const [leaseId, { endsAtMs }] of content.leases) if (endsAtMs < nowMs()) end(leaseId);
  }

  function end(leaseId: string): void {
    content.leases.delete(leaseId);
    for (const [key, item] of content.items) if (item.leaseId === leaseId) remove(key);
  }

  function remove(key: string): void {
    if (content.items.delete(key)) content.revision += 1;
  }

  const transact: (...args: Parameters<LeaseStore['transact']>) => TransactionResult = (
    compares,
    writes,
  ) => {
    const succeeded = compares.every(
      ({ key, modRevision }) => (entryOf(key)?.modRevision ?? 0) === modRevision,
    );
    if (succeeded) content.revision += 1;
    for (const { key, value, leaseId } of succeeded ? writes : []) {
      if (value === null) content.items.delete(key);
      else content.items.set(key, { value, revision: content.revision, leaseId });
    }
    const current = succeeded ? [] : compares.flatMap(({ key }) => entryOf(key) ?? []);
    return { succeeded, revision: shown(content.revision), current };
  };

  function keep(leaseId: string, ttlMs: number): { leaseId: string; ttlMs: number; era: number } {
    if (ttlMs > 0) content.leases.set(leaseId, { ttlMs, endsAtMs: nowMs() + ttlMs });
    return { leaseId, ttlMs, era };
  }

  const store: MemoryStore = {
    isAway: false,
    portOf: (isCut) => {
      /** Answers after a delay, or fails if the store can't be reached when the call is made. */
      function answer<Answer>(run: () => Answer): ResultAsync<Answer, Failure> {
        const ran = new Promise<Answer>((resolve, reject) => {
          setTimeout(() => {
            expire();
            if (store.isAway || isCut()) reject(new Error('away'));
            else resolve(run());
          }, ANSWER_MS);
        });
        return ResultAsync.fromPromise(ran, () => KEY_VALUE_UNREACHABLE.of(NO_ANSWER));
      }
      return {
        get: (key) => answer(() => entryOf(key)),
        transact: (...args) => answer(() => transact(...args)),
        grantLease: (ttlMs) => answer(() => keep(`lease-${String((lastLease += 1))}`, ttlMs)),
        keepLeaseAlive: (id) => answer(() => keep(id, content.leases.get(id)?.ttlMs ?? 0)),
        revokeLease: (leaseId) => answer(() => (end(leaseId), null)),
      };
    },
    entries: () => {
      expire();
      return [...content.items.keys()].flatMap((key) => entryOf(key) ?? []);
    },
    revision: () => shown(content.revision),
    copy: () => {
      const { items, leases, revision } = content;
      const kept = { items: new Map(items), leases: new Map(leases), revision };
      return (withoutKey = '') => {
        content = kept;
        kept.items.delete(withoutKey);
        for (const [leaseId, { ttlMs }] of kept.leases) keep(leaseId, ttlMs);
        era += 1;
      };
    },
  };
  return store;
}
