/**
 * Keeps the version record of each service of engines up to date in the platform's store. The gateway
 * that schedules a service writes it, conditional on the revision that it has read.
 */
import {
  type FleetView,
  type Random,
  type VersionHistory,
  putVersionRecord,
  waitAfterFailuresMs,
  wantedVersions,
} from '@cassiamast/coordination';
import type { FleetPort } from '@cassiamast/ports';
import type { GatewayLog } from './gateway-log.js';

const RETRY_BACKOFF = { initialMs: 300, maxMs: 1200 };

/** Dependencies of the recorder. */
export interface VersionRecorderOptions {
  readonly selfId: string;
  readonly fleet: Pick<FleetPort, 'recordVersions'>;
  readonly view: FleetView;
  readonly history: VersionHistory;
  readonly schedulerOf: (service: string) => string;
  readonly random: Random;
  readonly nowMs: () => number;
  readonly log: GatewayLog;
  readonly count: (name: string) => void;
}

/** Writes version records. */
export interface VersionRecorder {
  /** Writes the records that must change; must be called with each change of the view. */
  readonly update: () => void;
}

/** The writes of one service's record. */
interface RecordWrites {
  isWriting: boolean;
  failures: number;
  retryAtMs: number;
}

/** Creates the recorder. */
export function createVersionRecorder(options: VersionRecorderOptions): VersionRecorder {
  const { selfId, fleet, view, history, schedulerOf, random, nowMs, log, count } = options;
  const writes = new Map<string, RecordWrites>();

  async function write(
    service: string,
    versions: readonly string[],
    state: RecordWrites,
  ): Promise<void> {
    state.isWriting = true;
    const before = view.versionRecords.get(service);
    const written = await fleet.recordVersions(service, versions, before?.revision ?? 0);
    state.isWriting = false;
    if (written.isOk() && written.value.succeeded) {
      state.failures = 0;
      const { revision } = written.value;
      putVersionRecord(view.versionRecords, service, { versions, revision });
      log.info('versions recorded', { service, versions, before: before?.versions ?? [] });
      return;
    }
    // After a conflict, the record that another gateway wrote comes with the next reading.
    state.failures += 1;
    state.retryAtMs = nowMs() + waitAfterFailuresMs(state.failures, RETRY_BACKOFF, random);
    if (written.isOk()) return;
    count('version_writes_failed_total');
    if (state.failures === 1) {
      log.warn('versions not recorded', { service, cause: written.error.message });
    }
  }

  function updateService(service: string): void {
    const state = writes.get(service) ?? { isWriting: false, failures: 0, retryAtMs: -Infinity };
    writes.set(service, state);
    if (state.isWriting || nowMs() < state.retryAtMs) return;
    const wanted = wantedVersions(history, view.versionRecords.get(service), service, nowMs());
    if (wanted === null || schedulerOf(service) !== selfId) return;
    void write(service, wanted, state);
  }

  return {
    update: () => {
      for (const { name, engine } of view.table?.servicesByName.values() ?? []) {
        if (engine !== null) updateService(name);
      }
    },
  };
}
