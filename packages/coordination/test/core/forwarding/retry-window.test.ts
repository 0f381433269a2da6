/** Keeps the retries of all gateways together below the budget in every window. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import * as fc from 'fast-check';
import {
  createRetryWindow,
  recordWindowRequest,
  reserveWindowRetries,
} from '../../../src/index.js';

const OPTIONS = { windowMs: 10_000, ratio: 0.2, slack: 58 };

describe('a retry window', () => {
  it('allows retries from its slack while there are no requests', () => {
    const window = createRetryWindow(OPTIONS);
    const taken = Array.from({ length: 100 }, () => reserveWindowRetries(window, 1, 1, 0)).filter(
      Boolean,
    );
    assert.equal(taken.length, OPTIONS.slack / 2);
  });

  it('allows retries again after the window has passed', () => {
    const window = createRetryWindow({ ...OPTIONS, slack: 2 });
    assert.equal(reserveWindowRetries(window, 1, 1, 0), true);
    assert.equal(reserveWindowRetries(window, 1, 1, 9_999), false);
    assert.equal(reserveWindowRetries(window, 1, 1, 10_001), true);
  });

  // A service fails for ten seconds and each gateway sends as many retries as it may. If the gateways
  // did not share the budget, the service would receive more retries in a window than allowed.
  it('keeps all gateways together below the budget in every window', () => {
    const step = fc.record({ gateway: fc.nat(4), afterMs: fc.nat(200), retry: fc.boolean() });
    fc.assert(
      fc.property(fc.array(step, { minLength: 50, maxLength: 400 }), (steps) => {
        const windows = Array.from({ length: 5 }, () => createRetryWindow(OPTIONS));
        const requests: number[] = [];
        const retries: number[] = [];
        let nowMs = 0;
        for (const { gateway, afterMs, retry } of steps) {
          nowMs += afterMs;
          const window = windows[gateway];
          assert.ok(window);
          if (!retry) {
            requests.push(nowMs);
            recordWindowRequest(window, nowMs);
          } else if (reserveWindowRetries(window, 2, 5, nowMs)) {
            retries.push(nowMs, nowMs);
          }
          const within = (times: readonly number[]): number =>
            times.filter((each) => each >= nowMs - OPTIONS.windowMs).length;
          assert.ok(within(retries) <= within(requests) * OPTIONS.ratio + OPTIONS.slack);
        }
      }),
      { seed: 3 },
    );
  });
});
