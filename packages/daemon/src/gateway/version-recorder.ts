/**
 * Keeps the version record of each service of engines up to date in the platform's store. The gateway
 * that schedules a service writes it, and others do if it has not. Any gateway adds a version before it
 * sends a stream to an engine of it, so that gateways that start later know all versions of streams.
 */
import {
  type FleetView,
  type Random,
  type RecordedVersions,
  type VersionHistory,
  eraOf,
  isCompleteRecord,
  waitAfterFailuresMs,
  wantedRecord,
} from '@cassiamast/coordination';
import type { FleetPort } from '@cassiamast/ports';
import type { GatewayLog } from './gateway-log.js';
import {
  WriteOutcome,
  type WriteResult,
  createVersionRecordStore,
} from './version-record-store.js';

const RETRY_BACKOFF = { initialMs: 300, maxMs: 1200 };
/** Time limit of an addition; the caller of a stream is waiting. */
const RECORD_TIMEOUT_MS = 400;
/** Gateways that add a version at the same time read again at different moments within this time. */
const CONFLICT_PAUSE_MS = 20;
/** Time for the scheduling gateway to make a change; the store may reject it, or its release is older. */
const TAKE_OVER_AFTER_MS = 1000;
/** The other gateways write at different moments within this time. */
const TAKE_OVER_SPREAD_MS = 1000;

/** Dependencies of the recorder. */
export interface VersionRecorderOptions {
  readonly selfId: string;
  readonly fleet: Pick<FleetPort, 'readVersions' | 'recordVersions'>;
  readonly view: FleetView;
  readonly history: VersionHistory;
  readonly schedulerOf: (service: string) => string;
  /** Returns whether no gateway ran before this one and those that started with it. */
  readonly isFirstStart: () => boolean;
  readonly random: Random;
  readonly nowMs: () => number;
  readonly sleep: (delayMs: number) => Promise<unknown>;
  readonly log: GatewayLog;
  readonly count: (name: string) => void;
}

/** Writes version records. */
export interface VersionRecorder {
  /** Writes the records that must change; must be called with each change of the view. */
  readonly update: () => void;
  /** Returns whether the record, as far as it was read, lists a version. */
  readonly isRecorded: (service: string, version: string) => boolean;
  /**
   * Adds a version to the record at once; resolves with whether the store lists it, within 400 ms.
   * Resolves with false at once while writes of the record fail and the next one is not due.
   */
  readonly record: (service: string, version: string) => Promise<boolean>;
  /**
   * Reads the record as the store has it now; resolves with whether the store has answered.
   * Concurrent calls share a read that began after them.
   */
  readonly read: (service: string) => Promise<boolean>;
  /** Returns whether the last write of the record has failed and it is not repeated yet. */
  readonly isFailing: (service: string) => boolean;
}

/** A change that a record needs. */
interface NeededChange {
  readonly content: string;
  /** From then on this gateway makes the change although it does not schedule the service. */
  readonly takeOverAtMs: number;
}

/** The writes of one service's record. */
interface RecordWrites {
  isUpdating: boolean;
  failures: number;
  conflicts: number;
  retryAtMs: number;
  needed: NeededChange | null;
  /** Additions that are under way, by version. */
  readonly additions: Map<string, Promise<boolean>>;
}

