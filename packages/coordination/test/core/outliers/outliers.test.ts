/** Outlier ejection: dead and slow targets, and its bounds. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  createOutliers,
  DEFAULT_OUTLIER_OPTIONS,
  EventKind,
  excludedTargets,
  noteAnswer,
  noteOutlierTargets,
  noteTargetFailure,
  seededRandom,
} from '../../../src/index.js';
import type { Outliers } from '../../../src/index.js';

const NAMES = ['a', 'b', 'c', 'd', 'e', 'f'];

function fleet(): Outliers {
  const outliers = createOutliers({ ...DEFAULT_OUTLIER_OPTIONS, service: 's' });
  noteOutlierTargets(outliers, NAMES);
  return outliers;
}

function failUntilOut(outliers: Outliers, target: string): void {
  for (let count = 0; count < 5; count += 1) noteTargetFailure(outliers, target, 0);
}

describe('outliers', () => {
  describe('a dead target', () => {
    it('is out after five failures in a row, then on probation, then back', () => {
      const outliers = fleet();
      failUntilOut(outliers, 'a');
      assert.deepEqual([...excludedTargets(outliers, 100, () => 0)], ['a']);
      assert.deepEqual([...excludedTargets(outliers, 5001, () => 0)], []);
      assert.deepEqual([...excludedTargets(outliers, 5001, () => 0.5)], ['a']);
      const events = Array.from({ length: 5 }, () => noteAnswer(outliers, 'a', 1, 5001)).flat();
      assert.equal(events[0]?.kind, EventKind.TargetReadmitted);
      assert.deepEqual([...excludedTargets(outliers, 5002, () => 0.5)], []);
    });

    it('is out for twice as long when it fails on probation', () => {
      const outliers = fleet();
      failUntilOut(outliers, 'a');
      noteTargetFailure(outliers, 'a', 5001);
      assert.equal(excludedTargets(outliers, 15_000, () => 0).has('a'), true);
    });
  });

  describe('an ejected target', () => {
    // The answers to requests that ran when it was ejected come in a bunch. Counted as probation,
    // they would bring the target back at once with its full share.
    it('is not readmitted by answers to old requests', () => {
      const outliers = fleet();
      failUntilOut(outliers, 'a');
      for (let count = 0; count < 9; count += 1) noteAnswer(outliers, 'a', 1, 100);
      assert.equal(excludedTargets(outliers, 200, () => 0).has('a'), true);
      assert.equal(excludedTargets(outliers, 5001, () => 0.5).has('a'), true);
    });
  });

  describe('a slow target', () => {
    it('is out when it is far slower than the middle one', () => {
      const outliers = fleet();
      for (let count = 0; count < 25; count += 1) {
        for (const name of NAMES) noteAnswer(outliers, name, name === 'b' ? 5 : 1, 0);
      }
      assert.deepEqual([...excludedTargets(outliers, 1, seededRandom(1))], ['b']);
    });

    it('stays when all are slow alike', () => {
      const outliers = fleet();
      for (let count = 0; count < 25; count += 1) {
        for (const name of NAMES) noteAnswer(outliers, name, 5, 0);
      }
      assert.equal(excludedTargets(outliers, 1, () => 0).size, 0);
    });
  });

  describe('a fault of our own', () => {
    // This entry is cut off from everything: each target seems to fail. Were all ejected, the
    // service would be down for seconds after the cut is over.
    it('ejects no more than a third of the targets', () => {
      const outliers = fleet();
      for (const name of NAMES) failUntilOut(outliers, name);
      assert.equal(excludedTargets(outliers, 1, () => 0).size, 2);
    });
  });

  it('forgets targets that left', () => {
    const outliers = fleet();
    failUntilOut(outliers, 'a');
    noteOutlierTargets(outliers, ['b']);
    assert.equal(outliers.targets.size, 1);
    assert.equal(excludedTargets(outliers, 1, () => 0).size, 0);
  });
});
