/** Tests which jobs are served and which are refused under overload, on a virtual clock. */
import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import {
  type Decision,
  DecisionKind,
  EnginePhase,
  JobEventKind,
  RefusalReason,
  SCHEDULER_OPTIONS,
  type Scheduler,
  createScheduler,
  syncEngines,
  handleJobEvents,
  submitJob,
  tickScheduler,
} from '../../../src/index.js';
import { SPEC, engine, job, reportPrefilled, startedJobIds } from '../../fixtures/scheduling.js';

/** Time that an engine of the data sheet needs for a prompt that it prefills alone. */
const prefillMs = (tokens: number): number => 22 + tokens / 36;

describe('a scheduler', () => {
  let scheduler: Scheduler;

  beforeEach(() => {
    scheduler = createScheduler(SCHEDULER_OPTIONS);
  });

  describe('under overload', () => {
    const single = [
      engine('reader-1', EnginePhase.Prefill),
      engine('streamer', EnginePhase.Decode),
    ];

    beforeEach(() => {
      syncEngines(scheduler, single, SPEC);
    });

    // Otherwise, a scheduler with uncompiled code falls behind after a power loss, as idle engines
    // evaluate every queued job on each request and report.
    it('lets idle engines steal work at intervals, not on every event', () => {
      submitJob(scheduler, job('a', 9000), 0);
      const stealTimesMs = new Set<number>();
      for (let nowMs = 0; nowMs < 100; nowMs += 1) {
        submitJob(scheduler, job('b', 9000, { aimAtMs: 3000 }), nowMs);
        stealTimesMs.add(scheduler.lastStealAtMs);
      }
      assert.ok(scheduler.queuedJobs.size > 1, 'jobs are queued');
      assert.ok(stealTimesMs.size <= 100 / SCHEDULER_OPTIONS.stealIntervalMs + 1);
    });

    it('dispatches the job with the highest value per engine time first', () => {
      const first = job('a', 9000);
      submitJob(scheduler, first, 0);
      const long = job('b', 2000, { aimAtMs: 3000 });
      const short = job('a', 300, { aimAtMs: 3000 });
      submitJob(scheduler, long, 1);
      submitJob(scheduler, short, 2);
      assert.deepEqual(startedJobIds(reportPrefilled(scheduler, first.id, 'reader-1', 500)), [
        short.id,
        long.id,
      ]);
    });

    // In a burst of short prompts an engine was given one after the other. It paid the start-up
    // time for each instead of batching several into one step, so answers were late while engines
    // were half idle.
    it('gives an engine several short prompts at once but at most one long prompt', () => {
      const short = ['s1', 's2', 's3', 's4'].map((id) =>
        job('', 0, { parts: [{ id, tokens: 60 }] }),
      );
      const started = short.flatMap((each) => startedJobIds(submitJob(scheduler, each, 0)));
      assert.equal(started.length, short.length);
      const long = [job('b', 9000), job('b', 9000)];
      const startedLater = long.flatMap((each) => startedJobIds(submitJob(scheduler, each, 1)));
      assert.ok(startedLater.length <= 1);
    });

    // A burst of long prompts fills the engine, so a new caller can be served, but not on time. If
    // it is queued anyway, it waits half a second for its refusal and delays the jobs behind it.
    it('refuses a job that would be late immediately instead of queuing it', () => {
      submitJob(scheduler, job('a', 9000), 0);
      submitJob(scheduler, job('b', 9000, { aimAtMs: 1500 }), 1);
      const [decision] = submitJob(scheduler, job('a', 1000, { aimAtMs: 500 }), 2);
      assert.ok(decision?.kind === DecisionKind.Refuse);
      assert.equal(decision.reason, RefusalReason.Overload);
      assert.equal(decision.retryAfterMs >= decision.aheadMs, true);
    });

    it('refuses a queued job soon after it can no longer be on time', () => {
      const slow = job('s', 600, { parts: [{ id: 'slow', tokens: 600 }] });
      submitJob(scheduler, slow, 0);
      submitJob(scheduler, job('a', 9000), 0);
      const queuedJob = job('b', 4000, { aimAtMs: 1100 });
      assert.deepEqual(submitJob(scheduler, queuedJob, 1), []);
      // The engine is slower than predicted, so the queued job can no longer be on time.
      reportPrefilled(scheduler, slow.id, 'reader-1', 400);
      submitJob(scheduler, queuedJob, 401);
      assert.deepEqual(tickScheduler(scheduler, 410), []);
      const [decision] = tickScheduler(scheduler, 470);
      assert.equal(decision?.jobId, queuedJob.id);
      assert.equal(decision.kind, DecisionKind.Refuse);
    });

    it('refuses a job immediately if it cannot be prefilled before its deadline', () => {
      submitJob(scheduler, job('a', 40_000), 0);
      const [decision] = submitJob(scheduler, job('b', 1000, { deadlineAtMs: 600 }), 1);
      assert.ok(decision?.kind === DecisionKind.Refuse);
      assert.equal(decision.reason, RefusalReason.TooLate);
    });

    it('refuses a queued job before its deadline once it cannot meet it', () => {
      submitJob(scheduler, job('a', 9000), 0);
      const queuedJob = job('b', 1000, { aimAtMs: 1400, deadlineAtMs: 1500 });
      assert.deepEqual(submitJob(scheduler, queuedJob, 1), []);
      submitJob(scheduler, queuedJob, 600);
      submitJob(scheduler, queuedJob, 1190);
      const [decision] = tickScheduler(scheduler, 1200);
      assert.equal(decision?.jobId, queuedJob.id);
      assert.equal(decision.kind, DecisionKind.Refuse);
    });

    // Each decision reads the queues, so a queue without bound stops a small gateway.
    it('refuses further jobs once the queue of an engine is full', () => {
      const maxQueuedJobsPerEngine = 5;
      const bounded = createScheduler({ ...SCHEDULER_OPTIONS, maxQueuedJobsPerEngine });
      syncEngines(bounded, single, SPEC);
      const later = { aimAtMs: 1e6, deadlineAtMs: 1e6 };
      submitJob(bounded, job('a', 9000, later), 0);
      for (let count = 0; count < maxQueuedJobsPerEngine; count += 1) {
        assert.deepEqual(submitJob(bounded, job('a', 9000, later), 1), []);
      }
      const [decision] = submitJob(bounded, job('a', 9000, later), 1);
      assert.ok(decision?.kind === DecisionKind.Refuse);
      assert.equal(decision.reason, RefusalReason.Overload);
    });

    it('removes a queued job that has ended', () => {
      submitJob(scheduler, job('a', 9000), 0);
      const queuedJob = job('b', 1000, { aimAtMs: 2000 });
      submitJob(scheduler, queuedJob, 1);
      assert.equal(scheduler.queuedJobs.size, 1);
      const ended = { kind: JobEventKind.Ended, jobId: queuedJob.id, target: '' };
      handleJobEvents(scheduler, [ended], 10);
      assert.equal(scheduler.queuedJobs.size, 0);
    });

    it('drops a queued job that its gateway no longer polls', () => {
      submitJob(scheduler, job('a', 9000), 0);
      submitJob(scheduler, job('b', 1000), 1);
      assert.deepEqual(tickScheduler(scheduler, SCHEDULER_OPTIONS.abandonedAfterMs + 2), []);
      assert.equal(scheduler.queuedJobs.size, 0);
    });

    // Short prompts arrive faster than the engine can prefill, and each is worth more per
    // millisecond of engine time than a long one. Without a fairness rule callers with long
    // histories are never served.
    it('serves large prompts at no less than half the rate of all prompts', () => {
      const served = { all: 0, large: 0 };
      const submitted = { all: 0, large: 0 };
      const openJobs = new Map<string, { isLarge: boolean }>();
      // The engine prefills in order at the speed of its data sheet.
      let engineFreeAtMs = 0;
      const prefills: { readonly id: string; readonly endsAtMs: number }[] = [];
      const handleDecisions = (decisions: readonly Decision[], nowMs: number): void => {
        for (const decision of decisions) {
          const openJob = openJobs.get(decision.jobId);
          openJobs.delete(decision.jobId);
          if (decision.kind !== DecisionKind.Run || openJob === undefined) continue;
          served.all += 1;
          if (openJob.isLarge) served.large += 1;
          engineFreeAtMs = Math.max(engineFreeAtMs, nowMs) + prefillMs(decision.plan.missingTokens);
          prefills.push({ id: decision.jobId, endsAtMs: engineFreeAtMs });
        }
      };
      for (let nowMs = 0; nowMs < 60_000; nowMs += 10) {
        if (nowMs % 60 === 0) {
          const isLarge = (nowMs / 60) % 10 === 9;
          const next = job('a', isLarge ? 25_000 : 2000, {
            aimAtMs: nowMs + 800,
            deadlineAtMs: nowMs + 3000,
          });
          submitted.all += 1;
          if (isLarge) submitted.large += 1;
          openJobs.set(next.id, { isLarge });
          handleDecisions(submitJob(scheduler, next, nowMs), nowMs);
        }
        for (const queuedJob of scheduler.queuedJobs.values()) queuedJob.lastPolledAtMs = nowMs;
        while ((prefills[0]?.endsAtMs ?? Infinity) <= nowMs) {
          const finished = prefills.shift();
          if (finished === undefined) break;
          handleDecisions(reportPrefilled(scheduler, finished.id, 'reader-1', nowMs), nowMs);
        }
        handleDecisions(tickScheduler(scheduler, nowMs), nowMs);
      }
      assert.ok(served.all / submitted.all < 0.95, 'the load exceeds the capacity of the engine');
      const ratio = served.large / submitted.large / (served.all / submitted.all);
      assert.ok(ratio >= 0.5, `large prompts served at ${String(ratio)} of the rate of all`);
    });
  });
});
