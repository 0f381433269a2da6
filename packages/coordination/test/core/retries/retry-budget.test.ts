/** Tests of the token bucket that limits retries to a ratio of the first attempts. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  createRetryBudget,
  DEFAULT_RETRY_OPTIONS,
  depositFirstAttempt,
  withdrawRetry,
} from '../../../src/core/retries/retries.js';

const OPTIONS = { ...DEFAULT_RETRY_OPTIONS, ratio: 0.1, burst: 10 };

describe('the retry budget of a service', () => {
  /*
   * A network switch fails and with it every call of a service. The targets that still answer must
   * not get twice the load. The bucket is empty after its burst and then allows one retry per ten
   * first attempts.
   */
  it('limits retries to a ratio of the first attempts when everything fails', () => {
    const budget = createRetryBudget(OPTIONS);
    let retries = 0;
    for (let call = 0; call < 1_000; call += 1) {
      depositFirstAttempt(budget, OPTIONS);
      if (withdrawRetry(budget)) retries += 1;
    }
    assert.ok(retries <= OPTIONS.burst + 100, `${String(retries)} retries`);
    assert.ok(retries >= 100);
  });

  // Entries that are restarted in series must not allow a burst of retries each time.
  it('grows by no more than the retries of one request at each restart', () => {
    let retries = 0;
    let firstAttempts = 0;
    const restarts = 50;
    for (let restart = 0; restart < restarts; restart += 1) {
      const budget = createRetryBudget(OPTIONS);
      for (let call = 0; call < 20; call += 1) {
        firstAttempts += 1;
        depositFirstAttempt(budget, OPTIONS);
        while (withdrawRetry(budget)) retries += 1;
      }
    }
    const allowed = firstAttempts * OPTIONS.ratio + restarts * (OPTIONS.maxAttempts - 1);
    assert.ok(retries > 0 && retries <= allowed, `${String(retries)} retries`);
  });

  it('holds no more tokens than its burst', () => {
    const budget = createRetryBudget(OPTIONS);
    for (let call = 0; call < 1_000; call += 1) depositFirstAttempt(budget, OPTIONS);
    assert.equal(budget.tokens, OPTIONS.burst);
  });
});
