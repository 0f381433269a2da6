/** Which gateways the counts of a window wait for. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createUsageReadings, recordReading } from '@cassiamast/coordination';
import type { UsageCollector } from '../../src/gateway/usage-collector.js';
import { createUsageRounds } from '../../src/gateway/usage-rounds.js';

const NOW_MS = 2000;

describe('the counts of a window', () => {
  const readings = createUsageReadings();
  const rounds = createUsageRounds({
    view: { gateways: new Map() },
    recent: { others: () => ['b'] },
    collector: { readings } as unknown as UsageCollector,
    nowMs: () => NOW_MS,
    fence: () => 1,
    openWindows: () => [0],
    endMs: () => 0,
    currentWindow: () => 1,
    guards: { waitsForPredecessor: true },
  });

  // No gateway is announced after an outage of the store, and one that is slow was left out.
  it('wait for a gateway that is not announced until it gives no answer', () => {
    assert.deepEqual([rounds.missing(0), rounds.isCounted(0)], [['b'], false]);
    recordReading(readings, 'b', NOW_MS, false);
    assert.deepEqual([rounds.missing(0), rounds.isCounted(0)], [[], true]);
  });
});
