/** Tests the permits to send to rate-limited targets, and the retry delays of rejected callers. */
import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import {
  RequestedWork,
  LOAN_MS,
  type Permits,
  type RateLimiter,
  createRateLimiter,
  lendShare,
  recordLimit,
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

  function announceLimit(target: string, perS: number): void {
    const answer = {
      work: RequestedWork.Run,
      sentAtMs: nowMs,
      origin: `${target}/${String(nowMs)}`,
    };
    recordLimit(limiter.limits, { id: target, service: 's' }, perS, answer, nowMs);
  }

  /** Counts the permits granted within a time to callers that retry continuously. */
  function countGranted(target: string, forMs: number): number {
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

  it('never run out for a target that announces no limit', () => {
    assert.equal(countGranted('t', WINDOW_MS), WINDOW_MS / STEP_MS);
  });

  it('match the limit of a target, and nearly all of them are used', () => {
    announceLimit('t', LIMIT_PER_S);
    const limitPermits = (LIMIT_PER_S * WINDOW_MS) / 1000;
    const count = countGranted('t', WINDOW_MS);
    assert.ok(count <= limitPermits + 1 && count >= limitPermits - 1, String(count));
  });

  it('are a part of the limit when other gateways hold the other shares', () => {
    announceLimit('t', LIMIT_PER_S);
    gateways = LIMIT_PER_S;
    assert.ok(countGranted('t', WINDOW_MS) <= WINDOW_MS / 1000 + 1);
  });

  // Prevents a share from being used by both its owner and its borrower.
  it('are not granted while the own share is lent', () => {
    announceLimit('t', LIMIT_PER_S);
    lendShare(limiter.shares, 's', 'other', 1, nowMs);
    assert.ok(countGranted('t', 1000) <= 1);
    assert.equal(permits.availableInMs('t'), Infinity);
  });

  // A target that announces 0 and received no requests could never report its recovery.
  it('are granted occasionally for a target that accepts nothing', () => {
    announceLimit('t', 0);
    assert.ok(countGranted('t', 20_000) >= 1);
  });

  describe('for retries', () => {
    beforeEach(() => {
      announceLimit('t', LIMIT_PER_S);
      announceLimit('u', LIMIT_PER_S);
      countGranted('t', WINDOW_MS);
      countGranted('u', 1);
    });

    it('tell a caller to return when a permit becomes available', () => {
      const waitMs = permits.reserveRetryInMs(['t']);
      assert.equal(waitMs, permits.availableInMs('t'));
      nowMs += waitMs;
      assert.equal(permits.has('t'), true);
    });

    // Callers that all retry at the same moment would be rejected again, all but one of them.
    it('spread callers out at the combined rate of the targets', () => {
      const first = permits.reserveRetryInMs(['t', 'u']);
      const third = [1, 2].map(() => permits.reserveRetryInMs(['t', 'u'])).at(-1) ?? 0;
      assert.equal(Math.round(third - first), Math.round((2 * 1000) / (2 * LIMIT_PER_S)));
    });
  });
});
