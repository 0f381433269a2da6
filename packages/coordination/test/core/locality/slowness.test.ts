/** Tests the estimates of a target's speed, and the distribution of work by them. */
import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import {
  type BusyTime,
  type Slowness,
  addBusyTime,
  busyTimeAt,
  createAverageTime,
  createBusyTime,
  createLeavingShare,
  createSlowness,
  decideLocality,
  localityOptions,
  recordServiceTime,
  recordSlowness,
  slownessAt,
} from '../../../src/index.js';

const SAMPLE_MS = 50;

describe('the slowness of a target', () => {
  let slowness: Slowness;

  const feed = (fromMs: number, toMs: number, ratio: number): void => {
    for (let nowMs = fromMs; nowMs < toMs; nowMs += SAMPLE_MS) {
      recordSlowness(slowness, 40 * ratio, 40, nowMs);
    }
  };

  beforeEach(() => {
    slowness = createSlowness();
  });

  it('is average without samples, and with too few of them', () => {
    assert.equal(slownessAt(slowness, 0), 1);
    feed(0, 900, 5);
    assert.equal(slownessAt(slowness, 1500), 1);
  });

  it('follows a lasting change within three seconds', () => {
    feed(0, 6000, 0.6);
    assert.equal(slownessAt(slowness, 6000), 0.6);
    feed(6000, 9000, 1.6);
    assert.equal(slownessAt(slowness, 9000), 1.6);
  });

  // A stall of less than a second made a mean avoid its target for many seconds.
  it('is not changed after a transient of 0.8 s, wherever it begins', () => {
    for (let startMs = 6000; startMs < 7000; startMs += SAMPLE_MS) {
      slowness = createSlowness();
      feed(0, startMs, 1.6);
      feed(startMs, startMs + 800, 10);
      for (let nowMs = startMs + 800; nowMs < startMs + 6000; nowMs += SAMPLE_MS) {
        feed(nowMs, nowMs + SAMPLE_MS, 1.6);
        assert.ok(Math.abs(slownessAt(slowness, nowMs) - 1.6) < 1e-9);
      }
    }
  });

  it('returns to average after 10 s without samples', () => {
    feed(0, 6000, 3);
    assert.equal(slownessAt(slowness, 9000), 3);
    assert.equal(slownessAt(slowness, 16_500), 1);
  });

  it('ignores work without an expected time', () => {
    recordSlowness(slowness, 40, 0, 0);
    assert.equal(slowness.buckets.length, 0);
  });
});

describe('the average of a service', () => {
  it('counts the first samples equally and follows later ones slowly', () => {
    const average = createAverageTime();
    recordServiceTime(average, 20, 0);
    recordServiceTime(average, 40, 1);
    assert.equal(average.meanMs, 30);
    for (let nowMs = 2; nowMs < 2000; nowMs += 1) recordServiceTime(average, 30, nowMs);
    for (let nowMs = 2000; nowMs < 4000; nowMs += 100) recordServiceTime(average, 130, nowMs);
    assert.ok(average.meanMs < 45);
  });
});

/** Plays even demand on targets of one domain that serve one request at a time. */
function playTargets(slownesses: readonly number[], load: number): readonly number[] {
  const serviceMs = 20;
  const targets = slownesses.map((factor) => ({
    factor,
    freeAtMs: 0,
    workMs: 0,
    slowness: createSlowness(),
    busy: createBusyTime(),
  }));
  const capacity = slownesses.reduce((sum, factor) => sum + 1 / factor, 0);
  const gapMs = serviceMs / (capacity * load);
  const leaving = createLeavingShare();
  const startMs = 10_000;
  for (let nowMs = 0; nowMs < 40_000; nowMs += gapMs) {
    const candidates = targets.map((target) => {
      const ownMs = serviceMs * slownessAt(target.slowness, nowMs);
      const expectedMs = Math.max(0, target.freeAtMs - nowMs) + ownMs;
      const balanceMs = busyTimeAt(target.busy, nowMs);
      return { target, ownMs, isLocal: true, expectedMs, balanceMs, isKnown: true };
    });
    const chosen = decideLocality(candidates, leaving, localityOptions(), nowMs);
    assert.ok(chosen !== null);
    const { target, ownMs } = chosen.candidate;
    const actualMs = serviceMs * target.factor;
    target.freeAtMs = Math.max(nowMs, target.freeAtMs) + actualMs;
    recordSlowness(target.slowness, actualMs, serviceMs, target.freeAtMs);
    addBusyTime(target.busy, ownMs, nowMs);
    if (nowMs >= startMs) target.workMs += actualMs;
  }
  return targets.map(({ workMs }) => workMs);
}

describe('work among the targets of one domain', () => {
  const cases = [
    { name: 'one slow target of three', slownesses: [1, 3, 1] },
    { name: 'speeds of 0.6, 1 and 1.6', slownesses: [1 / 0.6, 1, 1 / 1.6] },
  ];
  for (const { name, slownesses } of cases) {
    for (const load of [0.2, 0.5, 0.8]) {
      // An equal number of requests keeps slow targets busy for longer than fast ones.
      it(`is in proportion to speed: ${name} at load ${String(load)}`, () => {
        const work = playTargets(slownesses, load);
        const mean = work.reduce((sum, each) => sum + each, 0) / work.length;
        assert.ok(Math.max(...work) <= 1.3 * mean, work.map(Math.round).join(' '));
      });
    }
  }

  it('forgets busy time', () => {
    const busy: BusyTime = createBusyTime();
    addBusyTime(busy, 100, 0);
    assert.ok(busyTimeAt(busy, 30_000) < 1);
  });
});
