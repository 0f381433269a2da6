/** Keeps the retries of all processes together below the budget in every window. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import * as fc from 'fast-check';
import {
  type RetryWindow,
  type RetryWindowOptions,
  closeWindowRetry,
  createRetryWindow,
  openWindowRetry,
  recordWindowRequest,
  releaseWindowRetries,
  reserveWindowRetries,
} from '../../../src/index.js';

const OPTIONS: RetryWindowOptions = { windowMs: 10_000, ratio: 0.2, slack: 58 };
/** Longest time from a caller's send until the request is counted. */
const REQUEST_DELAY_MS = 250;
const PROCESSES = 5;

/** Sends a retry whose target answers at once, if the window allows it. */
function sendRetry(window: RetryWindow, slackShare: number, nowMs: number): boolean {
  if (!reserveWindowRetries(window, 1, slackShare, nowMs)) return false;
  if (!openWindowRetry(window, slackShare, nowMs)) return false;
  closeWindowRetry(window, nowMs);
  return true;
}

/** Sends requests at a steady rate that all fail, and returns the times of the retries. */
function retryAll(window: RetryWindow, perS: number, fromS: number, untilS: number): number[] {
  const retriesAtMs: number[] = [];
  for (let nowMs = fromS * 1000; nowMs < untilS * 1000; nowMs += 1000 / perS) {
    recordWindowRequest(window, nowMs);
    if (sendRetry(window, 0, nowMs)) retriesAtMs.push(nowMs);
  }
  return retriesAtMs;
}

describe('a retry window', () => {
  it('allows retries from its share of the slack while there are no requests', () => {
    const window = createRetryWindow(OPTIONS);
    const taken = Array.from({ length: 100 }, () => sendRetry(window, 29, 0)).filter(Boolean);
    assert.equal(taken.length, 29);
  });

  it('allows retries again after the window has passed', () => {
    const window = createRetryWindow(OPTIONS);
    assert.equal(sendRetry(window, 1, 0), true);
    assert.equal(sendRetry(window, 1, 9_999), false);
    assert.equal(sendRetry(window, 1, 10_101), true);
  });

  it('allows the ratio of its requests when everything fails', () => {
    const window = createRetryWindow(OPTIONS);
    const retries = retryAll(window, 20, 0, 60).filter((atMs) => atMs >= 20_000);
    const ratio = retries.length / (20 * 40);
    assert.ok(ratio > 0.18 && ratio <= 0.2, String(ratio));
  });

  it('allows a burst for half of the requests of a window when failures begin', () => {
    const window = createRetryWindow(OPTIONS);
    for (let nowMs = 0; nowMs < 20_000; nowMs += 50) recordWindowRequest(window, nowMs);
    let taken = 0;
    while (sendRetry(window, 0, 20_000)) taken += 1;
    assert.ok(taken >= 18 && taken <= 20, String(taken));
  });

  // A process that starts with an allowance of its own would add one to the budget at each restart.
  it('allows nothing to a process that has just started and counts no slack', () => {
    assert.equal(sendRetry(createRetryWindow(OPTIONS), 0, 0), false);
  });

  it('allows the retries of others again that were reserved and not sent', () => {
    const window = createRetryWindow(OPTIONS);
    assert.equal(reserveWindowRetries(window, 1, 1, 0), true);
    assert.equal(reserveWindowRetries(window, 1, 1, 0), false);
    releaseWindowRetries(window, 1);
    assert.equal(reserveWindowRetries(window, 1, 1, 0), true);
  });

  // A target that answers late may receive the retries of several windows at once.
  it('counts a retry until its target has answered', () => {
    const window = createRetryWindow(OPTIONS);
    assert.equal(reserveWindowRetries(window, 1, 1, 0), true);
    assert.equal(openWindowRetry(window, 1, 0), true);
    assert.equal(reserveWindowRetries(window, 1, 1, 15_000), false);
    closeWindowRetry(window, 15_000);
    assert.equal(reserveWindowRetries(window, 1, 1, 24_999), false);
    assert.equal(reserveWindowRetries(window, 1, 1, 25_101), true);
  });

  // A retry that was reserved for many requests and waits may come to be sent after a quiet time.
  it('withholds a reserved retry that it no longer has room for', () => {
    const window = createRetryWindow(OPTIONS);
    for (let nowMs = 0; nowMs < 3_000; nowMs += 100) recordWindowRequest(window, nowMs);
    assert.equal(reserveWindowRetries(window, 1, 0, 3_000), true);
    assert.equal(openWindowRetry(window, 0, 23_000), false);
  });

  // Processes that are killed and replaced again and again must not add up to more than the budget.
  it('keeps all processes together below the budget in every window, whichever are killed', () => {
    const step = fc.record({
      process: fc.nat(PROCESSES - 1),
      afterMs: fc.oneof(fc.nat(30), fc.constant(0), fc.nat(400)),
      delayMs: fc.nat(REQUEST_DELAY_MS),
      action: fc.constantFrom('request', 'request', 'request', 'retry', 'retry', 'kill'),
    });
    const runs = fc.array(step, { minLength: 300, maxLength: 900 });
    fc.assert(
      fc.property(runs, (steps) => {
        const windows = Array.from({ length: PROCESSES }, () => createRetryWindow(OPTIONS));
        const sentAtMs: number[] = [];
        const retriesAtMs: number[] = [];
        let nowMs = 100_000;
        for (const { process, afterMs, delayMs, action } of steps) {
          nowMs += afterMs;
          const window = windows[process];
          assert.ok(window);
          if (action === 'kill') windows[process] = createRetryWindow(OPTIONS);
          else if (action === 'request') {
            sentAtMs.push(nowMs - delayMs);
            recordWindowRequest(window, nowMs);
          } else {
            while (sendRetry(window, 0, nowMs)) retriesAtMs.push(nowMs);
          }
        }
        assertWithinRatio(sentAtMs, retriesAtMs);
      }),
      { seed: 3, numRuns: 200 },
    );
  });
});

/** Checks all windows that begin or end at a retry, against their requests and those before. */
function assertWithinRatio(sentAtMs: readonly number[], retriesAtMs: readonly number[]): void {
  const { windowMs, ratio } = OPTIONS;
  const countIn = (times: readonly number[], fromMs: number): number =>
    times.filter((each) => each >= fromMs && each <= fromMs + windowMs).length;
  for (const fromMs of retriesAtMs.flatMap((atMs) => [atMs, atMs - windowMs])) {
    const retries = countIn(retriesAtMs, fromMs);
    const requests = Math.max(countIn(sentAtMs, fromMs), countIn(sentAtMs, fromMs - windowMs));
    const allowed = requests * ratio;
    assert.ok(retries <= allowed + 1e-9, `${String(retries)} of ${String(allowed)}`);
  }
}
