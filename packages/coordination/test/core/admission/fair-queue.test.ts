/** Tests of the fair queue: how a workspace affects the waits of others, and the queue limits. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import {
  createFairQueue,
  enqueue,
  QueueRefusal,
  removeWhere,
  dequeue,
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
  describe('a workspace with a large backlog', () => {
    // Prevents starvation by a backlog: one workspace queues up to a hundred requests, then another
    // queues one. At most one request of the backlog may be served before the other's request.
    it('delays another workspace by at most one of its requests', () => {
      fc.assert(
        fc.property(
          fc.array(fc.integer({ min: 1, max: 10_000 }), { minLength: 1, maxLength: 100 }),
          fc.integer({ min: 0, max: 50 }),
          fc.integer({ min: 1, max: 10_000 }),
          (backlogCosts, maxDequeued, cost) => {
            const queue = createFairQueue<string>(1000, 1000);
            for (const backlogCost of backlogCosts) add(queue, 'hog', backlogCost);
            const dequeuedCount = Math.min(maxDequeued, backlogCosts.length - 1);
            for (let count = 0; count < dequeuedCount; count += 1) dequeue(queue);
            add(queue, 'newcomer', cost);
            const nextItems = [dequeue(queue), dequeue(queue)].map((waiting) => waiting?.item);
            assert.ok(nextItems.includes('newcomer'));
          },
        ),
        { seed: 5 },
      );
    });

    it('shares tokens with other backlogged workspaces by weight', () => {
      const queue = createFairQueue<string>(1000, 1000);
      for (let count = 0; count < 200; count += 1) {
        add(queue, 'heavy', 100, 3);
        add(queue, 'light', 100, 1);
      }
      const first = Array.from({ length: 100 }, () => dequeue(queue)?.item);
      const heavy = first.filter((item) => item === 'heavy').length;
      assert.ok(Math.abs(heavy - 75) <= 2);
    });

    it('may use all capacity that others leave idle', () => {
      const queue = createFairQueue<string>(10, 10);
      for (let count = 0; count < 10; count += 1) add(queue, 'hog', 100);
      for (let count = 0; count < 10; count += 1) assert.equal(dequeue(queue)?.item, 'hog');
    });
  });

  describe('queue limits', () => {
    it('rejects requests beyond the total and workspace limits and accepts later ones', () => {
      const queue = createFairQueue<string>(3, 2);
      assert.equal(add(queue, 'a', 1), null);
      assert.equal(add(queue, 'a', 1), null);
      assert.equal(add(queue, 'a', 1), QueueRefusal.WorkspaceFull);
      assert.equal(add(queue, 'b', 1), null);
      assert.equal(add(queue, 'c', 1), QueueRefusal.Full);
      dequeue(queue);
      assert.equal(add(queue, 'c', 1), null);
    });

    it('keeps no workspace state when empty', () => {
      const queue = createFairQueue<string>(1000, 10);
      for (let index = 0; index < 960; index += 1) add(queue, `w${String(index)}`, 5);
      assert.equal(removeWhere(queue, () => true).length, 960);
      assert.equal(queue.flows.size, 0);
      assert.equal(queue.queuedTokens, 0);
    });
  });
});
