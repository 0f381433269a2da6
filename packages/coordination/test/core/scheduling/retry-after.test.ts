/** Tests when refused callers return, and which of them are refused again. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  Activation,
  DecisionKind,
  EnginePhase,
  RefusalReason,
  SCHEDULER_OPTIONS,
  type Scheduler,
  createScheduler,
  submitJob,
  syncEngines,
} from '../../../src/index.js';
import { ALL_RETRY } from '../../fixtures/load-patterns.js';
import { replayLoad } from '../../fixtures/load-replay.js';
import { SPEC, engine, job, reportPrefilled, startedJobIds } from '../../fixtures/scheduling.js';

const ALWAYS = {
  ...SCHEDULER_OPTIONS,
  drainRateRetries: Activation.Always,
  retriesFirst: Activation.Always,
};
const MIN_RETRY_MS = 300;
const MIN_APART_MS = 1;
const CALLERS = 30;

function startScheduler(): Scheduler {
  const scheduler = createScheduler(ALWAYS);
  const engines = [engine('reader-1', EnginePhase.Prefill), engine('streamer', EnginePhase.Decode)];
  syncEngines(scheduler, engines, SPEC);
  return scheduler;
}

describe('refused callers', () => {
  describe('that all retry', () => {
    const { requests } = replayLoad(ALL_RETRY, ALWAYS);
    const refused = requests.flatMap(({ type, receivedAtMs, refusals }) =>
      refusals.slice(0, 1).map(({ atMs, retryAfterMs }) => ({
        retryAfterMs,
        maxRetryMs: (receivedAtMs + type.deadlineMs - atMs) / 3,
      })),
    );

    // A later time exceeds what callers honor; an earlier one brings them back before capacity is.
    it('are given from 300 ms to a third of their remaining time', () => {
      assert.ok(refused.length > 100, 'it is an overload');
      for (const { retryAfterMs, maxRetryMs } of refused) {
        assert.ok(retryAfterMs >= MIN_RETRY_MS);
        assert.ok(retryAfterMs <= Math.max(MIN_RETRY_MS, maxRetryMs));
      }
    });

    // Between 1,100 and 1,700 callers per run were refused twice, most of them needlessly.
    it('are refused again only if their answer cannot arrive before the deadline', () => {
      const again = requests.flatMap(({ refusals }) => refusals.slice(1));
      assert.ok(again.every(({ reason }) => reason === RefusalReason.TooLate));
    });
  });

  // Callers that are told the same time return together, and most of them are refused again.
  it('are given different times if they are refused at the same time', () => {
    const scheduler = startScheduler();
    submitJob(scheduler, job('a', 9000), 0);
    const delaysMs = Array.from({ length: CALLERS }, () => {
      const [refusal] = submitJob(scheduler, job('b', 3000, { aimAtMs: 100 }), 1);
      assert.ok(refusal?.kind === DecisionKind.Refuse);
      return refusal.retryAfterMs;
    }).sort((left, right) => left - right);
    delaysMs.slice(1).forEach((delayMs, index) => {
      assert.ok(delayMs - (delaysMs[index] ?? 0) >= MIN_APART_MS, delaysMs.join(' '));
    });
  });

  describe('that retry while their engine is busy', () => {
    const scheduler = startScheduler();
    const retried = job('a', 3000, { aimAtMs: 400, deadlineAtMs: 3000 });

    // A caller that has waited for its retry would otherwise wait in vain.
    it('go before new jobs of their priority', () => {
      const first = job('a', 9000);
      submitJob(scheduler, first, 0);
      const [refusal] = submitJob(scheduler, retried, 1);
      assert.equal(refusal?.kind, DecisionKind.Refuse);
      const fresh = job('a', 300, { aimAtMs: 3000 });
      assert.deepEqual(submitJob(scheduler, fresh, 300), []);
      const retry = { ...retried, id: `${retried.id}/2` };
      assert.deepEqual(submitJob(scheduler, retry, 301), []);
      const started = startedJobIds(reportPrefilled(scheduler, first.id, 'reader-1', 500));
      assert.equal(started[0], retry.id);
    });
  });
});
