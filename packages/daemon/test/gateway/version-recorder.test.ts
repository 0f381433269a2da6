/** Writes of the version record by the gateway that schedules a service. */
import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { setImmediate as nextLoopTurn } from 'node:timers/promises';
import {
  EnginePhase,
  type FleetView,
  type TargetEntry,
  type VersionHistory,
  createFleetView,
  createVersionHistory,
  noteVersions,
  seededRandom,
} from '@cassiamast/coordination';
import { KEY_VALUE_UNREACHABLE } from '@cassiamast/ports';
import { errAsync, okAsync } from 'neverthrow';
import { type VersionRecorder, createVersionRecorder } from '../../src/gateway/version-recorder.js';

const SELF = 'g0';
const SERVICE = 's';
const RETRY_MS = 1200;

describe('the recorder of versions', () => {
  let view: FleetView;
  let history: VersionHistory;
  let recorder: VersionRecorder;
  let writes: { readonly versions: readonly string[]; readonly modRevision: number }[];
  let isAway: boolean;
  let succeeds: boolean;
  let scheduler: string;
  let nowMs: number;

  beforeEach(() => {
    view = createFleetView();
    const services = [
      { name: SERVICE, engine: {} },
      { name: 'plain', engine: null },
    ];
    const servicesByName = new Map(services.map((service) => [service.name, service]));
    view.table = { servicesByName } as never;
    history = createVersionHistory();
    writes = [];
    isAway = false;
    succeeds = true;
    scheduler = SELF;
    nowMs = 0;
    recorder = createVersionRecorder({
      selfId: SELF,
      fleet: {
        recordVersions: (_, versions, modRevision) => {
          writes.push({ versions, modRevision });
          const call = { call: 'write', endpoint: 'store', mayHaveRun: false, detail: 'away' };
          if (isAway) return errAsync(KEY_VALUE_UNREACHABLE.of(call));
          return okAsync({ succeeded: succeeds, revision: 10 + writes.length, current: [] });
        },
      },
      view,
      history,
      schedulerOf: () => scheduler,
      random: seededRandom(1),
      nowMs: () => nowMs,
      log: { info: () => undefined, warn: () => undefined, lifecycle: () => undefined },
      count: () => undefined,
    });
  });

  async function seeAndUpdate(...versions: readonly string[]): Promise<void> {
    const entries = versions.map((version) => ({
      service: SERVICE,
      version,
      phase: EnginePhase.Decode,
    }));
    const plain = { service: 'plain', version: 'v1', phase: null };
    noteVersions(history, [...entries, plain] as TargetEntry[], nowMs);
    recorder.update();
    await nextLoopTurn();
  }

  it('writes once at the first start, and once more for a second version', async () => {
    await seeAndUpdate('v1');
    await seeAndUpdate('v1');
    assert.deepEqual(writes, [{ versions: ['v1'], modRevision: 0 }]);
    await seeAndUpdate('v1', 'v2');
    await seeAndUpdate('v1', 'v2');
    assert.deepEqual(writes.slice(1), [{ versions: ['v1', 'v2'], modRevision: 11 }]);
  });

  // Each gateway would otherwise write, and each write reaches all of them.
  it('writes nothing on a gateway that does not schedule', async () => {
    scheduler = 'g1';
    await seeAndUpdate('v1');
    assert.deepEqual(writes, []);
  });

  it('tries again later if the store does not answer, or another gateway was first', async () => {
    isAway = true;
    await seeAndUpdate('v1');
    await seeAndUpdate('v1');
    assert.equal(writes.length, 1);
    isAway = false;
    succeeds = false;
    nowMs += RETRY_MS;
    await seeAndUpdate('v1');
    assert.equal(writes.length, 2);
    assert.equal(view.versionRecords.size, 0);
    succeeds = true;
    nowMs += RETRY_MS;
    await seeAndUpdate('v1');
    assert.deepEqual(view.versionRecords.get(SERVICE)?.versions, ['v1']);
  });
});
