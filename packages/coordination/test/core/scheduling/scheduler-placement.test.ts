/** Tests on which engines a scheduler places prefill and decode, on a virtual clock. */
import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import {
  DecisionKind,
  EnginePhase,
  JobEventKind,
  RefusalReason,
  SCHEDULER_OPTIONS,
  type Scheduler,
  type TargetEntry,
  createScheduler,
  enginesWithStaleCache,
  syncEngines,
  handleJobEvents,
  seedCache,
  submitJob,
  suspendEngine,
  tickScheduler,
} from '../../../src/index.js';
import { type CacheHolders, findCacheHolders } from '../../../src/core/scheduling/prefill-cost.js';
import {
  SPEC,
  engine,
  job,
  planOf,
  reportPrefilled,
  startedJobIds,
} from '../../fixtures/scheduling.js';

describe('a scheduler', () => {
  let scheduler: Scheduler;
  const decodeEngine = engine('streamer', EnginePhase.Decode);
  const engines = [
    engine('reader-1', EnginePhase.Prefill),
    engine('reader-2', EnginePhase.Prefill),
    decodeEngine,
  ];

  beforeEach(() => {
    scheduler = createScheduler(SCHEDULER_OPTIONS);
    syncEngines(scheduler, engines, SPEC);
  });

  describe('placement', () => {
    // Engines lose two answers in a hundred, and one of two decode engines lost one. It was
    // suspended, twice as long each time, because its completed answers were not reported to the
    // scheduler. No prompt was prefilled for most of a second.
    it('suspends an engine after two broken answers in a row, but not after one', () => {
      const lostJob = job('a', 1000);
      const { readAt } = planOf(submitJob(scheduler, lostJob, 0));
      reportPrefilled(scheduler, lostJob.id, readAt, 300);
      const broke = { kind: JobEventKind.Broke, jobId: lostJob.id, target: 'streamer' };
      handleJobEvents(scheduler, [broke, { ...broke, kind: JobEventKind.Ended }], 310);
      const second = job('a', 1000);
      assert.equal(planOf(submitJob(scheduler, second, 320)).streamAt, 'streamer');
      reportPrefilled(scheduler, second.id, readAt, 400);
      const served = { kind: JobEventKind.Served, jobId: second.id, target: 'streamer' };
      handleJobEvents(scheduler, [served, broke], 500);
      assert.equal(startedJobIds(submitJob(scheduler, job('a', 1000), 510)).length, 1);
      handleJobEvents(scheduler, [broke], 520);
      assert.equal(startedJobIds(submitJob(scheduler, job('b', 1000), 530)).length, 0);
    });

    // After a failure an engine gets one request, and the rest only once that one is served.
    // Otherwise an engine that is up only briefly after a crash fails all the requests that waited
    // for it.
    it('sends a half-open engine one request at a time', () => {
      const failed = { kind: JobEventKind.Failed, jobId: 'x', target: 'streamer' };
      handleJobEvents(scheduler, [failed], 0);
      const trialJob = job('a', 1000);
      submitJob(scheduler, trialJob, 0);
      const { readAt } = planOf(tickScheduler(scheduler, 510));
      reportPrefilled(scheduler, trialJob.id, readAt, 700);
      assert.deepEqual(startedJobIds(submitJob(scheduler, job('b', 1000), 710)), []);
      const served = { kind: JobEventKind.Served, jobId: trialJob.id, target: 'streamer' };
      assert.equal(startedJobIds(handleJobEvents(scheduler, [served], 750)).length, 1);
    });

    it('prefills a prompt on one engine and decodes it on another', () => {
      const plan = planOf(submitJob(scheduler, job('a', 1000), 0));
      assert.match(plan.readAt, /^reader/);
      assert.equal(plan.streamAt, 'streamer');
      assert.equal(plan.missingTokens, 11_000);
    });

    it('sends prompts with a shared prefix to the engine that has it cached', () => {
      const first = job('a', 1000);
      const { readAt } = planOf(submitJob(scheduler, first, 0));
      reportPrefilled(scheduler, first.id, readAt, 400);
      const plan = planOf(submitJob(scheduler, job('a', 1000), 500));
      assert.equal(plan.readAt, readAt);
      assert.equal(plan.missingTokens, 1000);
    });

    // Several requests for the same history arrive at once. If each is given to another engine, all
    // engines prefill the same thirteen thousand tokens concurrently.
    it('does not prefill a shared part on two engines at the same time', () => {
      const { readAt } = planOf(submitJob(scheduler, job('a', 1000), 0));
      const second = job('a', 1000);
      const decisions = submitJob(scheduler, second, 5);
      const plan = decisions.length === 0 ? null : planOf(decisions);
      assert.ok(plan === null || plan.readAt === readAt || plan.fetchFrom === readAt);
    });

    it('fetches cached parts from a busy engine', () => {
      const first = job('a', 1000);
      const { readAt } = planOf(submitJob(scheduler, first, 0));
      reportPrefilled(scheduler, first.id, readAt, 328);
      const second = planOf(submitJob(scheduler, job('a', 20_000, { aimAtMs: 2000 }), 410));
      assert.equal(second.readAt, readAt);
      const plan = planOf(submitJob(scheduler, job('a', 1000), 420));
      assert.notEqual(plan.readAt, readAt);
      assert.ok(plan.fetchFrom === readAt || plan.fetchFrom === 'streamer');
      assert.equal(plan.missingTokens, 1000);
    });

    // A stream that goes on at its version would read on from the memory of an engine of another one.
    it('does not fetch cached parts from an engine that the job avoids', () => {
      const first = job('a', 1000);
      const { readAt } = planOf(submitJob(scheduler, first, 0));
      reportPrefilled(scheduler, first.id, readAt, 328);
      const holdersFor = (avoid: readonly string[]): CacheHolders =>
        findCacheHolders(scheduler.targets.values(), job('a', 1000, { avoid }), 410);
      assert.notEqual(holdersFor([]).any, null);
      assert.equal(holdersFor([readAt, 'streamer']).any, null);
    });

    // A decode engine with the shortest queue was given a cold prompt of twenty thousand tokens,
    // and the streams of all its callers paused for a second.
    it('gives no long prompt to a decode engine while prefill engines are available', () => {
      const relaxedGoal = { aimAtMs: 2000 };
      submitJob(scheduler, job('a', 9000, relaxedGoal), 0);
      submitJob(scheduler, job('b', 9000, relaxedGoal), 0);
      assert.deepEqual(submitJob(scheduler, job('c', 9000, relaxedGoal), 0), []);
    });

    it('prefills a long prompt on a decode engine when there is no other engine', () => {
      syncEngines(scheduler, [engine('streamer', EnginePhase.Decode)], SPEC);
      const plan = planOf(submitJob(scheduler, job('a', 1000), 0));
      assert.equal(plan.readAt, 'streamer');
      assert.equal(plan.streamAt, null);
    });

    it('places no job on an engine that has just failed', () => {
      const first = job('a', 1000);
      const { readAt } = planOf(submitJob(scheduler, first, 0));
      const failed = { kind: JobEventKind.Failed, jobId: first.id, target: readAt };
      handleJobEvents(scheduler, [failed, { ...failed, kind: JobEventKind.Ended }], 10);
      const other = planOf(submitJob(scheduler, job('a', 1000), 20)).readAt;
      assert.notEqual(other, readAt);
    });

    it('gives no work to engines that are changing phase', () => {
      suspendEngine(scheduler, 'reader-1', 6000);
      suspendEngine(scheduler, 'reader-2', 6000);
      suspendEngine(scheduler, 'streamer', 6000);
      const [decision] = submitJob(scheduler, job('a', 1000), 0);
      assert.ok(decision?.kind === DecisionKind.Refuse);
      assert.equal(decision.reason, RefusalReason.NoTarget);
    });
  });

  // An engine crashes and restarts under the same name a second later. It must not be sent prompts
  // that it is assumed to have cached, nor be suspended for failures of its earlier incarnation.
  describe('an engine that restarts under the same name', () => {
    const before = engine('solo', EnginePhase.Both);
    const restarted: TargetEntry = { ...before, id: 'solo@2000', bornAtMs: 2000 };

    it('has an empty cache', () => {
      syncEngines(scheduler, [before], SPEC);
      const first = job('a', 1000);
      submitJob(scheduler, first, 0);
      reportPrefilled(scheduler, first.id, before.id, 400);
      syncEngines(scheduler, [restarted], SPEC);
      const plan = planOf(submitJob(scheduler, job('a', 1000), 500));
      assert.equal(plan.readAt, restarted.id);
      assert.equal(plan.missingTokens, 11_000);
    });

    it('is not suspended for failures of its earlier incarnation', () => {
      syncEngines(scheduler, [restarted], SPEC);
      const failed = { kind: JobEventKind.Failed, jobId: 'x', target: before.id };
      handleJobEvents(scheduler, [failed, failed], 0);
      assert.equal(planOf(submitJob(scheduler, job('a', 1000), 10)).readAt, restarted.id);
    });
  });

  describe('a repeated request for a job', () => {
    it('gets the same decision and starts no second prefill', () => {
      const repeated = job('a', 1000);
      const first = submitJob(scheduler, repeated, 0);
      assert.deepEqual(submitJob(scheduler, repeated, 100), first);
      assert.equal(scheduler.targets.get(planOf(first).readAt)?.prefills.size, 1);
    });
  });

  describe('a new scheduler', () => {
    // After a change of scheduler the new process assumed that all caches were empty, and every
    // engine prefilled all shared parts again.
    it('requests the cache contents of engines and uses them', () => {
      assert.equal(enginesWithStaleCache(scheduler, 0).length, 3);
      assert.deepEqual(enginesWithStaleCache(scheduler, 100), []);
      seedCache(scheduler, 'reader-2', [{ id: 'a', tokens: 10_000 }]);
      const plan = planOf(submitJob(scheduler, job('a', 1000), 200));
      assert.equal(plan.missingTokens, 1000);
    });

    it('requests cache contents again after a period without requests', () => {
      enginesWithStaleCache(scheduler, 0);
      assert.equal(enginesWithStaleCache(scheduler, SCHEDULER_OPTIONS.staleAfterMs + 1).length, 3);
    });
  });
});