/** Creates the recorder. */
export function createVersionRecorder(options: VersionRecorderOptions): VersionRecorder {
  const { selfId, view, history, schedulerOf, random, nowMs, sleep, log, count } = options;
  const store = createVersionRecordStore(options);
  const writesByService = new Map<string, RecordWrites>();

  function writesOf(service: string): RecordWrites {
    const known = writesByService.get(service);
    if (known !== undefined) return known;
    const writes: RecordWrites = {
      isUpdating: false,
      failures: 0,
      conflicts: 0,
      retryAtMs: -Infinity,
      needed: null,
      additions: new Map(),
    };
    writesByService.set(service, writes);
    return writes;
  }

  function isRecorded(service: string, version: string): boolean {
    return view.versionRecords.get(service)?.versions.includes(version) ?? false;
  }

  function isFailing(service: string): boolean {
    const { failures, retryAtMs } = writesOf(service);
    return failures > 0 && nowMs() < retryAtMs;
  }

  function wantedContent(service: string): RecordedVersions | null {
    const record = view.versionRecords.get(service);
    // A read may have brought a record from a later era than the view.
    const latest = isCompleteRecord(record) ? (record?.revision ?? 0) : view.revision;
    const isFirstStart = options.isFirstStart();
    const context = { nowMs: nowMs(), era: eraOf(latest), isFirstStart };
    return wantedRecord(history, record, service, context);
  }

  function delayRetry(writes: RecordWrites): void {
    const attempts = writes.failures + writes.conflicts;
    writes.retryAtMs = nowMs() + waitAfterFailuresMs(attempts, RETRY_BACKOFF, random);
  }

  function noteFailure(service: string, cause: string): void {
    const writes = writesOf(service);
    writes.failures += 1;
    delayRetry(writes);
    count('version_writes_failed_total');
    if (writes.failures === 1) log.warn('versions not recorded', { service, cause });
  }

  function noteResult(service: string, { outcome, cause }: WriteResult): void {
    if (outcome === WriteOutcome.Failed) {
      noteFailure(service, cause);
      return;
    }
    const writes = writesOf(service);
    writes.failures = 0;
    writes.conflicts = outcome === WriteOutcome.Conflict ? writes.conflicts + 1 : 0;
    // After a conflict, the record that another gateway wrote comes with the next reading.
    if (outcome === WriteOutcome.Conflict) delayRetry(writes);
    else writes.retryAtMs = -Infinity;
  }

  async function write(service: string, content: RecordedVersions): Promise<WriteOutcome> {
    const result = await store.write(service, content);
    noteResult(service, result);
    return result.outcome;
  }

  /** Returns whether this gateway is to make a change now. */
  function isDue(service: string, wanted: RecordedVersions, writes: RecordWrites): boolean {
    const content = JSON.stringify(wanted);
    if (writes.needed?.content !== content) {
      const afterMs = TAKE_OVER_AFTER_MS + random() * TAKE_OVER_SPREAD_MS;
      writes.needed = { content, takeOverAtMs: nowMs() + afterMs };
    }
    return schedulerOf(service) === selfId || nowMs() > writes.needed.takeOverAtMs;
  }

  async function updateService(service: string): Promise<void> {
    const writes = writesOf(service);
    const wanted = wantedContent(service);
    if (wanted === null) {
      writes.needed = null;
      return;
    }
    const isBusy = writes.isUpdating || writes.additions.size > 0;
    if (!isDue(service, wanted, writes) || isBusy || nowMs() < writes.retryAtMs) return;
    writes.isUpdating = true;
    await write(service, wanted);
    writes.isUpdating = false;
  }

  /** Returns what the record is to hold with another version. */
  function contentWith(service: string, version: string): RecordedVersions {
    const record = view.versionRecords.get(service);
    const { versions, completeInEra } = wantedContent(service) ??
      record ?? { versions: [], completeInEra: null };
    return { versions: [...new Set([...versions, version])].sort(), completeInEra };
  }

  async function add(service: string, version: string): Promise<boolean> {
    const endsAtMs = nowMs() + RECORD_TIMEOUT_MS;
    while (nowMs() < endsAtMs) {
      const cause = await store.read(service);
      if (cause !== null) {
        noteFailure(service, cause);
        return false;
      }
      if (isRecorded(service, version)) return true;
      const outcome = await write(service, contentWith(service, version));
      if (outcome !== WriteOutcome.Conflict) return outcome === WriteOutcome.Written;
      await sleep(random() * CONFLICT_PAUSE_MS);
    }
    return false;
  }

  async function addInTime(service: string, version: string): Promise<boolean> {
    const timeout = sleep(RECORD_TIMEOUT_MS).then(() => null);
    const isAdded = await Promise.race([add(service, version), timeout]);
    // Without this failure, each further turn would wait for a slow store as long.
    if (isAdded === null) noteFailure(service, `not within ${String(RECORD_TIMEOUT_MS)} ms`);
    return isAdded ?? false;
  }

  function record(service: string, version: string): Promise<boolean> {
    if (isRecorded(service, version)) return Promise.resolve(true);
    if (isFailing(service)) return Promise.resolve(false);
    const { additions } = writesOf(service);
    const running = additions.get(version);
    if (running !== undefined) return running;
    const addition = addInTime(service, version).finally(() => additions.delete(version));
    additions.set(version, addition);
    return addition;
  }

  return {
    update: () => {
      for (const { name, engine } of view.table?.servicesByName.values() ?? []) {
        if (engine !== null) void updateService(name);
      }
    },
    isRecorded,
    record,
    read: async (service) => (await store.read(service)) === null,
    isFailing,
  };
}
