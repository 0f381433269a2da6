/** Engines that announced that they leave, or that a gateway must not send requests to. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  type Decision,
  DecisionKind,
  EnginePhase,
  JobEventKind,
  RefusalReason,
  SCHEDULER_OPTIONS,
  type Scheduler,
  createScheduler,
  handleJobEvents,
  submitJob,
  syncEngines,
  tickScheduler,
} from '../../../src/index.js';
import { SPEC, engine, job, startedJobIds } from '../../fixtures/scheduling.js';

const BACK_OFF_MS = 2500;

function schedulerOf(...engines: readonly (readonly [string, EnginePhase])[]): Scheduler {
  const scheduler = createScheduler(SCHEDULER_OPTIONS);
  const entries = engines.map(([id, phase]) => engine(id, phase));
  syncEngines(scheduler, entries, SPEC);
  return scheduler;
}

function leave(scheduler: Scheduler, target: string): readonly Decision[] {
  return handleJobEvents(scheduler, [{ kind: JobEventKind.Leaving, jobId: '', target }], 0);
}

describe('engines that are not available', () => {
  describe('an engine that announced its departure', () => {
    // Otherwise, one gateway after the other is granted an engine that told the first that it leaves.
    it('is granted to no gateway', () => {
      const scheduler = schedulerOf(['a', EnginePhase.Both], ['b', EnginePhase.Both]);
      leave(scheduler, 'a');
      for (const gateway of ['g1', 'g2', 'g3']) {
        submitJob(scheduler, job('s', 100, { gateway }), 0);
      }
      assert.equal(scheduler.targets.get('a')?.prefills.size, 0);
      assert.ok([...scheduler.queuedJobs.values()].every(({ target }) => target === 'b'));
      assert.ok((scheduler.targets.get('b')?.prefills.size ?? 0) > 0);
    });

    it('loses the jobs that are queued for it', () => {
      const scheduler = schedulerOf(['a', EnginePhase.Both]);
      const jobs = Array.from({ length: 12 }, () => job('s', 3000, { aimAtMs: 9000 }));
      const started = jobs.flatMap((each) => startedJobIds(submitJob(scheduler, each, 0)));
      assert.ok(scheduler.queuedJobs.size > 0 && started.length > 0);
      const refused = leave(scheduler, 'a');
      assert.ok(refused.every(({ kind }) => kind === DecisionKind.Refuse));
      assert.equal(scheduler.queuedJobs.size, 0);
    });
  });

  // Otherwise, a stream that broke off is given up although another engine is about to be known.
  it('that only failed a job do not lead to a refusal', () => {
    const scheduler = schedulerOf(['reader', EnginePhase.Prefill], ['a', EnginePhase.Decode]);
    assert.deepEqual(submitJob(scheduler, job('s', 5000, { avoid: ['a'] }), 0), []);
  });

  describe('engines that a gateway must avoid', () => {
    it('are still granted to other gateways', () => {
      const scheduler = schedulerOf(['a', EnginePhase.Both]);
      const avoiding = job('s', 100, { avoid: ['a'], avoidUntilMs: BACK_OFF_MS });
      assert.equal(submitJob(scheduler, avoiding, 0)[0]?.kind, DecisionKind.Refuse);
      assert.equal(submitJob(scheduler, job('s', 100), 0)[0]?.kind, DecisionKind.Run);
    });

    // Otherwise, a caller waits until its deadline although a prefill engine is all that is left.
    it('lead to a refusal with their time if they are all that decode', () => {
      const scheduler = schedulerOf(['reader', EnginePhase.Prefill], ['a', EnginePhase.Decode]);
      const avoiding = job('s', 5000, { avoid: ['a'], avoidUntilMs: BACK_OFF_MS });
      const [decision] = submitJob(scheduler, avoiding, 100);
      assert.ok(decision?.kind === DecisionKind.Refuse);
      assert.equal(decision.reason, RefusalReason.NoTarget);
      assert.equal(decision.retryAfterMs, BACK_OFF_MS - 100);
    });

    // Otherwise, a job that is queued keeps the engine that its gateway has been told to avoid.
    it('lose a queued job whose gateway asks again', () => {
      const scheduler = schedulerOf(['a', EnginePhase.Both]);
      const jobs = Array.from({ length: 12 }, () => job('s', 3000, { aimAtMs: 9000 }));
      for (const each of jobs) submitJob(scheduler, each, 0);
      const queued = [...scheduler.queuedJobs.values()].map((each) => each.job);
      assert.ok(queued.length > 0);
      for (const each of queued)
        submitJob(scheduler, { ...each, avoid: ['a'], avoidUntilMs: BACK_OFF_MS }, 10);
      const refused = tickScheduler(scheduler, 10);
      assert.equal(refused.length, queued.length);
    });
  });
});
