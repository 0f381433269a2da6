/** Tests which late jobs wait, when they start, and which of them are refused, with both orders. */
import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import {
  Activation,
  DecisionKind,
  EnginePhase,
  type Job,
  RefusalReason,
  SCHEDULER_OPTIONS,
  type Scheduler,
  createScheduler,
  submitJob,
  syncEngines,
  tickScheduler,
} from '../../../src/index.js';
import { URGENT_BURST } from '../../fixtures/load-patterns.js';
import { type LoadPattern, replayLoad } from '../../fixtures/load-replay.js';
import { SPEC, engine, job, reportPrefilled, startedJobIds } from '../../fixtures/scheduling.js';

const MAX_JOBS = 200;
/** Half a second in which all types arrive at four times their rate, on engines without caches. */
const SHORT_BURST: LoadPattern = {
  ...URGENT_BURST,
  durationMs: 4000,
  rateFactor: (_, nowMs) => (nowMs < 500 ? 4 : 0.5),
};
const LATE_GOAL = { aimAtMs: 100, deadlineAtMs: 4000 };
/** On time behind the other jobs of its test. */
const SOON = { aimAtMs: 5000, deadlineAtMs: 6000 };

for (const urgencyOrder of [Activation.Always, Activation.Never]) {
  const options = {
    ...SCHEDULER_OPTIONS,
    urgencyOrder,
    lateJobsWait: Activation.Always,
    drainRateRetries: Activation.Always,
    retriesFirst: Activation.Always,
  };
  const order = urgencyOrder === Activation.Always ? 'urgency' : 'value';

  describe(`late jobs, ordered by ${order}`, () => {
    let scheduler: Scheduler;
    let first: Job;

    beforeEach(() => {
      scheduler = createScheduler(options);
      const engines = [
        engine('reader-1', EnginePhase.Prefill),
        engine('streamer', EnginePhase.Decode),
      ];
      syncEngines(scheduler, engines, SPEC);
      first = job('a', 9000);
      submitJob(scheduler, first, 0);
    });

    // 500 requests per run were refused although engines were idle before their deadline.
    it('wait and start once the engine has nothing else to do', () => {
      const late = job('a', 1000, LATE_GOAL);
      assert.deepEqual(submitJob(scheduler, late, 1), []);
      submitJob(scheduler, late, 400);
      assert.deepEqual(tickScheduler(scheduler, 400), []);
      assert.deepEqual(startedJobIds(reportPrefilled(scheduler, first.id, 'reader-1', 500)), [
        late.id,
      ]);
    });

    // A late job of a cheap or urgent type would otherwise make others late as well.
    it('let jobs go first that can be on time, and do not start together with them', () => {
      const late = job('a', 500, { ...LATE_GOAL, priority: 0 });
      const timely = job('a', 2000, { aimAtMs: 3000, priority: 2 });
      submitJob(scheduler, late, 1);
      submitJob(scheduler, timely, 2);
      assert.deepEqual(startedJobIds(reportPrefilled(scheduler, first.id, 'reader-1', 500)), [
        timely.id,
      ]);
      assert.deepEqual(startedJobIds(reportPrefilled(scheduler, timely.id, 'reader-1', 600)), [
        late.id,
      ]);
    });

    // Callers would wait for an answer that cannot arrive, and find out only at their deadline.
    it('are refused immediately beyond half of the shortest time to a deadline', () => {
      let queued = 0;
      for (let count = 0; count < MAX_JOBS; count += 1) {
        const [decision] = submitJob(scheduler, job('a', 2000, LATE_GOAL), 1);
        if (decision === undefined) queued += 1;
        else assert.equal(decision.kind, DecisionKind.Refuse);
      }
      assert.ok(queued > 1);
      const workMs = [...scheduler.queuedJobs.values()].reduce(
        (sum, { cachedCost }) => sum + (cachedCost?.own?.cost.serviceMs ?? 0),
        0,
      );
      assert.ok(workMs <= LATE_GOAL.deadlineAtMs / 2, `${String(workMs)} ms of late work`);
    });

    it('are refused immediately if they cannot be answered before their deadline', () => {
      const late = job('a', 1000, { aimAtMs: 100, deadlineAtMs: 300 });
      const [decision] = submitJob(scheduler, late, 1);
      assert.ok(decision?.kind === DecisionKind.Refuse);
      assert.equal(decision.reason, RefusalReason.TooLate);
    });

    it('are refused once jobs that go first leave no time before their deadline', () => {
      const late = job('a', 1000, { aimAtMs: 100, deadlineAtMs: 2000 });
      assert.deepEqual(submitJob(scheduler, late, 1), []);
      for (let count = 0; count < 3; count += 1) {
        assert.deepEqual(submitJob(scheduler, job(`b${String(count)}`, 15_000, SOON), 2), []);
      }
      const refused = tickScheduler(scheduler, 10).filter(({ jobId }) => jobId === late.id);
      assert.deepEqual(
        refused.map(({ kind }) => kind),
        [DecisionKind.Refuse],
      );
    });

    // Callers of a short burst were refused twice although the engines were idle right after it.
    it('are all served after a short burst', () => {
      const { requests } = replayLoad(SHORT_BURST, options);
      const late = requests.filter(
        ({ type, receivedAtMs, firstEventAtMs }) =>
          firstEventAtMs > receivedAtMs + type.latencyGoalMs,
      );
      assert.ok(late.length > 0, 'some are late');
      assert.ok(
        late.every(({ firstEventAtMs, type, receivedAtMs }) => {
          return firstEventAtMs <= receivedAtMs + type.deadlineMs;
        }),
      );
    });
  });
}
