/** The policy benchmark itself: its figures repeat, its bound is one, and ours stays within bounds. */
import assert from 'node:assert/strict';
import { before, describe, it } from 'node:test';
import { createHashing } from '@cassiamast/coordination';
import type { Hash32 } from '@cassiamast/coordination';
import { boundOf } from '../../src/policy/bound.js';
import { brokenBounds, playOurs, readPolicyBounds } from '../../src/policy/check.js';
import { fixedSplit, OURS, POLICIES } from '../../src/policy/policies.js';
import { runService } from '../../src/policy/run.js';
import { makeTrace } from '../../src/policy/traces.js';
import type { ServiceTrace } from '../../src/policy/trace.js';

/** The first part of a trace, to keep the test short. */
function firstPart(name: string, durationMs: number): ServiceTrace {
  const service = makeTrace(name, 7, 1)?.services[0];
  assert.ok(service);
  const requests = service.requests.filter((request) => request.atMs < durationMs);
  return { ...service, durationMs, requests };
}

describe('policy benchmark', () => {
  let hash32: Hash32;
  before(async () => {
    ({ hash32 } = await createHashing());
  });

  it('repeats its figures exactly for a seed', () => {
    const trace = firstPart('short-swings', 20_000);
    const [one, two] = [1, 2].map(() => runService(trace, OURS, hash32, 7));
    assert.equal(one?.statistics.good, two?.statistics.good);
    assert.equal(one?.ttftP95Ms, two?.ttftP95Ms);
  });

  describe('the bound', () => {
    for (const name of ['overload-1.5x', 'short-swings']) {
      it(`is above every policy and split on ${name}`, () => {
        const trace = firstPart(name, 40_000);
        const bound = boundOf(trace).goodputPerS;
        const splits = [1, 2, 3, 4].map((readers) => fixedSplit(readers));
        for (const policy of [...POLICIES, ...splits]) {
          const { goodputPerS } = runService(trace, policy, hash32, 7);
          assert.ok(goodputPerS <= bound + 1e-9, `${policy.name} is above the bound`);
        }
      });
    }
  });

  describe('regression bounds', () => {
    const { seed, quick, traces } = readPolicyBounds();
    for (const name of quick) {
      it(`hold on ${name}`, () => {
        const figures = playOurs(name, seed, hash32);
        const bounds = traces[name];
        assert.ok(figures && bounds);
        assert.deepEqual(brokenBounds(figures, bounds), []);
      });
    }
  });

  it('answers every request or refuses it as not run, also when engines crash', () => {
    const trace = firstPart('shift-with-losses', 100_000);
    const { statistics } = runService(trace, OURS, hash32, 7);
    assert.ok(statistics.restarts > 0);
    assert.equal(statistics.answered + statistics.shedNotRun, trace.requests.length);
  });
});
