/** The departures world on fixed seeds: no violation, and every guard is missed when taken away. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { RunReport } from '../../src/kit/runner.js';
import { runWorld } from '../../src/kit/runner.js';
import { DEPARTURES_MUTANTS, DEPARTURES_WORLD } from '../../src/worlds/departures/world.js';

function run(mutant: string | null, runs: number): RunReport {
  const options = { seed: 1, runs, commands: 60, mutant, replay: null, shrinks: true };
  return runWorld(DEPARTURES_WORLD, options, new Map());
}

describe('the departures world', () => {
  describe('with all guards', () => {
    it('breaks no promise', () => {
      const report = run(null, 100);
      assert.equal(report.violation, null, JSON.stringify(report.violation));
      assert.ok(report.steps > 100_000);
    });
  });

  // A fuzzer that finds nothing proves nothing: each of these lacks one guard and must be found.
  describe('without a guard', () => {
    const promises: Readonly<Record<string, string>> = {
      'quiet-polls-extend-grace': 'nothing-after-leaving',
      'back-off-from-send': 'heeds-back-off',
      'forgets-with-entry': 'heeds-back-off',
    };
    for (const mutant of Object.keys(DEPARTURES_MUTANTS)) {
      it(`finds ${mutant}`, () => {
        const { violation } = run(mutant, 300);
        assert.ok(violation !== null, 'nothing was found');
        assert.equal(violation.promise, promises[mutant]);
      });
    }
  });
});
