/**
 * Keeps the record in the store of how far its fixed counts are complete. After the store has come
 * back from an older copy, gateways write the counts again that it has lost, and a new record.
 */
import {
  type FixedUsage,
  REPORT_HISTORY_KEY,
  type Random,
  decodeReportHistory,
  encodeReportHistory,
  eraOf,
  fixedUsageKey,
} from '@cassiamast/coordination';
import { type KeyValueEntry, type LeaseStore, parseJsonObject } from '@cassiamast/ports';
import type { GatewayLog } from './gateway-log.js';
import type { UsageEvidenceCollector } from './usage-evidence.js';

/** Gateways write again at different moments within this time, as only the first one has to. */
const REWRITE_SPREAD_MS = 1000;
const RETRY_PAUSE_MS = 500;
/** After these the record is left to the gateway that reports next. */
const MAX_ATTEMPTS = 20;

/** Dependencies of the history. */
export interface UsageHistoryOptions {
  readonly store: Pick<LeaseStore, 'get' | 'transact'>;
  readonly fixedUsage: FixedUsage;
  readonly evidence: UsageEvidenceCollector;
  /** Returns the window at a time of the monotonic clock. */
  readonly windowAt: (atMs: number) => number;
  /** Returns the first window whose report may still be asked for. */
  readonly firstOpenWindow: () => number;
  /** Whether the estimate of the true time was compared with that of other gateways. */
  readonly isTimeKnown: () => boolean;
  readonly random: Random;
  readonly sleep: (forMs: number) => Promise<unknown>;
  readonly log: GatewayLog;
}

/** The history. */
export interface UsageHistory {
  /** Reads the record, and writes it if the store has none of this era. */
  readonly read: () => Promise<void>;
  /** Writes again what the store has lost; must be called when it came back from an older copy. */
  readonly restore: () => Promise<void>;
  /** Ends attempts that are under way. */
  readonly stop: () => void;
}

/** Creates the history. */
export function createUsageHistory(options: UsageHistoryOptions): UsageHistory {
  const { store, fixedUsage, evidence, sleep, log } = options;
  let isStopped = false;

  /** Returns the first window of which, and of all later ones, this gateway knows what was fixed. */
  function sinceWindow(): number {
    const heldSinceMs = evidence.heldSinceMs() ?? Infinity;
    const knownSinceMs = Math.min(evidence.completeSinceMs(), heldSinceMs);
    return Math.max(options.windowAt(knownSinceMs), options.firstOpenWindow());
  }

  /** Resolves with the entry of the record, null if there is none; undefined without an answer. */
  async function readEntry(): Promise<KeyValueEntry | null | undefined> {
    const found = await store.get(REPORT_HISTORY_KEY);
    if (found.isErr()) return undefined;
    const entry = found.value;
    if (entry === null) return null;
    const history = decodeReportHistory(parseJsonObject(entry.value), eraOf(entry.modRevision));
    if (history !== null) evidence.noteHistory(history);
    return entry;
  }

  /** Writes the record unless another gateway has written it since. */
  async function writeRecord(entry: KeyValueEntry | null): Promise<void> {
    const history = { completeInEra: evidence.era(), sinceWindow: sinceWindow() };
    const written = await store.transact(
      [{ key: REPORT_HISTORY_KEY, modRevision: entry?.modRevision ?? 0 }],
      [{ key: REPORT_HISTORY_KEY, value: encodeReportHistory(history) }],
    );
    if (!written.isOk() || !written.value.succeeded) return;
    evidence.noteHistory(history);
    log.info('usage history recorded', { ...history });
  }

  /** Writes counts that the store lacks; resolves with whether it has all that this gateway knows. */
  async function writeLostCounts(): Promise<boolean> {
    const first = options.firstOpenWindow();
    for (const [window, counts] of [...fixedUsage]) {
      if (window < first) continue;
      const key = fixedUsageKey(window);
      const written = await store.transact(
        [{ key, modRevision: 0 }],
        [{ key, value: JSON.stringify(counts) }],
      );
      if (written.isErr()) return false;
      if (written.value.succeeded) log.info('usage fixed again', { window, era: evidence.era() });
    }
    return true;
  }

  /** Returns whether the record in the store says as much as this gateway knows. */
  function isComplete(): boolean {
    const recorded = evidence.recordedSinceWindow();
    if (recorded === null) return false;
    return evidence.heldSinceMs() === null || recorded <= sinceWindow();
  }

  /** Makes one attempt; resolves with whether nothing is left to do. */
  async function establish(): Promise<boolean> {
    const entry = await readEntry();
    if (entry === undefined) return false;
    if (isComplete()) return true;
    if (!(await writeLostCounts())) return false;
    if (options.isTimeKnown()) await writeRecord(entry);
    return isComplete();
  }

  return {
    read: async () => {
      await establish();
    },
    restore: async () => {
      const era = evidence.era();
      // Who had the lease knows most.
      if (evidence.heldSinceMs() === null) await sleep(options.random() * REWRITE_SPREAD_MS);
      for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
        if (isStopped || evidence.era() !== era || (await establish())) return;
        await sleep(RETRY_PAUSE_MS);
      }
    },
    stop: () => {
      isStopped = true;
    },
  };
}
