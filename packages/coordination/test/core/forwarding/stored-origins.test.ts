/** Origins of streams in the store, the turns of a request, and the assignments of the last seconds. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  type AssignmentLog,
  MAX_STORED_ORIGINS,
  type StoredOrigins,
  createTurnVersions,
  isVersionChange,
  latestOrigin,
  logAssignment,
  mayRunAt,
  noteStoredOrigins,
  openVersion,
  recentAssignments,
  storedOriginOf,
} from '../../../src/index.js';

const SECOND_MS = 1000;
const MINUTE_MS = 60_000;

describe('a stored origin', () => {
  // A turn that failed is followed by one at another version, and batches may be read in any order.
  it('is that of the highest turn, in whatever order origins are read', () => {
    for (const order of [
      [1, 2],
      [2, 1],
    ]) {
      const origins: StoredOrigins = new Map();
      for (const turn of order) noteStoredOrigins(origins, [['a', turn, `v${String(turn)}`]], 0);
      assert.deepEqual(storedOriginOf(origins, 'a', 0), { turn: 2, version: 'v2' });
    }
  });

  // Two schedulers may have assigned one turn, and either engine may have begun the stream.
  it('is unknown if the origins of its highest turn contradict each other', () => {
    const origins: StoredOrigins = new Map();
    noteStoredOrigins(origins, [['a', 1, 'v1']], 0);
    noteStoredOrigins(origins, [['a', 1, 'v2']], 0);
    noteStoredOrigins(origins, [['a', 1, 'v1']], 0);
    assert.equal(storedOriginOf(origins, 'a', 0)?.version, null);
    noteStoredOrigins(origins, [['a', 2, 'v2']], 0);
    assert.equal(storedOriginOf(origins, 'a', 0)?.version, 'v2');
  });

  it('is kept for a minute after it was read', () => {
    const origins: StoredOrigins = new Map();
    noteStoredOrigins(origins, [['a', 1, 'v1']], 0);
    assert.equal(storedOriginOf(origins, 'a', MINUTE_MS)?.version, 'v1');
    assert.equal(storedOriginOf(origins, 'a', MINUTE_MS + 1), null);
    noteStoredOrigins(origins, [['b', 1, 'v1']], MINUTE_MS + 1);
    assert.deepEqual([...origins.keys()], ['b']);
  });

  it('is dropped, the oldest first, when there are too many', () => {
    const origins: StoredOrigins = new Map();
    for (let stream = 0; stream <= MAX_STORED_ORIGINS; stream += 1) {
      noteStoredOrigins(origins, [[String(stream), 1, 'v1']], 0);
    }
    assert.equal(origins.size, MAX_STORED_ORIGINS);
    assert.equal(storedOriginOf(origins, '0', 0), null);
    assert.notEqual(storedOriginOf(origins, '1', 0), null);
  });

  it('is not found among none', () => {
    assert.equal(latestOrigin([]), null);
  });
});

describe('the turns of a request', () => {
  // The origin of the earlier turn may be stored, and the stream would be resumed at its version.
  it('change their version if another one was, or may have been, assigned', () => {
    const turns = createTurnVersions();
    turns.assigned.add('v1');
    assert.equal(isVersionChange(turns, 'v1'), false);
    assert.equal(isVersionChange(turns, 'v2'), true);
    turns.assigned.add(null);
    assert.equal(isVersionChange(turns, 'v1'), true);
  });

  it('keep to the version of those that may be running', () => {
    const turns = createTurnVersions();
    assert.equal(openVersion(turns), null);
    assert.equal(mayRunAt(turns, 'v2'), true);
    turns.open.set('a/1', 'v1');
    assert.equal(openVersion(turns), 'v1');
    assert.equal(mayRunAt(turns, 'v1'), true);
    assert.equal(mayRunAt(turns, 'v2'), false);
    turns.open.delete('a/1');
    assert.equal(mayRunAt(turns, 'v2'), true);
  });
});

describe('the log of assignments', () => {
  it('has those of a service in the last 15 s', () => {
    const log: AssignmentLog = new Map();
    logAssignment(log, 's', ['a', 1, 'v1'], 0);
    logAssignment(log, 's', ['b', 1, 'v1'], 10 * SECOND_MS);
    logAssignment(log, 'other', ['c', 1, 'v1'], 10 * SECOND_MS);
    assert.deepEqual(recentAssignments(log, 's', 20 * SECOND_MS), [['b', 1, 'v1']]);
  });

  it('is bounded', () => {
    const log: AssignmentLog = new Map();
    for (let stream = 0; stream < 30_000; stream += 1) {
      logAssignment(log, 's', [String(stream), 1, 'v1'], 0);
    }
    assert.equal(log.size, 20_000);
  });
});
