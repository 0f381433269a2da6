/** Tests of admission control: early rejections and the order in which requests start. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  createAdmission,
  offer,
  pump,
  PumpResult,
  RouteKind,
  mayStart,
  sidecarAccepts,
  SERVICE_SHED,
  requeueRefused,
  WAIT_TOO_LONG,
  WORKSPACE_LIMIT,
  QUEUE_FULL,
} from '../../../src/index.js';
import type { Admission, AdmissionRequest, FairWaiting, RoutePlan } from '../../../src/index.js';

function createTestAdmission(maxWaiting = 100): Admission<string> {
  return createAdmission({ service: 's', maxWaiting, maxWaitingPerWorkspace: 50 });
}

function requestOf(item: string, overrides: Partial<AdmissionRequest<string>> = {}) {
  return {
    workspace: 'w',
    weight: 1,
    maxTokensPerS: null,
    costTokens: 1000,
    maxWaitMs: 300,
    item,
    ...overrides,
  };
}

const PLAN: RoutePlan = {
  kind: RouteKind.Whole,
  reader: 't',
  writer: 't',
  predictedFirstTokenMs: 100,
  predictedReadMs: 50,
  predictedStepMs: 40,
  memoryShort: false,
  prefillTokens: 1000,
  expectedOutputTokens: 100,
};

const RULE = {
  firstTokenGoalMs: 360,
  interTokenGoalMs: 80,
  firstTokenSlack: 1,
  stepSlack: 0.95,
  borrowedSlackFactor: 0.9,
};

describe('admission', () => {
  describe('a request that no target can start', () => {
    it('is rejected as not run when it expires, and is not sent afterwards', () => {
      const admission = createTestAdmission();
      assert.equal(offer(admission, requestOf('r'), 0), null);
      assert.deepEqual(
        pump(admission, 100, () => PumpResult.Wait),
        [],
      );
      const [expired] = pump(admission, 300, () => PumpResult.Sent);
      assert.equal(expired?.item, 'r');
      assert.ok(expired && WAIT_TOO_LONG.is(expired.failure));
      assert.ok(expired.failure.data.retryAfterMs > 0);
    });

    it('is rejected at once when the predicted wait is too long', () => {
      const admission = createTestAdmission();
      for (let nowMs = 0; nowMs < 2000; nowMs += 20) {
        offer(admission, requestOf('r', { maxWaitMs: 10_000 }), nowMs);
        let sent = 0;
        pump(admission, nowMs, () =>
          sent++ === 0 && nowMs % 200 === 0 ? PumpResult.Sent : PumpResult.Wait,
        );
      }
      const refused = offer(admission, requestOf('late'), 2000);
      assert.ok(refused && WAIT_TOO_LONG.is(refused));
    });
  });

  describe('a long prompt at the head', () => {
    // Head-of-line blocking: no target can start the prompt at the head now, and without look-ahead
    // all requests behind it would expire while targets have capacity.
    it('does not block short prompts and stays first in the queue', () => {
      const admission = createTestAdmission();
      for (const item of ['long', 'short'])
        offer(admission, requestOf(item, { workspace: item }), 0);
      const sent: string[] = [];
      const trySend = (item: string): PumpResult => {
        if (item === 'long') return PumpResult.Wait;
        sent.push(item);
        return PumpResult.Sent;
      };
      pump(admission, 1, trySend);
      assert.deepEqual(sent, ['short']);
      assert.equal(admission.queue.heap[0]?.item, 'long');
    });
  });

  describe('rejections', () => {
    it('state a full queue, a rate limit or a shed service as the reason', () => {
      const admission = createTestAdmission(1);
      assert.equal(offer(admission, requestOf('a'), 0), null);
      const full = offer(admission, requestOf('b', { workspace: 'v' }), 0);
      assert.ok(full && QUEUE_FULL.is(full));
      const limited = createTestAdmission();
      const request = requestOf('c', { maxTokensPerS: 500 });
      assert.equal(offer(limited, request, 0), null);
      const over = offer(limited, request, 0);
      assert.ok(over && WORKSPACE_LIMIT.is(over));
      limited.shed = true;
      const shed = offer(limited, requestOf('d'), 0);
      assert.ok(shed && SERVICE_SHED.is(shed));
    });

    it('requeue a request that a target rejected without charging its limit again', () => {
      const admission = createTestAdmission();
      const request = requestOf('a', { maxTokensPerS: 500 });
      assert.equal(offer(admission, request, 0), null);
      let dequeued: FairWaiting<string> | undefined;
      pump(admission, 0, (_, waiting) => {
        dequeued = waiting;
        return PumpResult.Sent;
      });
      assert.ok(dequeued);
      assert.equal(requeueRefused(admission, dequeued), null);
      assert.equal(admission.queue.heap.length, 1);
    });
  });

  describe('the start rule', () => {
    it('delays a request when its first token would be late, steps slow or memory short', () => {
      assert.equal(mayStart(RULE, PLAN, 0, false), true);
      assert.equal(mayStart(RULE, PLAN, 300, false), false);
      assert.equal(mayStart(RULE, { ...PLAN, predictedStepMs: 79 }, 0, false), false);
      assert.equal(mayStart(RULE, { ...PLAN, memoryShort: true }, 0, false), false);
    });

    it('reserves capacity from a workspace beyond its fair share', () => {
      const nearGoal = { ...PLAN, predictedStepMs: 72 };
      assert.equal(mayStart(RULE, nearGoal, 0, false), true);
      assert.equal(mayStart(RULE, nearGoal, 0, true), false);
    });

    it('starts a prompt whose prefill alone exceeds the first token goal', () => {
      const longPrompt = { ...PLAN, predictedReadMs: 500, predictedFirstTokenMs: 540 };
      assert.equal(mayStart(RULE, longPrompt, 0, false), true);
    });

    it('lets a sidecar reject a request that its own queue would delay too long', () => {
      assert.equal(sidecarAccepts({ aheadMs: 100 }, 50, 300), true);
      assert.equal(sidecarAccepts({ aheadMs: 300 }, 50, 300), false);
    });
  });
});
