/** Where a scheduler has prompts read and streamed, on a virtual clock. */
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
  enginesToList,
  noteEngines,
  noteJobEvents,
  seedCache,
  submitJob,
  suspendEngine,
  tickScheduler,
} from '../../../src/index.js';
import { SPEC, engine, job, planOf, read, runs } from '../../fixtures/scheduling.js';

describe('a scheduler', () => {
  let scheduler: Scheduler;
  const streamer = engine('streamer', EnginePhase.Decode);
  const engines = [
    engine('reader-1', EnginePhase.Prefill),
    engine('reader-2', EnginePhase.Prefill),
    streamer,
  ];

  beforeEach(() => {
    scheduler = createScheduler(SCHEDULER_OPTIONS);
    noteEngines(scheduler, engines, SPEC);
  });

  describe('placing', () => {
    // Nothing is read for most of a second on a day on which engines lose two answers in a hundred.
    // One of two engines that make tokens lost one; it was left alone, each time twice as long,
    // since nobody told the scheduler of the answers that it brought home.
    it('goes on with an engine that lost one answer, and leaves one alone that breaks off all', () => {
      const lost = job('a', 1000);
      const { readAt } = planOf(submitJob(scheduler, lost, 0));
      read(scheduler, lost.id, readAt, 300);
      const broke = { kind: JobEventKind.Broke, jobId: lost.id, target: 'streamer' };
      noteJobEvents(scheduler, [broke, { ...broke, kind: JobEventKind.Ended }], 310);
      const second = job('a', 1000);
      assert.equal(planOf(submitJob(scheduler, second, 320)).streamAt, 'streamer');
      read(scheduler, second.id, readAt, 400);
      const served = { kind: JobEventKind.Served, jobId: second.id, target: 'streamer' };
      noteJobEvents(scheduler, [served, broke], 500);
      assert.equal(runs(submitJob(scheduler, job('a', 1000), 510)).length, 1);
      noteJobEvents(scheduler, [broke], 520);
      assert.equal(runs(submitJob(scheduler, job('b', 1000), 530)).length, 0);
    });

    // An engine is back from a crash for a moment and takes down all that waited for it. After a
    // failure it gets one request, and the rest once that one is served.
    it('tries an engine that failed with one request at a time', () => {
      const failed = { kind: JobEventKind.Failed, jobId: 'x', target: 'streamer' };
      noteJobEvents(scheduler, [failed], 0);
      const trial = job('a', 1000);
      submitJob(scheduler, trial, 0);
      const { readAt } = planOf(tickScheduler(scheduler, 510));
      read(scheduler, trial.id, readAt, 700);
      assert.deepEqual(runs(submitJob(scheduler, job('b', 1000), 710)), []);
      const served = { kind: JobEventKind.Served, jobId: trial.id, target: 'streamer' };
      assert.equal(runs(noteJobEvents(scheduler, [served], 750)).length, 1);
    });

    it('has a prompt read by one engine and streamed by another', () => {
      const plan = planOf(submitJob(scheduler, job('a', 1000), 0));
      assert.match(plan.readAt, /^reader/);
      assert.equal(plan.streamAt, 'streamer');
      assert.equal(plan.missingTokens, 11_000);
    });

    it('sends prompts that begin alike to the engine that holds their beginning', () => {
      const first = job('a', 1000);
      const { readAt } = planOf(submitJob(scheduler, first, 0));
      read(scheduler, first.id, readAt, 400);
      const plan = planOf(submitJob(scheduler, job('a', 1000), 500));
      assert.equal(plan.readAt, readAt);
      assert.equal(plan.missingTokens, 1000);
    });

    // Readers of one history ask for it at once. Each is given to another engine, and all of them
    // read the same thirteen thousand tokens beside each other.
    it('lets readers of one part wait for the engine that reads it', () => {
      const { readAt } = planOf(submitJob(scheduler, job('a', 1000), 0));
      const second = job('a', 1000);
      const decisions = submitJob(scheduler, second, 5);
      const plan = decisions.length === 0 ? null : planOf(decisions);
      assert.ok(plan === null || plan.readAt === readAt || plan.fetchFrom === readAt);
    });

    it('fetches parts from a busy engine that holds them', () => {
      const first = job('a', 1000);
      const { readAt } = planOf(submitJob(scheduler, first, 0));
      read(scheduler, first.id, readAt, 328);
      const second = planOf(submitJob(scheduler, job('a', 20_000, { aimAtMs: 2000 }), 410));
      assert.equal(second.readAt, readAt);
      const plan = planOf(submitJob(scheduler, job('a', 1000), 420));
      assert.notEqual(plan.readAt, readAt);
      assert.ok(plan.fetchFrom === readAt || plan.fetchFrom === 'streamer');
      assert.equal(plan.missingTokens, 1000);
    });

    // Streams of all callers pause for a second. The engine that makes their tokens was given a cold
    // prompt of twenty thousand tokens, since it had the shortest line.
    it('gives no long prompt to an engine that makes tokens while others read', () => {
      const patient = { aimAtMs: 2000 };
      submitJob(scheduler, job('a', 9000, patient), 0);
      submitJob(scheduler, job('b', 9000, patient), 0);
      assert.deepEqual(submitJob(scheduler, job('c', 9000, patient), 0), []);
    });

    it('has it read there all the same when nobody else can', () => {
      noteEngines(scheduler, [engine('streamer', EnginePhase.Decode)], SPEC);
      const plan = planOf(submitJob(scheduler, job('a', 1000), 0));
      assert.equal(plan.readAt, 'streamer');
      assert.equal(plan.streamAt, null);
    });

    it('leaves alone an engine that failed, and tries it again later', () => {
      const first = job('a', 1000);
      const { readAt } = planOf(submitJob(scheduler, first, 0));
      const failed = { kind: JobEventKind.Failed, jobId: first.id, target: readAt };
      noteJobEvents(scheduler, [failed, { ...failed, kind: JobEventKind.Ended }], 10);
      const other = planOf(submitJob(scheduler, job('a', 1000), 20)).readAt;
      assert.notEqual(other, readAt);
    });

    it('gives nothing to an engine that changes its phase', () => {
      suspendEngine(scheduler, 'reader-1', 6000);
      suspendEngine(scheduler, 'reader-2', 6000);
      suspendEngine(scheduler, 'streamer', 6000);
      const [decision] = submitJob(scheduler, job('a', 1000), 0);
      assert.ok(decision?.kind === DecisionKind.Refuse);
      assert.equal(decision.reason, RefusalReason.NoTarget);
    });
  });

  // An engine crashes and is back under its name a second later. It is sent prompts that it is taken
  // to hold in part, reads them whole, and is left alone for what its earlier start has failed.
  describe('an engine that starts again under its name', () => {
    const before = engine('solo', EnginePhase.Both);
    const again: TargetEntry = { ...before, id: 'solo@2000', bornAtMs: 2000 };

    it('holds nothing of what its earlier start had read', () => {
      noteEngines(scheduler, [before], SPEC);
      const first = job('a', 1000);
      submitJob(scheduler, first, 0);
      read(scheduler, first.id, before.id, 400);
      noteEngines(scheduler, [again], SPEC);
      const plan = planOf(submitJob(scheduler, job('a', 1000), 500));
      assert.equal(plan.readAt, again.id);
      assert.equal(plan.missingTokens, 11_000);
    });

    it('is not left alone for what is reported of its earlier start', () => {
      noteEngines(scheduler, [again], SPEC);
      const failed = { kind: JobEventKind.Failed, jobId: 'x', target: before.id };
      noteJobEvents(scheduler, [failed, failed], 0);
      assert.equal(planOf(submitJob(scheduler, job('a', 1000), 10)).readAt, again.id);
    });
  });

  describe('asked twice about a job', () => {
    it('gives the same answer, and the engine no second prompt', () => {
      const asked = job('a', 1000);
      const first = submitJob(scheduler, asked, 0);
      assert.deepEqual(submitJob(scheduler, asked, 100), first);
      assert.equal(scheduler.targets.get(planOf(first).readAt)?.reading.size, 1);
    });
  });

  describe('a process that begins to schedule', () => {
    // All shared parts of the day are read again, by every engine. Another gateway scheduled before,
    // and the new one takes all caches for empty.
    it('asks engines for their caches, and uses what they hold', () => {
      assert.equal(enginesToList(scheduler, 0).length, 3);
      assert.deepEqual(enginesToList(scheduler, 100), []);
      seedCache(scheduler, 'reader-2', [{ id: 'a', tokens: 10_000 }]);
      const plan = planOf(submitJob(scheduler, job('a', 1000), 200));
      assert.equal(plan.missingTokens, 1000);
    });

    it('asks again after others have scheduled for a while', () => {
      enginesToList(scheduler, 0);
      assert.equal(enginesToList(scheduler, SCHEDULER_OPTIONS.staleAfterMs + 1).length, 3);
    });
  });
});
