/** Shares of rate limits that gateways lend each other. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import {
  LOAN_MS,
  type LimitShares,
  createLimitShares,
  giveUpShares,
  lendShare,
  noteBorrowed,
  usableShare,
} from '../../../src/index.js';

const SERVICE = 's';
const GATEWAYS = 4;
/** Rounding of sums. */
const EPSILON = 1e-9;

/** A gateway with a clock of its own that may stand still. */
interface Gateway {
  readonly shares: LimitShares;
  readonly clockLeadMs: number;
}

/** Things that happen, in order: one asks another for its share, the answer comes late or never. */
interface Question {
  readonly borrower: number;
  readonly lender: number;
  readonly pauseMs: number;
  readonly thereMs: number;
  readonly backMs: number;
  readonly isLost: boolean;
}

const QUESTION = fc.record({
  borrower: fc.nat(GATEWAYS - 1),
  lender: fc.nat(GATEWAYS - 1),
  pauseMs: fc.nat(LOAN_MS),
  thereMs: fc.nat(2 * LOAN_MS),
  backMs: fc.nat(2 * LOAN_MS),
  isLost: fc.boolean(),
});

/** The largest sum of shares at any moment while these questions cross. */
function largestSum(questions: readonly Question[], leadsMs: readonly number[]): number {
  const gateways = leadsMs.map((clockLeadMs) => ({
    shares: createLimitShares(clockLeadMs),
    clockLeadMs,
  }));
  const due: { readonly atMs: number; readonly run: () => void }[] = [];
  let askedAtMs = 0;
  for (const { borrower, lender, pauseMs, thereMs, backMs, isLost } of questions) {
    askedAtMs += pauseMs;
    const [from, to] = [gateways[borrower], gateways[lender]];
    if (from === undefined || to === undefined || from === to) continue;
    const asked = askedAtMs + from.clockLeadMs;
    const arrivesAtMs = askedAtMs + thereMs;
    const lend = (): void => {
      const nowMs = arrivesAtMs + to.clockLeadMs;
      const fraction = lendShare(to.shares, SERVICE, String(borrower), GATEWAYS, nowMs);
      if (isLost) return;
      due.push({
        atMs: arrivesAtMs + backMs,
        run: () => {
          noteBorrowed(from.shares, SERVICE, String(lender), fraction, asked);
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
  // Guards against a limit that is used twice while gateways disagree on who decides.
  it('never add up to more than the limit, whoever asks whom, however late and lost', () => {
    const leads = fc.array(fc.nat(1e6), { minLength: GATEWAYS, maxLength: GATEWAYS });
    fc.assert(
      fc.property(fc.array(QUESTION, { maxLength: 40 }), leads, (questions, leadsMs) => {
        assert.ok(largestSum(questions, leadsMs) <= 1 + EPSILON);
      }),
      { seed: 1, numRuns: 500 },
    );
  });

  // Guards against a limit of which only one gateway's part is used while all demand is there.
  it('are all with the gateway that decides, where all lend', () => {
    const shares = createLimitShares(-LOAN_MS);
    for (const lender of ['b', 'c', 'd']) noteBorrowed(shares, SERVICE, lender, 1 / GATEWAYS, 0);
    assert.equal(usableShare(shares, SERVICE, GATEWAYS, 100), 1);
  });

  it('go back to their owners when a loan is not renewed', () => {
    const shares = createLimitShares(-LOAN_MS);
    lendShare(shares, SERVICE, 'b', GATEWAYS, 0);
    assert.equal(usableShare(shares, SERVICE, GATEWAYS, LOAN_MS - 1), 0);
    assert.equal(usableShare(shares, SERVICE, GATEWAYS, LOAN_MS), 1 / GATEWAYS);
  });

  // Guards against a gateway that starts again while its share is still lent.
  it('are used and lent only when loans of an earlier start have ended', () => {
    const shares = createLimitShares(0);
    assert.equal(usableShare(shares, SERVICE, GATEWAYS, LOAN_MS - 1), 0);
    assert.equal(lendShare(shares, SERVICE, 'b', GATEWAYS, LOAN_MS - 1), 0);
    assert.equal(usableShare(shares, SERVICE, GATEWAYS, LOAN_MS), 1 / GATEWAYS);
  });

  // Guards against a gateway that leaves and uses what the others have divided among them.
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
