/** Planning of loads within the rate of the weight store. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { LoadRequest, StoreStatus } from '../../../src/index.js';
import {
  LOAD_OPTIONS,
  LoadOutcome,
  createLoads,
  loadEnded,
  planLoads,
  seededRandom,
} from '../../../src/index.js';

const STORE: StoreStatus = { rateMbPerS: 100, activeFetches: 0, retryAfterMs: 0 };

function loadOf(index: number, changes: Partial<LoadRequest> = {}): LoadRequest {
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
   * A failure domain returns with a hundred empty engines. Without planning, all engines would
   * fetch their weights at once, and the store, which serves a few at a time, would reject them
   * repeatedly.
   */
  describe('after a failure domain returned', () => {
    it('start a few at a time and stay within the share of the rate', () => {
      const state = createLoads(LOAD_OPTIONS, 0);
      const random = seededRandom(1);
      let requestedLoads = Array.from({ length: 100 }, (_, index) => loadOf(index));
      const loadEnds: { target: string; atMs: number }[] = [];
      let startedMb = 0;
      for (let nowMs = 0; nowMs <= 120_000; nowMs += 100) {
        for (const ended of loadEnds.filter(({ atMs }) => atMs === nowMs)) {
          loadEnded(state, ended.target, LoadOutcome.Done, { nowMs, random });
        }
        for (const started of planLoads(state, requestedLoads, STORE, { nowMs, random })) {
          startedMb += started.sizeMb;
          loadEnds.push({ target: started.target, atMs: nowMs + 2_000 });
          requestedLoads = requestedLoads.filter((load) => load.target !== started.target);
        }
        assert.ok(state.active.size <= LOAD_OPTIONS.maxActive);
        assert.ok(startedMb <= (nowMs / 1_000) * 50 + 500);
      }
      assert.ok(startedMb >= 5_000);
    });

    it('start with the model with the fewest holders, then in another failure domain', () => {
      const state = createLoads(LOAD_OPTIONS, 0);
      const requestedLoads = [loadOf(0, { holders: 4 }), loadOf(1), loadOf(4), loadOf(2)];
      const started = planLoads(state, requestedLoads, STORE, at(60_000));
      assert.deepEqual(
        started.map((load) => load.target),
        ['t1', 't2', 't4'],
      );
    });

    it('start a model larger than the bucket when the bucket is full', () => {
      const state = createLoads(LOAD_OPTIONS, 0);
      const largeLoad = loadOf(0, { sizeMb: 5_000 });
      assert.deepEqual(planLoads(state, [largeLoad], STORE, at(9_900)), []);
      assert.deepEqual(planLoads(state, [largeLoad], STORE, at(10_000)), [largeLoad]);
      assert.deepEqual(planLoads(state, [loadOf(1)], STORE, at(60_000)), []);
    });
  });

  describe('after a "slow down" answer', () => {
    it('wait twice as long each time, with jitter, up to a maximum', () => {
      const state = createLoads(LOAD_OPTIONS, 0);
      const waitsMs: number[] = [];
      for (let time = 0; time < 10; time += 1) {
        state.notBeforeMs = 0;
        loadEnded(state, 't0', LoadOutcome.SlowDown, at(0));
        waitsMs.push(state.notBeforeMs);
      }
      assert.deepEqual(waitsMs.slice(0, 3), [1_500, 3_000, 6_000]);
      assert.ok(Math.max(...waitsMs) <= LOAD_OPTIONS.maxSlowDownMs);
    });

    it("do not start before the time in the store's status has passed", () => {
      const state = createLoads(LOAD_OPTIONS, 0);
      const slowStore = { ...STORE, retryAfterMs: 4_000 };
      assert.deepEqual(planLoads(state, [loadOf(0)], slowStore, at(60_000)), []);
      assert.deepEqual(planLoads(state, [loadOf(0)], STORE, at(64_900)), []);
      assert.equal(planLoads(state, [loadOf(0)], STORE, at(65_000)).length, 1);
    });
  });
});
