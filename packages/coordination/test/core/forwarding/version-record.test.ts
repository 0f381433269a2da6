/** The versions that the record of a service lists. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  EnginePhase,
  FleetChangeKind,
  applyChanges,
  applyListing,
  createFleetView,
  createVersionHistory,
  noteRecordedVersions,
  noteVersions,
  versionsInUse,
  wantedVersions,
} from '../../../src/index.js';
import { engine } from '../../fixtures/scheduling.js';

const SERVICE = 's';
const MINUTE_MS = 60_000;
const V1 = { ...engine('e1', EnginePhase.Decode), version: 'v1' };
const V2 = { ...engine('e2', EnginePhase.Decode), version: 'v2' };

describe('the version record', () => {
  it('is written at the first start, and not again while nothing changes', () => {
    const history = createVersionHistory();
    noteVersions(history, [V1], 0);
    assert.deepEqual(wantedVersions(history, undefined, SERVICE, 0), ['v1']);
    noteRecordedVersions(history, SERVICE, ['v1'], 1);
    assert.equal(wantedVersions(history, { versions: ['v1'], revision: 1 }, SERVICE, 1), null);
  });

  it('gets a version that appears, and loses one that was not seen for two minutes', () => {
    const history = createVersionHistory();
    noteVersions(history, [V1, V2], 0);
    const record = { versions: ['v1'], revision: 1 };
    assert.deepEqual(wantedVersions(history, record, SERVICE, 0), ['v1', 'v2']);
    const both = { versions: ['v1', 'v2'], revision: 2 };
    noteRecordedVersions(history, SERVICE, both.versions, 0);
    noteVersions(history, [V2], 2 * MINUTE_MS);
    assert.equal(wantedVersions(history, both, SERVICE, 2 * MINUTE_MS), null);
    assert.deepEqual(wantedVersions(history, both, SERVICE, 2 * MINUTE_MS + 1), ['v2']);
  });

  // A gateway that has just started has not seen the version that vanished while all were down.
  it('keeps a version that a gateway knows only from the record', () => {
    const history = createVersionHistory();
    const record = { versions: ['v1', 'v2'], revision: 1 };
    noteVersions(history, [V2], 0);
    noteRecordedVersions(history, SERVICE, record.versions, 0);
    assert.equal(wantedVersions(history, record, SERVICE, MINUTE_MS), null);
    assert.deepEqual(versionsInUse(history, record, SERVICE, MINUTE_MS), ['v1', 'v2']);
  });

  // The engine of a version may come and go between two readings of a gateway.
  it('keeps a version that another gateway added a moment ago', () => {
    const history = createVersionHistory();
    noteVersions(history, [V1], 0);
    noteRecordedVersions(history, SERVICE, ['v1'], 0);
    noteVersions(history, [V1], 10 * MINUTE_MS);
    noteRecordedVersions(history, SERVICE, ['v1', 'v2'], 10 * MINUTE_MS);
    const record = { versions: ['v1', 'v2'], revision: 2 };
    assert.equal(wantedVersions(history, record, SERVICE, 11 * MINUTE_MS), null);
  });

  it('is kept by a service without targets', () => {
    const history = createVersionHistory();
    const record = { versions: ['v1'], revision: 1 };
    assert.equal(wantedVersions(history, record, SERVICE, MINUTE_MS), null);
  });

  // A single-version deployment that is upgraded has no record yet.
  it('counts as empty while there is none', () => {
    const history = createVersionHistory();
    noteVersions(history, [V1], 0);
    assert.deepEqual(versionsInUse(history, undefined, SERVICE, 0), ['v1']);
  });
});

describe("the fleet view's version records", () => {
  const written = { kind: FleetChangeKind.Versions, service: SERVICE, versions: ['v1'] } as const;

  it('are replaced by newer ones only', () => {
    const view = createFleetView();
    applyChanges(view, [{ ...written, revision: 5 }], 5, 0);
    applyChanges(view, [{ ...written, versions: ['v2'], revision: 4 }], 5, 0);
    const removed = { kind: FleetChangeKind.VersionsRemoved, service: SERVICE } as const;
    applyChanges(view, [{ ...removed, revision: 4 }], 5, 0);
    assert.deepEqual(view.versionRecords.get(SERVICE), { versions: ['v1'], revision: 5 });
    applyChanges(view, [{ ...removed, revision: 6 }], 6, 0);
    assert.equal(view.versionRecords.size, 0);
  });

  // A store that came back from an older copy may lack the record; a write conditional on its old
  // revision would never succeed.
  it('are forgotten if a listing lacks them, while read origins stay', () => {
    const view = createFleetView();
    const streams = [['a', 1, 'v1']] as const;
    const origins = { kind: FleetChangeKind.Streams, revision: 6, streams } as const;
    applyChanges(view, [{ ...written, revision: 5 }, origins], 6, 0);
    applyListing(view, [], 7, 0);
    assert.equal(view.versionRecords.size, 0);
    assert.equal(view.storedOrigins.get('a')?.version, 'v1');
  });
});
