/** Tests when a scheduler uses engines of another failure domain, on a virtual clock. */
import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import {
  EnginePhase,
  SCHEDULER_OPTIONS,
  type Scheduler,
  createScheduler,
  submitJob,
  syncEngines,
} from '../../../src/index.js';
import { SPEC, engine, job, planOf, reportPrefilled } from '../../fixtures/scheduling.js';

const ENGINES = ['far', 'near'].flatMap((domain) => [
  engine(`reader-${domain}`, EnginePhase.Prefill, domain),
  engine(`streamer-${domain}`, EnginePhase.Decode, domain),
]);
const NEAR = { failureDomain: 'near' };

describe('a scheduler with engines in two failure domains', () => {
  let scheduler: Scheduler;

  /** Adds running requests to an engine. */
  function occupy(id: string, requests: number): void {
    const streaming = scheduler.targets.get(id)?.streaming;
    for (let index = 0; index < requests; index += 1) streaming?.set(`other-${String(index)}`, 100);
  }

  beforeEach(() => {
    scheduler = createScheduler(SCHEDULER_OPTIONS);
    syncEngines(scheduler, ENGINES, SPEC);
  });

  // A prompt was prefilled and decoded in another domain than its gateway's although both were idle.
  it('uses engines of the domain of the gateway', () => {
    const { readAt, streamAt } = planOf(submitJob(scheduler, job('a', 1000, NEAR), 0));
    assert.deepEqual([readAt, streamAt], ['reader-near', 'streamer-near']);
    const far = { failureDomain: 'far' };
    assert.equal(planOf(submitJob(scheduler, job('b', 1000, far), 0)).readAt, 'reader-far');
  });

  it('leaves the domain if its prefill engine is busy for longer than leaving takes', () => {
    submitJob(scheduler, job('a', 9000, NEAR), 0);
    const plan = planOf(submitJob(scheduler, job('b', 1000, { ...NEAR, aimAtMs: 3000 }), 1));
    assert.equal(plan.readAt, 'reader-far');
  });

  it('leaves the domain if its decode engine has more requests than leaving is worth', () => {
    occupy('streamer-near', 4);
    const plan = planOf(submitJob(scheduler, job('a', 1000, NEAR), 0));
    assert.equal(plan.streamAt, 'streamer-near');
    occupy('streamer-near', 15);
    assert.equal(planOf(submitJob(scheduler, job('a', 1000, NEAR), 500)).streamAt, 'streamer-far');
  });

  // Over a slow link the handover of a prompt takes longer than the wait at a fuller engine.
  it('weighs the transfer of a prompt by the speed of the link', () => {
    scheduler = createScheduler(SCHEDULER_OPTIONS);
    syncEngines(scheduler, ENGINES, { ...SPEC, linkMbps: 50_000 });
    occupy('streamer-near', 15);
    assert.equal(planOf(submitJob(scheduler, job('a', 1000, NEAR), 0)).streamAt, 'streamer-near');
  });

  // Leaving costs less than prefilling thousands of tokens again.
  it('keeps to the engine in another domain that holds the cached parts', () => {
    const first = job('a', 1000, { failureDomain: 'far' });
    submitJob(scheduler, first, 0);
    reportPrefilled(scheduler, first.id, 'reader-far', 400);
    const plan = planOf(submitJob(scheduler, job('a', 1000, NEAR), 500));
    assert.equal(plan.readAt, 'reader-far');
    assert.equal(plan.missingTokens, 1000);
  });

  it('ignores the domain of the gateway without costs of domains', () => {
    scheduler = createScheduler({ ...SCHEDULER_OPTIONS, locality: null });
    syncEngines(scheduler, ENGINES, SPEC);
    const { readAt, streamAt } = planOf(submitJob(scheduler, job('a', 1000, NEAR), 0));
    assert.deepEqual([readAt, streamAt], ['reader-far', 'streamer-far']);
  });
});
