/** The requests world on fixed seeds: the guards hold, and the oracle can fail. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { FaultCounts } from '../src/kit/faults.js';
import type { RunOptions, RunReport } from '../src/kit/runner.js';
import { loadWorlds } from '../src/worlds/catalogue.js';

const RUN: RunOptions = {
  seed: 1,
  runs: 40,
  commands: 60,
  mutant: null,
  replay: null,
  shrinks: false,
};
/** Guards whose loss shows within a few runs. */
const QUICK_MUTANTS = ['proceed-after-one-holder', 'claim-over-others', 'never-convict'];

const worlds = await loadWorlds();

function run(options: Partial<RunOptions>, counts: FaultCounts = new Map()): RunReport {
  const world = worlds.find(({ name }) => name === 'requests');
  if (world === undefined) throw new RangeError('no requests world');
  return world.run({ ...RUN, ...options }, counts);
}

describe('requests world', () => {
  for (const seed of [1, 2, 3]) {
    it(`keeps every promise on seed ${String(seed)}`, () => {
      const counts: FaultCounts = new Map();
      const report = run({ seed }, counts);
      assert.equal(report.violation, null, JSON.stringify(report.violation, null, 2));
      assert.equal(report.runs, RUN.runs);
      assert.ok(counts.size >= 15, `only ${String(counts.size)} kinds of faults`);
    });
  }

  for (const mutant of QUICK_MUTANTS) {
    it(`misses the guard ${mutant}`, () => {
      assert.notEqual(run({ mutant, runs: 100 }).violation, null);
    });
  }

  it('shows a violation again from its replay point', () => {
    const found = run({ mutant: 'claim-over-others', runs: 100 }).violation;
    assert.notEqual(found, null);
    const again = run({ mutant: 'claim-over-others', runs: 1, replay: found?.replay ?? null });
    assert.equal(again.violation?.promise, found?.promise);
  });
});
