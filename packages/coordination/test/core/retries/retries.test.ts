/** Tests that retries are limited and spread, and that only suitable requests are hedged. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { seededRandom } from '../../../src/core/random/random.js';
import {
  DEFAULT_RETRY_OPTIONS,
  backOffMs,
  createRetryBudget,
  depositFirstAttempt,
  mayHedge,
  withdrawRetry,
} from '../../../src/core/retries/retries.js';

describe('retries', () => {
  // Prevents retry storms: in an overloaded fleet every request fails and every entry retries it,
  // so unlimited retries multiply the load. Here all attempts fail, in any order of arrivals and
  // retries.
  it('stay within ratio and burst when everything fails', () => {
    fc.assert(
      fc.property(fc.array(fc.boolean(), { maxLength: 2000 }), (arrivals) => {
        const budget = createRetryBudget(DEFAULT_RETRY_OPTIONS);
        let firstAttempts = 0;
        let retries = 0;
        for (const isArrival of arrivals) {
          if (isArrival) {
            firstAttempts += 1;
            depositFirstAttempt(budget, DEFAULT_RETRY_OPTIONS);
          } else if (withdrawRetry(budget)) retries += 1;
        }
        const { burst, ratio } = DEFAULT_RETRY_OPTIONS;
        assert.ok(retries <= burst + firstAttempts * ratio);
      }),
      { seed: 5, numRuns: 200 },
    );
  });

  it('are spread by full jitter under a doubling bound', () => {
    const random = seededRandom(3);
    for (let retry = 1; retry < 12; retry += 1) {
      const waitMs = backOffMs(retry, DEFAULT_RETRY_OPTIONS, random);
      assert.ok(waitMs >= 0 && waitMs <= Math.min(2000, 50 * 2 ** (retry - 1)));
    }
  });

  it('hedge only slow, repeatable requests that have received no tokens', () => {
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
