/** Tests the shares of rate limits that gateways lend to each other. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import {
  LOAN_MS,
  type LimitShares,
  createLimitShares,
  giveUpShares,
  lendShare,
  recordBorrowedShare,
  usableShare,
} from '../../../src/index.js';

const SERVICE = 's';
const GATEWAYS = 4;
/** Tolerance for rounding errors in sums of fractions. */
const EPSILON = 1e-9;

/** A gateway whose clock is ahead of the test's time. */
interface Gateway {
  readonly shares: LimitShares;
  readonly clockLeadMs: number;
}

/** A request of one gateway for another's share. The answer may be delayed or lost. */
interface ShareRequest {
  readonly borrower: number;
  readonly lender: number;
  /** Time since the previous request was sent. */
  readonly pauseMs: number;
  readonly requestDelayMs: number;
  readonly answerDelayMs: number;
  readonly isLost: boolean;
}

const SHARE_REQUEST = fc.record({
  borrower: fc.nat(GATEWAYS - 1),
  lender: fc.nat(GATEWAYS - 1),
  pauseMs: fc.nat(LOAN_MS),
  requestDelayMs: fc.nat(2 * LOAN_MS),
  answerDelayMs: fc.nat(2 * LOAN_MS),
  isLost: fc.boolean(),
});

/** Returns the largest sum of usable shares at any moment while these requests overlap. */
function largestSum(requests: readonly ShareRequest[], leadsMs: readonly number[]): number {
  const gateways = leadsMs.map((clockLeadMs) => ({
    shares: createLimitShares(clockLeadMs),
    clockLeadMs,
  }));
  const due: { readonly atMs: number; readonly run: () => void }[] = [];
  let sentAtMs = 0;
  for (const { borrower, lender, pauseMs, requestDelayMs, answerDelayMs, isLost } of requests) {
    sentAtMs += pauseMs;
    const [from, to] = [gateways[borrower], gateways[lender]];
    if (from === undefined || to === undefined || from === to) continue;
    const sentAtBorrowerMs = sentAtMs + from.clockLeadMs;
    const arrivesAtMs = sentAtMs + requestDelayMs;
    const lend = (): void => {
      const nowMs = arrivesAtMs + to.clockLeadMs;
      const fraction = lendShare(to.shares, SERVICE, String(borrower), GATEWAYS, nowMs);
      if (isLost) return;
      due.push({
        atMs: arrivesAtMs + answerDelayMs,
        run: () => {
          recordBorrowedShare(from.shares, SERVICE, String(lender), fraction, sentAtBorrowerMs);
        },
      });
    };
    due.push({ atMs: arrivesAtMs, run: lend });
  }
  let largest = 0;
  while (due.length > 0) {
    due.sort((a, b) => a.atMs - b.atMs);
    const next = due.shift();
    if (next === undefined) break;
    next.run();
    largest = Math.max(largest, sumAt(gateways, next.atMs));
  }
  return largest;
}

function sumAt(gateways: readonly Gateway[], atMs: number): number {
  return gateways.reduce(
    (sum, { shares, clockLeadMs }) =>
      sum + usableShare(shares, SERVICE, GATEWAYS, atMs + clockLeadMs),
    0,
  );
}

describe('shares of a rate limit', () => {
  // Prevents a limit from being used twice while gateways disagree on who decides for the service.
  it('never add up to more than the limit, with any delays and losses', () => {
    const leads = fc.array(fc.nat(1e6), { minLength: GATEWAYS, maxLength: GATEWAYS });
    fc.assert(
      fc.property(fc.array(SHARE_REQUEST, { maxLength: 40 }), leads, (requests, leadsMs) => {
        assert.ok(largestSum(requests, leadsMs) <= 1 + EPSILON);
      }),
      { seed: 1, numRuns: 500 },
    );
  });

  // Without loans, a gateway that receives all the demand could use only its own part of the limit.
  it('are all usable at the deciding gateway when every other gateway lends to it', () => {
    const shares = createLimitShares(-LOAN_MS);
    for (const lender of ['b', 'c', 'd'])
      recordBorrowedShare(shares, SERVICE, lender, 1 / GATEWAYS, 0);
    assert.equal(usableShare(shares, SERVICE, GATEWAYS, 100), 1);
  });

  it('return to their owner when a loan is not renewed', () => {
    const shares = createLimitShares(-LOAN_MS);
    lendShare(shares, SERVICE, 'b', GATEWAYS, 0);
    assert.equal(usableShare(shares, SERVICE, GATEWAYS, LOAN_MS - 1), 0);
    assert.equal(usableShare(shares, SERVICE, GATEWAYS, LOAN_MS), 1 / GATEWAYS);
  });

  // A share may still be on loan when its owner restarts.
  it('are withheld until loans of an earlier incarnation have expired', () => {
    const shares = createLimitShares(0);
    assert.equal(usableShare(shares, SERVICE, GATEWAYS, LOAN_MS - 1), 0);
    assert.equal(lendShare(shares, SERVICE, 'b', GATEWAYS, LOAN_MS - 1), 0);
    assert.equal(usableShare(shares, SERVICE, GATEWAYS, LOAN_MS), 1 / GATEWAYS);
  });

  // The other gateways have already divided the shares of a gateway that leaves.
  it('are neither used nor lent by a gateway that leaves', () => {
    const shares = createLimitShares(-LOAN_MS);
    giveUpShares(shares);
    assert.equal(usableShare(shares, SERVICE, GATEWAYS, 0), 0);
    assert.equal(lendShare(shares, SERVICE, 'b', GATEWAYS, 0), 0);
  });

  it('are lent to one gateway at a time', () => {
    const shares = createLimitShares(-LOAN_MS);
    lendShare(shares, SERVICE, 'b', GATEWAYS, 0);
    assert.equal(lendShare(shares, SERVICE, 'c', GATEWAYS, LOAN_MS - 1), 0);
    assert.equal(lendShare(shares, SERVICE, 'c', GATEWAYS, LOAN_MS), 1 / GATEWAYS);
  });
});
