/** Limits over several entries and shedding by importance. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  createWorkspaceLimits,
  effectivePriorities,
  noteDemand,
  servicesToShed,
  takeDemand,
  takeTokens,
} from '../../../src/index.js';

describe('workspace limits', () => {
  it('hold a workspace to its rate over time', () => {
    const limits = createWorkspaceLimits();
    let taken = 0;
    for (let nowMs = 0; nowMs < 60_000; nowMs += 10) {
      if (takeTokens(limits, 'w', 1000, 100, nowMs) === 0) taken += 100;
    }
    assert.ok(taken >= 60_000 && taken <= 62_100);
  });

  it('let a request through that is larger than the burst, and make the next wait for it', () => {
    const limits = createWorkspaceLimits();
    assert.equal(takeTokens(limits, 'w', 10, 5000, 0), 0);
    assert.ok(takeTokens(limits, 'w', 10, 5000, 1000) > 100_000);
  });

  it('follow the demand between entries, and never give more than the limit in all', () => {
    const [busy, quiet] = [createWorkspaceLimits(), createWorkspaceLimits()];
    for (const limits of [busy, quiet]) noteDemand(limits, 2, new Map(), new Map());
    for (let nowMs = 0; nowMs < 1000; nowMs += 10) takeTokens(busy, 'w', 1000, 90, nowMs);
    takeTokens(quiet, 'w', 1000, 1000, 0);
    const [busyDemand, quietDemand] = [takeDemand(busy), takeDemand(quiet)];
    const total = new Map([['w', (busyDemand.get('w') ?? 0) + (quietDemand.get('w') ?? 0)]]);
    noteDemand(busy, 2, busyDemand, total);
    noteDemand(quiet, 2, quietDemand, total);
    const parts = [busy, quiet].map((limits) => limits.buckets.get('w')?.part ?? 0);
    assert.ok((parts[0] ?? 0) > (parts[1] ?? 0));
    assert.ok(Math.abs((parts[0] ?? 0) + (parts[1] ?? 0) - 1) < 1e-9);
  });
});

describe('shedding', () => {
  const services = [
    { name: 'portal', priority: 5, dependsOn: ['lookup'] },
    { name: 'lookup', priority: 1, dependsOn: [] },
    { name: 'drafts', priority: 2, dependsOn: [] },
  ];

  it('ranks a dependency with the most important service that needs it', () => {
    assert.equal(effectivePriorities(services).get('lookup'), 5);
  });

  it('sheds the least important first and the most important never', () => {
    const priorities = effectivePriorities(services);
    assert.deepEqual([...servicesToShed(priorities, 0.5)], []);
    assert.deepEqual([...servicesToShed(priorities, 1)], ['drafts']);
  });
});
