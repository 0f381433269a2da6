/** Admission: early and true refusals, and the order in which requests start. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  createAdmission,
  offer,
  pump,
  PumpResult,
  RouteKind,
  mayStart,
  sidecarTakes,
  SERVICE_SHED,
  takeBack,
  WAIT_TOO_LONG,
  WORKSPACE_LIMIT,
  QUEUE_FULL,
} from '../../../src/index.js';
import type { Admission, AdmissionRequest, FairWaiting, RoutePlan } from '../../../src/index.js';

function admissionOf(maxWaiting = 100): Admission<string> {
  return createAdmission({ service: 's', maxWaiting, maxWaitingPerWorkspace: 50 });
}

function ask(item: string, differing: Partial<AdmissionRequest<string>> = {}) {
  return {
    workspace: 'w',
    weight: 1,
    maxTokensPerS: null,
    costTokens: 1000,
    patienceMs: 300,
    item,
    ...differing,
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
  borrowedPart: 0.9,
};

describe('admission', () => {
  describe('a request that nobody can begin', () => {
    it('is refused as not run when its time is over, and never sent after', () => {
      const admission = admissionOf();
      assert.equal(offer(admission, ask('r'), 0), null);
      assert.deepEqual(
        pump(admission, 100, () => PumpResult.Wait),
        [],
      );
      const [expired] = pump(admission, 300, () => PumpResult.Sent);
      assert.equal(expired?.item, 'r');
      assert.ok(expired && WAIT_TOO_LONG.is(expired.failure));
      assert.ok(expired.failure.data.retryAfterMs > 0);
    });

    it('is refused at once when the queue ahead is known to take longer', () => {
      const admission = admissionOf();
      for (let nowMs = 0; nowMs < 2000; nowMs += 20) {
        offer(admission, ask('r', { patienceMs: 10_000 }), nowMs);
        let sent = 0;
        pump(admission, nowMs, () =>
          sent++ === 0 && nowMs % 200 === 0 ? PumpResult.Sent : PumpResult.Wait,
        );
      }
      const refused = offer(admission, ask('late'), 2000);
      assert.ok(refused && WAIT_TOO_LONG.is(refused));
    });
  });

  describe('a long prompt at the head', () => {
    // Users of short questions see refusals while engines have room: the prompt at the head fits
    // nowhere now, and all behind it wait until they are useless.
    it('lets short ones pass and stays first itself', () => {
      const admission = admissionOf();
      for (const item of ['long', 'short']) offer(admission, ask(item, { workspace: item }), 0);
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

  describe('refusals', () => {
    it('name a full queue, a limit and a shed service', () => {
      const admission = admissionOf(1);
      assert.equal(offer(admission, ask('a'), 0), null);
      const full = offer(admission, ask('b', { workspace: 'v' }), 0);
      assert.ok(full && QUEUE_FULL.is(full));
      const limited = admissionOf();
      const asked = ask('c', { maxTokensPerS: 500 });
      assert.equal(offer(limited, asked, 0), null);
      const over = offer(limited, asked, 0);
      assert.ok(over && WORKSPACE_LIMIT.is(over));
      limited.shed = true;
      const shed = offer(limited, ask('d'), 0);
      assert.ok(shed && SERVICE_SHED.is(shed));
    });

    it('take a bounced request back without charging its limit twice', () => {
      const admission = admissionOf();
      const asked = ask('a', { maxTokensPerS: 500 });
      assert.equal(offer(admission, asked, 0), null);
      let place: FairWaiting<string> | undefined;
      pump(admission, 0, (_, waiting) => {
        place = waiting;
        return PumpResult.Sent;
      });
      assert.ok(place);
      assert.equal(takeBack(admission, place), null);
      assert.equal(admission.queue.heap.length, 1);
    });
  });

  describe('the start rule', () => {
    it('waits when the first token would be late, the batch slow or the memory short', () => {
      assert.equal(mayStart(RULE, PLAN, 0, false), true);
      assert.equal(mayStart(RULE, PLAN, 300, false), false);
      assert.equal(mayStart(RULE, { ...PLAN, predictedStepMs: 79 }, 0, false), false);
      assert.equal(mayStart(RULE, { ...PLAN, memoryShort: true }, 0, false), false);
    });

    it('keeps room free from a workspace beyond its share', () => {
      const nearGoal = { ...PLAN, predictedStepMs: 72 };
      assert.equal(mayStart(RULE, nearGoal, 0, false), true);
      assert.equal(mayStart(RULE, nearGoal, 0, true), false);
    });

    it('lets a prompt start that is longer than the goal by itself', () => {
      const long = { ...PLAN, predictedReadMs: 500, predictedFirstTokenMs: 540 };
      assert.equal(mayStart(RULE, long, 0, false), true);
    });

    it('makes a sidecar refuse what its own queue would make late', () => {
      assert.equal(sidecarTakes({ aheadMs: 100 }, 50, 300), true);
      assert.equal(sidecarTakes({ aheadMs: 300 }, 50, 300), false);
    });
  });
});
