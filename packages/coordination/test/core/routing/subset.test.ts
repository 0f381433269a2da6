/** Tests that subsets of a large fleet are balanced over failure domains and stable. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { chooseSubset, rankHighest } from '../../../src/core/routing/subset.js';
import { testHash32 } from '../../fixtures/routing-fixtures.js';

const DOMAINS = 7;

function fleetOf(size: number): { index: number; failureDomain: string; nameHash: number }[] {
  return Array.from({ length: size }, (_, index) => ({
    index,
    failureDomain: `d${String(index % DOMAINS)}`,
    nameHash: testHash32(`target-${String(index)}`),
  }));
}

describe('subset of targets', () => {
  it('has the requested size and nearly equal numbers from each failure domain', () => {
    fc.assert(
      fc.property(fc.integer({ min: 49, max: 730 }), fc.string(), (size, entry) => {
        const subset = chooseSubset(fleetOf(size), entry, 48, testHash32);
        assert.equal(new Set(subset).size, 48);
        const counts = new Map<string, number>();
        for (const { failureDomain } of subset) {
          counts.set(failureDomain, (counts.get(failureDomain) ?? 0) + 1);
        }
        assert.ok(Math.max(...counts.values()) - Math.min(...counts.values()) <= 1);
      }),
      { seed: 3, numRuns: 50 },
    );
  });

  it('changes by at most one target per target that leaves', () => {
    const fleet = fleetOf(730);
    const before = new Set(
      chooseSubset(fleet, 'entry', 48, testHash32).map((target) => target.index),
    );
    const after = chooseSubset(fleet.slice(1), 'entry', 48, testHash32);
    const addedTargets = after.filter((target) => !before.has(target.index));
    assert.ok(addedTargets.length <= 1);
  });

  it('ranks the same home targets for a key in any order of targets', () => {
    const fleet = fleetOf(100);
    const homes = rankHighest(fleet, 42, 2).map((target) => target.index);
    const reversedHomes = rankHighest([...fleet].reverse(), 42, 2).map((target) => target.index);
    assert.deepEqual(homes, reversedHomes);
  });
});
