/** The waiting lines of a service's engines, on a virtual clock. */
import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import {
  type Decision,
  DecisionKind,
  EnginePhase,
  type Job,
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

const SPEC = {
  slots: 64,
  kvCapacityTokens: 400_000,
  kvTokenBytes: 18_432,
  linkMbps: 370_000,
  kvRetentionMs: 5000,
};

function engine(id: string, phase: EnginePhase, failureDomain = 'eros-hall'): TargetEntry {
  const address = `${id}:80`;
  const start = { id, name: id, bornAtMs: 0 };
  return { ...start, service: 's', address, failureDomain, slots: 64, draining: false, phase };
}

let lastJob = 0;

function job(shared: string, ownTokens: number, change: Partial<Job> = {}): Job {
  lastJob += 1;
  const id = `job-${String(lastJob)}`;
  return {
    id,
    route: 'audit',
    priority: 1,
    parts: [
      { id: shared, tokens: 10_000 },
      { id, tokens: ownTokens },
    ],
    outputTokens: 50,
    failureDomain: 'eros-hall',
    aimAtMs: 800,
    deadlineAtMs: 3000,
    avoid: [],
    ...change,
  };
}

function runs(decisions: readonly Decision[]): readonly string[] {
  return decisions.flatMap((each) => (each.kind === DecisionKind.Run ? [each.jobId] : []));
}

function planOf(
  decisions: readonly Decision[],
): Extract<Decision, { kind: DecisionKind.Run }>['plan'] {
  const [decision] = decisions;
  assert.ok(decision?.kind === DecisionKind.Run);
  return decision.plan;
}

function read(
  scheduler: Scheduler,
  jobId: string,
  target: string,
  nowMs: number,
): readonly Decision[] {
  return noteJobEvents(scheduler, [{ kind: JobEventKind.Read, jobId, target }], nowMs);
}

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

  describe('under overload', () => {
    const single = [
      engine('reader-1', EnginePhase.Prefill),
      engine('streamer', EnginePhase.Decode),
    ];

    beforeEach(() => {
      noteEngines(scheduler, single, SPEC);
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
