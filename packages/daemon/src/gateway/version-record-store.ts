/**
 * Reads and writes the version records in the platform's store, and puts what it learns into the view
 * and the history of this gateway.
 */
import {
  type FleetView,
  type RecordedVersions,
  type VersionHistory,
  type VersionRecord,
  eraOf,
  isCompleteRecord,
  noteRecordedVersions,
  putVersionRecord,
  removeVersionRecord,
} from '@cassiamast/coordination';
import type { FleetPort } from '@cassiamast/ports';
import type { GatewayLog } from './gateway-log.js';
import { shareReads } from './share-reads.js';

/** Dependencies of the access to the records. */
export interface VersionRecordStoreOptions {
  readonly fleet: Pick<FleetPort, 'readVersions' | 'recordVersions'>;
  readonly view: FleetView;
  readonly history: VersionHistory;
  readonly nowMs: () => number;
  readonly log: GatewayLog;
}

/** How a write ended. */
export enum WriteOutcome {
  Written = 'written',
  /** The record has changed since it was read. */
  Conflict = 'conflict',
  Failed = 'failed',
}

/** The end of a write; the cause is empty unless it failed. */
export interface WriteResult {
  readonly outcome: WriteOutcome;
  readonly cause: string;
}

/** Access to the records. */
export interface VersionRecordStore {
  /**
   * Reads the record of a service into the view; resolves with why the store has not answered, or
   * null if it has. Concurrent calls share a read that began after them.
   */
  readonly read: (service: string) => Promise<string | null>;
  /** Writes a record unless it has changed since it was read. */
  readonly write: (service: string, content: RecordedVersions) => Promise<WriteResult>;
}

const CONFLICT: WriteResult = { outcome: WriteOutcome.Conflict, cause: '' };

/** Creates the access to the records. */
export function createVersionRecordStore(options: VersionRecordStoreOptions): VersionRecordStore {
  const { fleet, view, history, nowMs, log } = options;
  const records = view.versionRecords;
  const reads = new Map<string, () => Promise<string | null>>();

  /** Puts a record into the view; returns whether the store may still have it. */
  function adopt(service: string, record: VersionRecord): boolean {
    // The store has come back from an older copy since it answered.
    if (eraOf(record.revision) < eraOf(view.revision)) return false;
    putVersionRecord(records, service, record);
    noteRecordedVersions(history, service, records.get(service) ?? record, nowMs());
    return true;
  }

  async function read(service: string): Promise<string | null> {
    const revisionBefore = records.get(service)?.revision ?? 0;
    const found = await fleet.readVersions(service);
    if (found.isErr()) return found.error.message;
    if (found.value === null) {
      // A record that came with a change of the view meanwhile is newer than this answer.
      removeVersionRecord(records, service, revisionBefore);
      return null;
    }
    return adopt(service, found.value) ? null : 'the answer is from before a restore of the store';
  }

  return {
    read: (service) => {
      const shared = reads.get(service) ?? shareReads(() => read(service));
      reads.set(service, shared);
      return shared();
    },
    write: async (service, content) => {
      const before = records.get(service);
      const written = await fleet.recordVersions(service, content, before?.revision ?? 0);
      if (written.isErr()) return { outcome: WriteOutcome.Failed, cause: written.error.message };
      const { succeeded, revision } = written.value;
      const record = { ...content, revision };
      if (!succeeded || !adopt(service, record)) return CONFLICT;
      log.info('versions recorded', {
        service,
        versions: content.versions,
        before: before?.versions ?? [],
        isComplete: isCompleteRecord(record),
      });
      return { outcome: WriteOutcome.Written, cause: '' };
    },
  };
}
