/** Fair queueing: what a workspace can do to the waits of others, and its bounds. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import {
  createFairQueue,
  enqueue,
  QueueRefusal,
  removeWhere,
  takeNext,
} from '../../../src/core/admission/fair-queue.js';
import type { FairQueue } from '../../../src/core/admission/fair-queue.js';

function add(
  queue: FairQueue<string>,
  workspace: string,
  costTokens: number,
  weight = 1,
): QueueRefusal | null {
  return enqueue(queue, { workspace, costTokens, weight, expiresAtMs: 1000, item: workspace });
}

describe('fair queue', () => {
  describe('a hog', () => {
    // Partners accuse each other of hogging. One sends hundreds of requests, then another sends
    // one. Whatever the hog queued, at most one of its requests goes before the newcomer's.
    it('delays a newcomer by at most one of its requests', () => {
      fc.assert(
        fc.property(
          fc.array(fc.integer({ min: 1, max: 10_000 }), { minLength: 1, maxLength: 100 }),
          fc.integer({ min: 0, max: 50 }),
          fc.integer({ min: 1, max: 10_000 }),
          (hogCosts, takenBefore, cost) => {
            const queue = createFairQueue<string>(1000, 1000);
            for (const hogCost of hogCosts) add(queue, 'hog', hogCost);
            const taken = Math.min(takenBefore, hogCosts.length - 1);
            for (let count = 0; count < taken; count += 1) takeNext(queue);
            add(queue, 'newcomer', cost);
            const next = [takeNext(queue), takeNext(queue)].map((waiting) => waiting?.item);
            assert.ok(next.includes('newcomer'));
          },
        ),
        { seed: 5 },
      );
    });

    it('gives backlogged workspaces tokens by their weights', () => {
      const queue = createFairQueue<string>(1000, 1000);
      for (let count = 0; count < 200; count += 1) {
        add(queue, 'heavy', 100, 3);
        add(queue, 'light', 100, 1);
      }
      const first = Array.from({ length: 100 }, () => takeNext(queue)?.item);
      const heavy = first.filter((item) => item === 'heavy').length;
      assert.ok(Math.abs(heavy - 75) <= 2);
    });

    it('may use all that others leave idle', () => {
      const queue = createFairQueue<string>(10, 10);
      for (let count = 0; count < 10; count += 1) add(queue, 'hog', 100);
      for (let count = 0; count < 10; count += 1) assert.equal(takeNext(queue)?.item, 'hog');
    });
  });

  describe('its bounds', () => {
    it('refuses beyond the bound of all and of one workspace, and takes again after', () => {
      const queue = createFairQueue<string>(3, 2);
      assert.equal(add(queue, 'a', 1), null);
      assert.equal(add(queue, 'a', 1), null);
      assert.equal(add(queue, 'a', 1), QueueRefusal.WorkspaceFull);
      assert.equal(add(queue, 'b', 1), null);
      assert.equal(add(queue, 'c', 1), QueueRefusal.Full);
      takeNext(queue);
      assert.equal(add(queue, 'c', 1), null);
    });

    it('keeps no state of workspaces when empty', () => {
      const queue = createFairQueue<string>(1000, 10);
      for (let index = 0; index < 960; index += 1) add(queue, `w${String(index)}`, 5);
      assert.equal(removeWhere(queue, () => true).length, 960);
      assert.equal(queue.flows.size, 0);
      assert.equal(queue.queuedTokens, 0);
    });
  });
});
