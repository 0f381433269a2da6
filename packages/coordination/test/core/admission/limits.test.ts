/** Tests of workspace rate limits over several entries, and of load shedding by priority. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  createWorkspaceLimits,
  effectivePriorities,
  updateLimitShares,
  servicesToShed,
  drainDemand,
  takeTokens,
} from '../../../src/index.js';

describe('workspace limits', () => {
  it('limit a workspace to its rate over time', () => {
    const limits = createWorkspaceLimits();
    let takenTokens = 0;
    for (let nowMs = 0; nowMs < 60_000; nowMs += 10) {
      if (takeTokens(limits, 'w', 1000, 100, nowMs) === 0) takenTokens += 100;
    }
    assert.ok(takenTokens >= 60_000 && takenTokens <= 62_100);
  });

  it('admit a request larger than the burst and delay the next one accordingly', () => {
    const limits = createWorkspaceLimits();
    assert.equal(takeTokens(limits, 'w', 10, 5000, 0), 0);
    assert.ok(takeTokens(limits, 'w', 10, 5000, 1000) > 100_000);
  });

  it('follow the demand at each entry without exceeding the limit in total', () => {
    const [busy, quiet] = [createWorkspaceLimits(), createWorkspaceLimits()];
    for (const limits of [busy, quiet]) updateLimitShares(limits, 2, new Map(), new Map());
    for (let nowMs = 0; nowMs < 1000; nowMs += 10) takeTokens(busy, 'w', 1000, 90, nowMs);
    takeTokens(quiet, 'w', 1000, 1000, 0);
    const [busyDemand, quietDemand] = [drainDemand(busy), drainDemand(quiet)];
    const total = new Map([['w', (busyDemand.get('w') ?? 0) + (quietDemand.get('w') ?? 0)]]);
    updateLimitShares(busy, 2, busyDemand, total);
    updateLimitShares(quiet, 2, quietDemand, total);
    const shares = [busy, quiet].map((limits) => limits.buckets.get('w')?.limitShare ?? 0);
    assert.ok((shares[0] ?? 0) > (shares[1] ?? 0));
    assert.ok(Math.abs((shares[0] ?? 0) + (shares[1] ?? 0) - 1) < 1e-9);
  });
});

describe('shedding', () => {
  const services = [
    { name: 'portal', priority: 5, dependsOn: ['lookup'] },
    { name: 'lookup', priority: 1, dependsOn: [] },
    { name: 'drafts', priority: 2, dependsOn: [] },
  ];

  it('ranks a dependency as high as the most important service that needs it', () => {
    assert.equal(effectivePriorities(services).get('lookup'), 5);
  });

  it('sheds the least important service first and the most important one never', () => {
    const priorities = effectivePriorities(services);
    assert.deepEqual([...servicesToShed(priorities, 0.5)], []);
    assert.deepEqual([...servicesToShed(priorities, 1)], ['drafts']);
  });
});
