/** Rate limits that targets name: who knows of them, and when they end. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  AskedWork,
  type NamedLimits,
  type TargetAnswer,
  dropOldLimits,
  limitOf,
  limitReports,
  mergeLimits,
  noteLimitMissing,
  noteLimitNamed,
} from '../../../src/index.js';

const TARGET = { id: 't', service: 's' };
/** Longer than a limit is kept without an answer that names it. */
const LONG_MS = 120_000;

let answers = 0;

function answer(sentAtMs: number, work: AskedWork | null = AskedWork.Run): TargetAnswer {
  answers += 1;
  return { work, sentAtMs, origin: `gateway/${String(answers)}` };
}

function limitedAt(atMs: number, work: AskedWork | null = AskedWork.Run): NamedLimits {
  const limits: NamedLimits = new Map();
  noteLimitNamed(limits, TARGET, 3, answer(atMs - 20, work), atMs);
  return limits;
}

const perS = (limits: NamedLimits, nowMs: number): number | undefined =>
  limitOf(limits, TARGET.id, nowMs)?.perS;

describe('a limit that a target names', () => {
  describe('ends', () => {
    it('with an answer to a later request that names none', () => {
      const limits = limitedAt(1000);
      assert.equal(noteLimitMissing(limits, TARGET, answer(1100), 1200), true);
      assert.equal(perS(limits, 1200), undefined);
    });

    // Guards against a target that keeps a limit for ever since nobody asks it any more.
    it('when no answer has named it for long', () => {
      const limits = limitedAt(1000);
      assert.equal(perS(limits, 1000 + LONG_MS), undefined);
      assert.deepEqual(dropOldLimits(limits, 1000 + LONG_MS), [TARGET.id]);
      assert.equal(limits.size, 0);
    });
  });

  describe('stands', () => {
    // Guards against an answer that was on its way when the target first named its limit.
    it('when an answer to an earlier request names none', () => {
      const limits = limitedAt(1000);
      assert.equal(noteLimitMissing(limits, TARGET, answer(990), 1200), false);
      assert.equal(perS(limits, 1200), 3);
    });

    it('when a refusal, or a call that is no request, names none', () => {
      const limits = limitedAt(1000);
      noteLimitMissing(limits, TARGET, answer(1100, null), 1200);
      assert.equal(perS(limits, 1200), 3);
    });

    // Guards against a target whose answers to one kind of work alone name its limit.
    it('when an answer to other work names none', () => {
      const limits = limitedAt(1000, AskedWork.Run);
      noteLimitMissing(limits, TARGET, answer(1100, AskedWork.Read), 1200);
      assert.equal(perS(limits, 1200), 3);
    });
  });

  describe('is told to other gateways', () => {
    it('with its age, whatever their clocks say', () => {
      const told = limitReports(limitedAt(1000), TARGET.service, 3000);
      const other: NamedLimits = new Map();
      assert.deepEqual(mergeLimits(other, told, 500_000), [TARGET.id]);
      assert.equal(limitOf(other, TARGET.id, 500_000)?.heardAtMs, 498_000);
    });

    it('as ended, so that nobody brings it back', () => {
      const here = limitedAt(1000);
      const there: NamedLimits = new Map();
      mergeLimits(there, limitReports(here, TARGET.service, 1000), 1000);
      noteLimitMissing(here, TARGET, answer(1100), 1200);
      mergeLimits(here, limitReports(there, TARGET.service, 1300), 1300);
      assert.equal(perS(here, 1300), undefined);
      mergeLimits(there, limitReports(here, TARGET.service, 1300), 1300);
      assert.equal(perS(there, 1300), undefined);
    });

    // Guards against gateways that keep a limit alive by telling it to each other.
    it('without growing younger on its way there and back', () => {
      const here = limitedAt(1000);
      const there: NamedLimits = new Map();
      for (let nowMs = 1000; nowMs < LONG_MS; nowMs += 500) {
        mergeLimits(there, limitReports(here, TARGET.service, nowMs), nowMs + 200);
        mergeLimits(here, limitReports(there, TARGET.service, nowMs + 200), nowMs + 400);
      }
      assert.equal(perS(here, LONG_MS), undefined);
      assert.equal(perS(there, LONG_MS), undefined);
    });
  });
});
