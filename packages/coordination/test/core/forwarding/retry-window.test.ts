/** Keeps the retries of all gateways together below the budget in every window. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import * as fc from 'fast-check';
import {
  type RetryWindow,
  closeWindowRetry,
  createRetryWindow,
  openWindowRetry,
  recordWindowRequest,
  releaseWindowRetries,
  reserveWindowRetries,
} from '../../../src/index.js';

const OPTIONS = { windowMs: 10_000, ratio: 0.2, slack: 58 };

/** Sends a retry whose target answers at once, if the window allows it. */
function sendRetry(window: RetryWindow, gateways: number, nowMs: number): boolean {
  if (!reserveWindowRetries(window, 1, gateways, nowMs)) return false;
  assert.equal(openWindowRetry(window, gateways, nowMs), true);
  closeWindowRetry(window, nowMs);
  return true;
}

describe('a retry window', () => {
  it('allows retries from its slack while there are no requests', () => {
    const window = createRetryWindow(OPTIONS);
    const taken = Array.from({ length: 100 }, () => sendRetry(window, 1, 0)).filter(Boolean);
    assert.equal(taken.length, OPTIONS.slack / 2);
  });

  it('allows retries again after the window has passed', () => {
    const window = createRetryWindow({ ...OPTIONS, slack: 2 });
    assert.equal(sendRetry(window, 1, 0), true);
    assert.equal(sendRetry(window, 1, 9_999), false);
    assert.equal(sendRetry(window, 1, 10_001), true);
  });

  it('allows the retries of others again that were reserved and not sent', () => {
    const window = createRetryWindow({ ...OPTIONS, slack: 2 });
    assert.equal(reserveWindowRetries(window, 1, 1, 0), true);
    assert.equal(reserveWindowRetries(window, 1, 1, 0), false);
    releaseWindowRetries(window, 1);
    assert.equal(reserveWindowRetries(window, 1, 1, 0), true);
  });

  // A target that answers late may receive the retries of several windows at once.
  it('counts a retry until its target has answered', () => {
    const window = createRetryWindow({ ...OPTIONS, slack: 2 });
    assert.equal(reserveWindowRetries(window, 1, 1, 0), true);
    assert.equal(openWindowRetry(window, 1, 0), true);
    assert.equal(reserveWindowRetries(window, 1, 1, 15_000), false);
    closeWindowRetry(window, 15_000);
    assert.equal(reserveWindowRetries(window, 1, 1, 24_999), false);
    assert.equal(reserveWindowRetries(window, 1, 1, 25_001), true);
  });

  // A retry that was reserved for many requests and waits may come to be sent after a quiet time.
  it('withholds a reserved retry that it no longer has room for', () => {
    const window = createRetryWindow({ ...OPTIONS, slack: 0 });
    for (let request = 0; request < 10; request += 1) recordWindowRequest(window, 0);
    assert.equal(reserveWindowRetries(window, 1, 1, 0), true);
    assert.equal(openWindowRetry(window, 1, 10_001), false);
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
          } else {
            for (let sent = 0; sent < 2; sent += 1) {
              if (sendRetry(window, 5, nowMs)) retries.push(nowMs);
            }
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
