/**
 * Fixes the counts of a window in the store before they are reported, under the lease of the gateway
 * that fixes them, so that whoever repeats a report sends the very same counts.
 */
import {
  type FleetView,
  type UsageCounts,
  fixedUsageKey,
  isSameUsage,
  rememberFixedUsage,
} from '@cassiamast/coordination';
import { type KeyValueEntry, type LeaseStore, parseJsonObject } from '@cassiamast/ports';

/** Reports that are kept in the store, for a successor that repeats them. */
const KEPT_REPORTS = 6;

/** How an attempt to fix the counts of a window ended. */
export enum FixingOutcome {
  /** The store has the counts since now. */
  Fixed = 'fixed',
  /** The store had them, written under the same lease by a call whose answer was lost. */
  FixedByLostCall = 'fixed-by-lost-call',
  /** The store had them from an earlier lease, so all gateways have read them. */
  FixedEarlier = 'fixed-earlier',
  /** The store has other counts than this gateway knows, which may have been reported. */
  Contradicted = 'contradicted',
  /** The store has none, and may have lost those that were reported. */
  Uncertain = 'uncertain',
  /** The store did not answer, or the lease is gone. */
  NotFixed = 'not-fixed',
}

/** The result of an attempt. */
export type Fixing =
  | {
      readonly outcome:
        FixingOutcome.Fixed | FixingOutcome.FixedByLostCall | FixingOutcome.FixedEarlier;
      readonly counts: UsageCounts;
    }
  | { readonly outcome: FixingOutcome.Contradicted }
  | { readonly outcome: FixingOutcome.Uncertain }
  | { readonly outcome: FixingOutcome.NotFixed; readonly cause: string };

/** Dependencies of the fixing. */
export interface UsageFixingOptions {
  readonly store: Pick<LeaseStore, 'get' | 'transact'>;
  readonly leaseKey: string;
  readonly view: Pick<FleetView, 'fixedUsage'>;
  readonly total: (window: number) => UsageCounts;
  /** Returns whether a window was not reported if neither the store nor this gateway has counts. */
  readonly isUnreported: (window: number) => boolean;
}

/** Returns a function that fixes a window's counts under the lease with a fencing token. */
export function createUsageFixing({
  store,
  leaseKey,
  view: { fixedUsage },
  total,
  isUnreported,
}: UsageFixingOptions): (window: number, fence: number) => Promise<Fixing> {
  function readStored(window: number, fence: number, entry: KeyValueEntry): Fixing {
    const counts = parseJsonObject(entry.value) as UsageCounts | null;
    if (counts === null) return { outcome: FixingOutcome.NotFixed, cause: 'stored counts invalid' };
    if (!isSameUsage(fixedUsage.get(window) ?? counts, counts)) {
      return { outcome: FixingOutcome.Contradicted };
    }
    rememberFixedUsage(fixedUsage, window, counts);
    const isOwn = entry.modRevision > fence;
    return { outcome: isOwn ? FixingOutcome.FixedByLostCall : FixingOutcome.FixedEarlier, counts };
  }

  /** Resolves with the counts that the store has, without writing any. */
  async function findStored(window: number, fence: number): Promise<Fixing> {
    const found = await store.get(fixedUsageKey(window));
    if (found.isErr()) return { outcome: FixingOutcome.NotFixed, cause: found.error.message };
    if (found.value === null) return { outcome: FixingOutcome.Uncertain };
    return readStored(window, fence, found.value);
  }

  return async (window, fence) => {
    const key = fixedUsageKey(window);
    if (!fixedUsage.has(window) && !isUnreported(window)) return findStored(window, fence);
    // A store that came back from an older copy may lack counts that were reported already.
    const counts = fixedUsage.get(window) ?? total(window);
    const written = await store.transact(
      [
        { key, modRevision: 0 },
        { key: leaseKey, modRevision: fence },
      ],
      [
        { key, value: JSON.stringify(counts) },
        { key: fixedUsageKey(window - KEPT_REPORTS), value: null },
      ],
    );
    if (written.isErr()) return { outcome: FixingOutcome.NotFixed, cause: written.error.message };
    if (written.value.succeeded) {
      rememberFixedUsage(fixedUsage, window, counts);
      return { outcome: FixingOutcome.Fixed, counts };
    }
    const entry = written.value.current.find((each) => each.key === key);
    if (entry !== undefined) return readStored(window, fence, entry);
    return { outcome: FixingOutcome.NotFixed, cause: 'the lease is gone' };
  };
}
