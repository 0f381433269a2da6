/** Tests how deadlines and retry budgets are propagated along service dependencies. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  acceptBudget,
  MAX_RETRIES_PER_REQUEST,
  deriveInnerBudget,
  takeRetry,
} from '../../../src/core/dependencies/budget.js';

const SERVICE = { deadlineMs: 10_000 };

describe('call budgets', () => {
  describe('when a call is accepted', () => {
    it('default to the limits of the service', () => {
      const budget = acceptBudget(SERVICE, null);
      assert.deepEqual(budget, { remainingMs: 10_000, retriesLeft: MAX_RETRIES_PER_REQUEST });
    });

    it('stay between zero and the limits of the service', () => {
      const wide = acceptBudget(SERVICE, { remainingMs: 1e9, retriesLeft: 99 });
      assert.deepEqual(wide, { remainingMs: 10_000, retriesLeft: MAX_RETRIES_PER_REQUEST });
      const narrow = acceptBudget(SERVICE, { remainingMs: -5, retriesLeft: -1 });
      assert.deepEqual(narrow, { remainingMs: 0, retriesLeft: 0 });
    });
  });

  describe('when passed on', () => {
    it('are reduced by the elapsed time and a reserve', () => {
      const passed = deriveInnerBudget({ remainingMs: 10_000, retriesLeft: 1 }, 2_000);
      assert.deepEqual(passed, { remainingMs: 7_600, retriesLeft: 1 });
    });

    it('shrink at every level until an inner call would be useless', () => {
      let budget = acceptBudget({ deadlineMs: 1_000 }, null);
      let levels = 0;
      for (;;) {
        const passed = deriveInnerBudget(budget, 50);
        if (passed === null) break;
        assert.ok(passed.remainingMs < budget.remainingMs);
        budget = passed;
        levels += 1;
      }
      assert.ok(levels > 3 && levels < 20);
    });
  });

  describe('retries', () => {
    it('are shared by the whole call tree', () => {
      const first = takeRetry({ remainingMs: 100, retriesLeft: 2 });
      assert.ok(first);
      const passed = deriveInnerBudget(first, 0);
      assert.equal(passed?.retriesLeft, 1);
      const second = takeRetry(first);
      assert.equal(second && takeRetry(second), null);
    });
  });
});
