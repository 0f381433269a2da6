/** Who is served and who is sent away when more comes than engines can do, on a virtual clock. */
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
  noteEngines,
  noteJobEvents,
  submitJob,
  tickScheduler,
} from '../../../src/index.js';
import { SPEC, engine, job, read, runs } from '../../fixtures/scheduling.js';

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
      noteEngines(scheduler, single, SPEC);
    });

    // All gateways are back after a loss of power, and a scheduler with cold code gets a second's
    // work at once. Half of its time went into idle engines that looked at all waiting jobs again at
    // each question and each report; it fell behind, and callers waited while engines were idle.
    it('lets idle engines look at other lines at intervals, not at each event', () => {
      submitJob(scheduler, job('a', 9000), 0);
      const looks = new Set<number>();
      for (let nowMs = 0; nowMs < 100; nowMs += 1) {
        submitJob(scheduler, job('b', 9000, { aimAtMs: 3000 }), nowMs);
        looks.add(scheduler.stoleAtMs);
      }
      assert.ok(scheduler.waiting.size > 1, 'jobs wait');
      assert.ok(looks.size <= 100 / SCHEDULER_OPTIONS.stealEveryMs + 1);
    });

    it('takes what is worth most for the time of the engine first', () => {
      const first = job('a', 9000);
      submitJob(scheduler, first, 0);
      const long = job('b', 2000, { aimAtMs: 3000 });
      const short = job('a', 300, { aimAtMs: 3000 });
      submitJob(scheduler, long, 1);
      submitJob(scheduler, short, 2);
      assert.deepEqual(runs(read(scheduler, first.id, 'reader-1', 500)), [short.id, long.id]);
    });

    // Short questions come late while their engines are half idle. In a burst of them an engine was
    // given one after the other, and started up for each in place of reading several in one step.
    it('gives each engine several short prompts at once, and no second long one', () => {
      const short = ['s1', 's2', 's3', 's4'].map((id) =>
        job('', 0, { parts: [{ id, tokens: 60 }] }),
      );
      const granted = short.flatMap((each) => runs(submitJob(scheduler, each, 0)));
      assert.equal(granted.length, short.length);
      const long = [job('b', 9000), job('b', 9000)];
      const further = long.flatMap((each) => runs(submitJob(scheduler, each, 1)));
      assert.ok(further.length <= 1);
    });

    // Callers wait half a second for a refusal, and what is behind them in the line is late as well.
    // A burst of long prompts fills the engine; whoever comes now can be served, but not on time.
    it('tells a caller at once that it would be late, and does not let it wait', () => {
      submitJob(scheduler, job('a', 9000), 0);
      submitJob(scheduler, job('b', 9000, { aimAtMs: 1500 }), 1);
      const [decision] = submitJob(scheduler, job('a', 1000, { aimAtMs: 500 }), 2);
      assert.ok(decision?.kind === DecisionKind.Refuse);
      assert.equal(decision.reason, RefusalReason.Overload);
      assert.equal(decision.retryAfterMs >= decision.aheadMs, true);
    });

    it('sends a waiting caller away as soon as it is known to be late', () => {
      const slow = job('s', 600, { parts: [{ id: 'slow', tokens: 600 }] });
      submitJob(scheduler, slow, 0);
      submitJob(scheduler, job('a', 9000), 0);
      const waiting = job('b', 4000, { aimAtMs: 1100 });
      assert.deepEqual(submitJob(scheduler, waiting, 1), []);
      // The engine is slower than predicted: what was in time is late now.
      read(scheduler, slow.id, 'reader-1', 400);
      submitJob(scheduler, waiting, 401);
      assert.deepEqual(tickScheduler(scheduler, 410), []);
      const [decision] = tickScheduler(scheduler, 470);
      assert.equal(decision?.jobId, waiting.id);
      assert.equal(decision.kind, DecisionKind.Refuse);
    });

    it('refuses at once what cannot be read before its caller leaves', () => {
      submitJob(scheduler, job('a', 40_000), 0);
      const [decision] = submitJob(scheduler, job('b', 1000, { deadlineAtMs: 600 }), 1);
      assert.ok(decision?.kind === DecisionKind.Refuse);
      assert.equal(decision.reason, RefusalReason.TooLate);
    });

    it('refuses a waiting job as soon as it has become hopeless, not at its deadline', () => {
      submitJob(scheduler, job('a', 9000), 0);
      const waiting = job('b', 1000, { aimAtMs: 1400, deadlineAtMs: 1500 });
      assert.deepEqual(submitJob(scheduler, waiting, 1), []);
      submitJob(scheduler, waiting, 600);
      submitJob(scheduler, waiting, 1190);
      const [decision] = tickScheduler(scheduler, 1200);
      assert.equal(decision?.jobId, waiting.id);
      assert.equal(decision.kind, DecisionKind.Refuse);
    });

    it('gives no engine to a waiting job that has ended', () => {
      submitJob(scheduler, job('a', 9000), 0);
      const waiting = job('b', 1000, { aimAtMs: 2000 });
      submitJob(scheduler, waiting, 1);
      assert.equal(scheduler.waiting.size, 1);
      const ended = { kind: JobEventKind.Ended, jobId: waiting.id, target: '' };
      noteJobEvents(scheduler, [ended], 10);
      assert.equal(scheduler.waiting.size, 0);
    });

    it('forgets a job whose gateway no longer asks', () => {
      submitJob(scheduler, job('a', 9000), 0);
      submitJob(scheduler, job('b', 1000), 1);
      assert.deepEqual(tickScheduler(scheduler, SCHEDULER_OPTIONS.forgottenAfterMs + 2), []);
      assert.equal(scheduler.waiting.size, 0);
    });

    // Callers with long histories get nothing all day. Short ones arrive faster than the engine can
    // read, and each of them is worth more for its time than a long one.
    it('serves large prompts at half the rate of all at the least', () => {
      const served = { all: 0, large: 0 };
      const asked = { all: 0, large: 0 };
      const open = new Map<string, { isLarge: boolean }>();
      let readingEndsAtMs = 0;
      let reading: { id: string; target: string } | null = null;
      const begin = (decisions: readonly Decision[], nowMs: number): void => {
        for (const decision of decisions) {
          const known = open.get(decision.jobId);
          open.delete(decision.jobId);
          if (decision.kind !== DecisionKind.Run || known === undefined) continue;
          served.all += 1;
          if (known.isLarge) served.large += 1;
          reading = { id: decision.jobId, target: decision.plan.readAt };
          readingEndsAtMs = Math.max(readingEndsAtMs, nowMs) + decision.plan.predictedReadMs;
        }
      };
      for (let nowMs = 0; nowMs < 60_000; nowMs += 10) {
        if (nowMs % 60 === 0) {
          const isLarge = (nowMs / 60) % 10 === 9;
          const next = job('a', isLarge ? 25_000 : 2000, {
            aimAtMs: nowMs + 800,
            deadlineAtMs: nowMs + 3000,
          });
          asked.all += 1;
          if (isLarge) asked.large += 1;
          open.set(next.id, { isLarge });
          begin(submitJob(scheduler, next, nowMs), nowMs);
        }
        for (const waiting of scheduler.waiting.values()) waiting.askedAtMs = nowMs;
        const done: { id: string; target: string } | null = reading;
        if (done !== null && nowMs >= readingEndsAtMs) {
          reading = null;
          begin(read(scheduler, (done as { id: string }).id, 'reader-1', nowMs), nowMs);
        }
        begin(tickScheduler(scheduler, nowMs), nowMs);
      }
      assert.ok(served.all / asked.all < 0.95, 'the load is more than the engine can do');
      const ratio = served.large / asked.large / (served.all / asked.all);
      assert.ok(ratio >= 0.5, `large prompts served at ${String(ratio)} of the rate of all`);
    });
  });
});
