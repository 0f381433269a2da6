/** The limits world on fixed seeds: no violation, and every guard is missed when taken away. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { RunReport } from '../../src/kit/runner.js';
import { runWorld } from '../../src/kit/runner.js';
import { LIMITS_MUTANTS, LIMITS_WORLD } from '../../src/worlds/limits/world.js';

function run(mutant: string | null, runs: number): RunReport {
  const options = { seed: 1, runs, commands: 60, mutant, replay: null, shrinks: true };
  return runWorld(LIMITS_WORLD, options, new Map());
}

describe('the limits world', () => {
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
      'lends-while-lent': 'shares-add-up-to-one',
      'loans-counted-from-answer': 'shares-add-up-to-one',
    };
    for (const mutant of Object.keys(LIMITS_MUTANTS)) {
      it(`finds ${mutant}`, () => {
        const { violation } = run(mutant, 100);
        assert.ok(violation !== null, 'nothing was found');
        assert.equal(violation.promise, promises[mutant]);
      });
    }
  });
});
