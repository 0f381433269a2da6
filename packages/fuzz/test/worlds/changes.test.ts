/** The changes world on fixed seeds: no violation, and every guard is missed when taken away. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { RunReport } from '../../src/kit/runner.js';
import { runWorld } from '../../src/kit/runner.js';
import { CHANGES_MUTANTS, CHANGES_WORLD } from '../../src/worlds/changes/world.js';

function run(mutant: string | null, runs: number): RunReport {
  const options = { seed: 1, runs, commands: 60, mutant, replay: null, shrinks: true };
  return runWorld(CHANGES_WORLD, options, new Map());
}

describe('the changes world', () => {
  describe('with all guards', () => {
    it('breaks no promise', () => {
      const report = run(null, 100);
      assert.equal(report.violation, null, JSON.stringify(report.violation));
      assert.ok(report.steps > 1_000_000);
    });
  });

  /** A fuzzer that finds nothing proves nothing: each of these lacks one guard and must be found. */
  describe('without a guard', () => {
    const promises: Readonly<Record<string, string>> = {
      'floor-ignored': 'floor-is-kept',
      'closes-at-once': 'work-on-its-way-is-taken',
      'work-not-waited-for': 'planned-change-cuts-nothing',
      'slow-down-ignored': 'no-stampede-on-the-store',
    };
    for (const mutant of Object.keys(CHANGES_MUTANTS)) {
      it(`finds ${mutant}`, () => {
        const { violation } = run(mutant, 100);
        assert.ok(violation !== null, 'nothing was found');
        assert.equal(violation.promise, promises[mutant]);
      });
    }
  });
});
