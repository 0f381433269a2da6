/** Retries: bounded whatever fails, spread, never for calls that may not be repeated. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { seededRandom } from '../../../src/core/random/random.js';
import {
  DEFAULT_RETRY_OPTIONS,
  backOffMs,
  createRetryBudget,
  depositFirstTry,
  mayHedge,
  withdrawRetry,
} from '../../../src/core/retries/retries.js';

describe('retries', () => {
  // Story: the fleet is overloaded, every request fails, every entry tries again; the load doubles
  // and doubles. Cause: retries without a bound. Here all tries fail, whatever their order.
  it('cannot form a storm: all failing, they stay within ratio and burst', () => {
    fc.assert(
      fc.property(fc.array(fc.boolean(), { maxLength: 2000 }), (arrivals) => {
        const budget = createRetryBudget(DEFAULT_RETRY_OPTIONS);
        let first = 0;
        let retried = 0;
        for (const isArrival of arrivals) {
          if (isArrival) {
            first += 1;
            depositFirstTry(budget, DEFAULT_RETRY_OPTIONS);
          } else if (withdrawRetry(budget)) retried += 1;
        }
        const { burst, ratio } = DEFAULT_RETRY_OPTIONS;
        assert.ok(retried <= burst + first * ratio);
      }),
      { seed: 5, numRuns: 200 },
    );
  });

  it('are spread by full jitter under a bound that doubles', () => {
    const random = seededRandom(3);
    for (let retry = 1; retry < 12; retry += 1) {
      const waitMs = backOffMs(retry, DEFAULT_RETRY_OPTIONS, random);
      assert.ok(waitMs >= 0 && waitMs <= Math.min(2000, 50 * 2 ** (retry - 1)));
    }
  });

  it('hedge only what may run twice, is slow and has made no text', () => {
    const budget = createRetryBudget(DEFAULT_RETRY_OPTIONS);
    const slow = {
      repeatable: true,
      suspect: false,
      tokensReceived: 0,
      waitedMs: 900,
      slowAfterMs: 500,
    };
    assert.equal(mayHedge(slow, budget), true);
    assert.equal(mayHedge({ ...slow, repeatable: false }, budget), false);
    assert.equal(mayHedge({ ...slow, suspect: true }, budget), false);
    assert.equal(mayHedge({ ...slow, tokensReceived: 1 }, budget), false);
    assert.equal(mayHedge({ ...slow, waitedMs: 100 }, budget), false);
    assert.equal(mayHedge(slow, { tokens: 0.5 }), false);
  });
});
