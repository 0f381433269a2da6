/** Permits to send to targets that name rate limits, and when refused callers may come back. */
import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import {
  AskedWork,
  LOAN_MS,
  type Permits,
  type RateLimiter,
  createRateLimiter,
  lendShare,
  noteLimitNamed,
  permitsOf,
  seededRandom,
} from '../../../src/index.js';

const LIMIT_PER_S = 3;
const WINDOW_MS = 4000;
const STEP_MS = 10;

describe('the permits of a gateway', () => {
  let limiter: RateLimiter;
  let permits: Permits;
  let nowMs = 0;
  let gateways = 1;

  function name(target: string, perS: number): void {
    const answer = { work: AskedWork.Run, sentAtMs: nowMs, origin: `${target}/${String(nowMs)}` };
    noteLimitNamed(limiter.limits, { id: target, service: 's' }, perS, answer, nowMs);
  }

  /** Permits that are given in a while to callers who ask again and again. */
  function taken(target: string, forMs: number): number {
    let count = 0;
    for (const endsAtMs = nowMs + forMs; nowMs < endsAtMs; nowMs += STEP_MS) {
      if (!permits.has(target)) continue;
      permits.take(target);
      count += 1;
    }
    return count;
  }

  beforeEach(() => {
    nowMs = 0;
    gateways = 1;
    limiter = createRateLimiter(seededRandom(1), -LOAN_MS);
    permits = permitsOf(
      limiter,
      () => gateways,
      () => nowMs,
    );
  });

  it('never run out for a target that names no limit', () => {
    assert.equal(taken('t', WINDOW_MS), WINDOW_MS / STEP_MS);
  });

  it('are as many as a target takes, and nearly all of them are used', () => {
    name('t', LIMIT_PER_S);
    const most = (LIMIT_PER_S * WINDOW_MS) / 1000;
    const count = taken('t', WINDOW_MS);
    assert.ok(count <= most + 1 && count >= most - 1, String(count));
  });

  it('are a part of that where other gateways have theirs', () => {
    name('t', LIMIT_PER_S);
    gateways = LIMIT_PER_S;
    assert.ok(taken('t', WINDOW_MS) <= WINDOW_MS / 1000 + 1);
  });

  // Guards against a share that is used where it was lent and where it is owned.
  it('are none while the own share is lent', () => {
    name('t', LIMIT_PER_S);
    lendShare(limiter.shares, 's', 'other', 1, nowMs);
    assert.ok(taken('t', 1000) <= 1);
    assert.equal(permits.availableInMs('t'), Infinity);
  });

  // Guards against a target that takes nothing, is not asked, and so can never say that it is well.
  it('come now and then for a target that takes nothing', () => {
    name('t', 0);
    assert.ok(taken('t', 20_000) >= 1);
  });

  describe('asked back', () => {
    beforeEach(() => {
      name('t', LIMIT_PER_S);
      name('u', LIMIT_PER_S);
      taken('t', WINDOW_MS);
      taken('u', 1);
    });

    it('callers come when there is a permit', () => {
      const waitMs = permits.askBackInMs(['t']);
      assert.equal(waitMs, permits.availableInMs('t'));
      nowMs += waitMs;
      assert.equal(permits.has('t'), true);
    });

    // Guards against callers who are all told the same moment, at which one of them is served.
    it('callers come one after the other, as fast as the targets take them', () => {
      const first = permits.askBackInMs(['t', 'u']);
      const third = [1, 2].map(() => permits.askBackInMs(['t', 'u'])).at(-1) ?? 0;
      assert.equal(Math.round(third - first), Math.round((2 * 1000) / (2 * LIMIT_PER_S)));
    });
  });
});
