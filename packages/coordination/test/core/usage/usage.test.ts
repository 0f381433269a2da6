/** Counts of requests by windows of true time, and what the gateway that reports makes of them. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import * as fc from 'fast-check';
import {
  certainDifferenceMs,
  createTrueTime,
  createUsageCollection,
  createUsageLedger,
  createUsageReadings,
  forgetUsageBefore,
  isAcknowledged,
  isSilent,
  median,
  recordReading,
  recordUsage,
  recordUse,
  retainReadings,
  totalUsage,
  trueTimeMs,
  unreadGateways,
  usageCandidates,
  usageSince,
} from '../../../src/index.js';

const WINDOW_MS = 5000;
const SEED = { seed: 3 };

describe('the usage of a gateway', () => {
  it('is counted in the window of its time', () => {
    const ledger = createUsageLedger(WINDOW_MS);
    for (const atMs of [4999, 5000, 9999, 10_000]) recordUse(ledger, 'a', atMs);
    assert.deepEqual(usageSince(ledger, 1), [
      { window: 1, counts: { a: 2 } },
      { window: 2, counts: { a: 1 } },
    ]);
  });

  it('takes a bounded memory', () => {
    const ledger = createUsageLedger(WINDOW_MS);
    for (let window = 0; window < 1000; window += 1) recordUse(ledger, 'a', window * WINDOW_MS);
    assert.ok(ledger.windows.size < 20);
    assert.equal(usageSince(ledger, 999).length, 1);
  });
});

describe('the usage of the fleet', () => {
  // Readings are repeated, and answers overtake each other.
  it('is the sum over all processes, in whatever order their answers come', () => {
    const reading = fc.record({ source: fc.nat(3), uses: fc.nat(20) });
    fc.assert(
      fc.property(fc.array(reading), (readings) => {
        const collection = createUsageCollection();
        const most = new Map<number, number>();
        for (const { source, uses } of readings) {
          recordUsage(collection, String(source), [{ window: 7, counts: { a: uses } }]);
          most.set(source, Math.max(most.get(source) ?? 0, uses));
        }
        const expected = [...most.values()].reduce((sum, uses) => sum + uses, 0);
        assert.equal(totalUsage(collection, 7)['a'] ?? 0, expected);
      }),
      SEED,
    );
  });

  it('forgets windows that are reported', () => {
    const collection = createUsageCollection();
    recordUsage(collection, 's', [{ window: 1, counts: { a: 1 } }]);
    forgetUsageBefore(collection, 2);
    assert.deepEqual(totalUsage(collection, 1), {});
  });
});

describe('the true time', () => {
  it('does not jump with the clock of the process', () => {
    const time = createTrueTime(1_000_000, 0);
    assert.equal(trueTimeMs(time, 500), 1_000_500);
  });

  // Calls that an overloaded process held up shifted whole windows.
  it('does not follow a difference that the time of the call explains', () => {
    const call = { sentAtMs: 1000, answeredAtMs: 1500 };
    for (const shownMs of [1000, 1250, 1500]) {
      assert.equal(certainDifferenceMs({ ...call, shownMs }), 0);
    }
  });

  it('follows a clock as far as it lies before or after the whole call', () => {
    const call = { sentAtMs: 1000, answeredAtMs: 1500 };
    assert.equal(certainDifferenceMs({ ...call, shownMs: 3500 }), 2000);
    assert.equal(certainDifferenceMs({ ...call, shownMs: 0 }), -1000);
  });

  it('is that of most clocks', () => {
    assert.equal(median([3, -2000, 1, 2000, 2]), 2);
    assert.equal(median([1, 2]), 1.5);
    assert.equal(median([]), 0);
  });
});

describe('the gateways that were asked for their usage', () => {
  // A slow failure of an earlier question made a gateway that had answered since count as silent.
  it('are silent only if their last question failed', () => {
    const readings = createUsageReadings();
    recordReading(readings, 'b', 2000, true);
    recordReading(readings, 'b', 1500, false);
    recordReading(readings, 'c', 1500, true);
    recordReading(readings, 'c', 2000, false);
    assert.deepEqual(
      ['a', 'b', 'c'].map((id) => isSilent(readings, id)),
      [false, false, true],
    );
    assert.deepEqual(unreadGateways(readings, ['a', 'b', 'c'], 2000), ['a', 'c']);
  });

  it('are forgotten when they are gone for long', () => {
    const readings = createUsageReadings();
    for (let id = 0; id < 1000; id += 1) recordReading(readings, String(id), id, id % 2 === 0);
    retainReadings(readings, new Set(['1', '2']));
    assert.deepEqual([readings.answeredAtMs.size, readings.failedAtMs.size], [1, 1]);
  });
});

describe('fixed counts', () => {
  const known = (others: string[], acknowledged: string[], silent: string[] = []): boolean =>
    isAcknowledged(others, new Set(acknowledged), (id) => silent.includes(id));

  it('are acknowledged by all that can be reached', () => {
    assert.equal(known(['b', 'c', 'd'], ['b', 'c', 'd']), true);
    assert.equal(known(['b', 'c', 'd'], ['b', 'c']), false);
    assert.equal(known(['b', 'c', 'd'], ['b', 'c'], ['d']), true);
  });

  // The next holder might be on the side of those that do not know them.
  it('are not acknowledged by half of the fleet, nor by nobody', () => {
    assert.equal(known(['b', 'c', 'd'], ['b'], ['c', 'd']), false);
    assert.equal(known(['b'], [], ['b']), false);
    assert.equal(known([], []), false);
  });
});

describe('the candidates of the usage duty', () => {
  const gateway = (id: string, announcedAtRevision: number, coreShare = 1) => {
    return { id, failureDomain: 'a', coreShare, announcedAtRevision };
  };

  // A killed holder stays the one announced longest until its announcement has lapsed.
  it('are the two that were announced longest, without small ones', () => {
    const fleet = [gateway('a', 4), gateway('b', 2), gateway('c', 1, 0.25), gateway('d', 3)];
    assert.deepEqual(usageCandidates(fleet), ['b', 'd']);
    assert.deepEqual(usageCandidates([gateway('a', 4)]), ['a']);
    assert.deepEqual(usageCandidates([]), []);
  });
});
