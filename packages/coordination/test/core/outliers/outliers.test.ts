/** Outlier ejection of failing and slow targets, and its limits. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  createOutliers,
  DEFAULT_OUTLIER_OPTIONS,
  EventKind,
  excludedTargets,
  recordTargetAnswer,
  setOutlierTargets,
  recordTargetFailure,
  seededRandom,
} from '../../../src/index.js';
import type { Outliers } from '../../../src/index.js';

const NAMES = ['a', 'b', 'c', 'd', 'e', 'f'];

function createFleet(): Outliers {
  const outliers = createOutliers({ ...DEFAULT_OUTLIER_OPTIONS, service: 's' });
  setOutlierTargets(outliers, NAMES);
  return outliers;
}

function failUntilEjected(outliers: Outliers, target: string): void {
  for (let count = 0; count < 5; count += 1) recordTargetFailure(outliers, target, 0);
}

describe('outliers', () => {
  describe('a failing target', () => {
    it('is ejected after five consecutive failures, then on probation, then readmitted', () => {
      const outliers = createFleet();
      failUntilEjected(outliers, 'a');
      assert.deepEqual([...excludedTargets(outliers, 100, () => 0)], ['a']);
      assert.deepEqual([...excludedTargets(outliers, 5001, () => 0)], []);
      assert.deepEqual([...excludedTargets(outliers, 5001, () => 0.5)], ['a']);
      const events = Array.from({ length: 5 }, () =>
        recordTargetAnswer(outliers, 'a', 1, 5001),
      ).flat();
      assert.equal(events[0]?.kind, EventKind.TargetReadmitted);
      assert.deepEqual([...excludedTargets(outliers, 5002, () => 0.5)], []);
    });

    it('is ejected for twice as long when it fails on probation', () => {
      const outliers = createFleet();
      failUntilEjected(outliers, 'a');
      recordTargetFailure(outliers, 'a', 5001);
      assert.equal(excludedTargets(outliers, 15_000, () => 0).has('a'), true);
    });
  });

  describe('an ejected target', () => {
    // Answers to requests that were in flight at the ejection arrive together. If they counted
    // towards the probation, the target would be readmitted at once with its full share of
    // requests.
    it('is not readmitted by answers to requests sent before the ejection', () => {
      const outliers = createFleet();
      failUntilEjected(outliers, 'a');
      for (let count = 0; count < 9; count += 1) recordTargetAnswer(outliers, 'a', 1, 100);
      assert.equal(excludedTargets(outliers, 200, () => 0).has('a'), true);
      assert.equal(excludedTargets(outliers, 5001, () => 0.5).has('a'), true);
    });
  });

  describe('a slow target', () => {
    it('is ejected when it is far slower than the median', () => {
      const outliers = createFleet();
      for (let count = 0; count < 25; count += 1) {
        for (const name of NAMES) recordTargetAnswer(outliers, name, name === 'b' ? 5 : 1, 0);
      }
      assert.deepEqual([...excludedTargets(outliers, 1, seededRandom(1))], ['b']);
    });

    it('is not ejected when all targets are equally slow', () => {
      const outliers = createFleet();
      for (let count = 0; count < 25; count += 1) {
        for (const name of NAMES) recordTargetAnswer(outliers, name, 5, 0);
      }
      assert.equal(excludedTargets(outliers, 1, () => 0).size, 0);
    });
  });

  describe('a fault of the entry itself', () => {
    // When this entry is partitioned from the network, all targets seem to fail. If all were
    // ejected, the service would stay unavailable for seconds after the partition heals.
    it('ejects no more than a third of the targets', () => {
      const outliers = createFleet();
      for (const name of NAMES) failUntilEjected(outliers, name);
      assert.equal(excludedTargets(outliers, 1, () => 0).size, 2);
    });
  });

  it('removes targets that left', () => {
    const outliers = createFleet();
    failUntilEjected(outliers, 'a');
    setOutlierTargets(outliers, ['b']);
    assert.equal(outliers.targets.size, 1);
    assert.equal(excludedTargets(outliers, 1, () => 0).size, 0);
  });
});
