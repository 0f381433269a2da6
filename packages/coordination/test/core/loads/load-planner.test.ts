/** Loads within the weight store's rate. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { LoadWish, StoreStatus } from '../../../src/index.js';
import {
  LOAD_OPTIONS,
  LoadOutcome,
  createLoads,
  loadEnded,
  planLoads,
  seededRandom,
} from '../../../src/index.js';

const STORE: StoreStatus = { rateMbPerS: 100, activeFetches: 0, retryAfterMs: 0 };

function wish(index: number, changes: Partial<LoadWish> = {}): LoadWish {
  return {
    target: `t${String(index)}`,
    service: 'a',
    failureDomain: `fd-${String(index % 3)}`,
    model: 'm',
    version: '1',
    adapter: null,
    sizeMb: 100,
    holders: 0,
    ...changes,
  };
}

function at(nowMs: number) {
  return { nowMs, random: () => 0.5 };
}

describe('loads', () => {
  /**
   * A failure domain returns with a hundred empty engines. Left alone each would fetch its weights
   * at once, and the store, which serves a few, would turn all of them away again and again.
   */
  describe('after a failure domain returned', () => {
    it('start few at a time and stay under the share of the rate', () => {
      const state = createLoads(LOAD_OPTIONS, 0);
      const random = seededRandom(1);
      let wishes = Array.from({ length: 100 }, (_, index) => wish(index));
      const ends: { target: string; atMs: number }[] = [];
      let startedMb = 0;
      for (let nowMs = 0; nowMs <= 120_000; nowMs += 100) {
        for (const ended of ends.filter(({ atMs }) => atMs === nowMs)) {
          loadEnded(state, ended.target, LoadOutcome.Done, { nowMs, random });
        }
        for (const started of planLoads(state, wishes, STORE, { nowMs, random })) {
          startedMb += started.sizeMb;
          ends.push({ target: started.target, atMs: nowMs + 2_000 });
          wishes = wishes.filter((other) => other.target !== started.target);
        }
        assert.ok(state.active.size <= LOAD_OPTIONS.maxActive);
        assert.ok(startedMb <= (nowMs / 1_000) * 50 + 500);
      }
      assert.ok(startedMb >= 5_000);
    });

    it('go to where the fewest hold the model, then to another failure domain', () => {
      const state = createLoads(LOAD_OPTIONS, 0);
      const wishes = [wish(0, { holders: 4 }), wish(1), wish(4), wish(2)];
      const started = planLoads(state, wishes, STORE, at(60_000));
      assert.deepEqual(
        started.map((load) => load.target),
        ['t1', 't2', 't4'],
      );
    });

    it('let a model larger than the bucket through once it is full', () => {
      const state = createLoads(LOAD_OPTIONS, 0);
      const large = wish(0, { sizeMb: 5_000 });
      assert.deepEqual(planLoads(state, [large], STORE, at(9_900)), []);
      assert.deepEqual(planLoads(state, [large], STORE, at(10_000)), [large]);
      assert.deepEqual(planLoads(state, [wish(1)], STORE, at(60_000)), []);
    });
  });

  describe('told to slow down', () => {
    it('wait for twice as long each time, jittered, up to a bound', () => {
      const state = createLoads(LOAD_OPTIONS, 0);
      const waits: number[] = [];
      for (let time = 0; time < 10; time += 1) {
        state.notBeforeMs = 0;
        loadEnded(state, 't0', LoadOutcome.SlowDown, at(0));
        waits.push(state.notBeforeMs);
      }
      assert.deepEqual(waits.slice(0, 3), [1_500, 3_000, 6_000]);
      assert.ok(Math.max(...waits) <= LOAD_OPTIONS.maxSlowDownMs);
    });

    it('by the status start nothing until after it', () => {
      const state = createLoads(LOAD_OPTIONS, 0);
      const slow = { ...STORE, retryAfterMs: 4_000 };
      assert.deepEqual(planLoads(state, [wish(0)], slow, at(60_000)), []);
      assert.deepEqual(planLoads(state, [wish(0)], STORE, at(64_900)), []);
      assert.equal(planLoads(state, [wish(0)], STORE, at(65_000)).length, 1);
    });
  });
});
