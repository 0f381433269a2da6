/** Tests how gateways learn, share and end the rate limits that targets announce. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  RequestedWork,
  type AnnouncedLimits,
  type TargetAnswer,
  dropOldLimits,
  limitOf,
  limitReports,
  mergeLimits,
  recordNoLimit,
  recordLimit,
} from '../../../src/index.js';

const TARGET = { id: 't', service: 's' };
/** Longer than a limit is kept without an answer that announces it. */
const LONG_MS = 120_000;

let answers = 0;

function answer(sentAtMs: number, work: RequestedWork | null = RequestedWork.Run): TargetAnswer {
  answers += 1;
  return { work, sentAtMs, origin: `gateway/${String(answers)}` };
}

function limitedAt(atMs: number, work: RequestedWork | null = RequestedWork.Run): AnnouncedLimits {
  const limits: AnnouncedLimits = new Map();
  recordLimit(limits, TARGET, 3, answer(atMs - 20, work), atMs);
  return limits;
}

const perS = (limits: AnnouncedLimits, nowMs: number): number | undefined =>
  limitOf(limits, TARGET.id, nowMs)?.perS;

describe('a limit that a target announces', () => {
  describe('ends', () => {
    it('with an answer to a later request that announces none', () => {
      const limits = limitedAt(1000);
      assert.equal(recordNoLimit(limits, TARGET, answer(1100), 1200), true);
      assert.equal(perS(limits, 1200), undefined);
    });

    // Otherwise a target that receives no more requests would keep its limit forever.
    it('when no answer has announced it for a long time', () => {
      const limits = limitedAt(1000);
      assert.equal(perS(limits, 1000 + LONG_MS), undefined);
      assert.deepEqual(dropOldLimits(limits, 1000 + LONG_MS), [TARGET.id]);
      assert.equal(limits.size, 0);
    });
  });

  describe('stays', () => {
    // Such an answer may have been in transit when the target first announced its limit.
    it('when an answer to an earlier request announces none', () => {
      const limits = limitedAt(1000);
      assert.equal(recordNoLimit(limits, TARGET, answer(990), 1200), false);
      assert.equal(perS(limits, 1200), 3);
    });

    it('when a rejection, or a call that is not a request, announces none', () => {
      const limits = limitedAt(1000);
      recordNoLimit(limits, TARGET, answer(1100, null), 1200);
      assert.equal(perS(limits, 1200), 3);
    });

    // A target may announce its limit only in answers to one kind of work.
    it('when an answer to another kind of work announces none', () => {
      const limits = limitedAt(1000, RequestedWork.Run);
      recordNoLimit(limits, TARGET, answer(1100, RequestedWork.Read), 1200);
      assert.equal(perS(limits, 1200), 3);
    });
  });

  describe('is reported to other gateways', () => {
    it('with its age, independent of their clocks', () => {
      const reports = limitReports(limitedAt(1000), TARGET.service, 3000);
      const other: AnnouncedLimits = new Map();
      assert.deepEqual(mergeLimits(other, reports, 500_000), [TARGET.id]);
      assert.equal(limitOf(other, TARGET.id, 500_000)?.receivedAtMs, 498_000);
    });

    it('as ended, so that late reports do not restore it', () => {
      const local = limitedAt(1000);
      const remote: AnnouncedLimits = new Map();
      mergeLimits(remote, limitReports(local, TARGET.service, 1000), 1000);
      recordNoLimit(local, TARGET, answer(1100), 1200);
      mergeLimits(local, limitReports(remote, TARGET.service, 1300), 1300);
      assert.equal(perS(local, 1300), undefined);
      mergeLimits(remote, limitReports(local, TARGET.service, 1300), 1300);
      assert.equal(perS(remote, 1300), undefined);
    });

    // Otherwise gateways would keep a limit alive by reporting it to each other.
    it('without a reset of its age on the way there and back', () => {
      const local = limitedAt(1000);
      const remote: AnnouncedLimits = new Map();
      for (let nowMs = 1000; nowMs < LONG_MS; nowMs += 500) {
        mergeLimits(remote, limitReports(local, TARGET.service, nowMs), nowMs + 200);
        mergeLimits(local, limitReports(remote, TARGET.service, nowMs + 200), nowMs + 400);
      }
      assert.equal(perS(local, LONG_MS), undefined);
      assert.equal(perS(remote, LONG_MS), undefined);
    });
  });
});
