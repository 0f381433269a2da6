/** Tests which target of a plain service a gateway chooses, on a virtual clock. */
import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import {
  FleetChangeKind,
  type FleetView,
  LocalityReason,
  type TargetEntry,
  applyChanges,
  createFleetView,
  localityOptions,
  seededRandom,
} from '@cassiamast/coordination';
import type { LocalityState } from '../../src/gateway/locality-counts.js';
import {
  TARGET_HEALTH_OPTIONS,
  type TargetHealth,
  createTargetHealth,
} from '../../src/gateway/target-health.js';

const SERVICE = 'portal';
const NONE: ReadonlySet<string> = new Set();

function target(id: string, failureDomain: string): TargetEntry {
  const start = { id, name: id, bornAtMs: 0, version: 'v1', address: `${id}:80`, slots: 6 };
  return { ...start, service: SERVICE, failureDomain, draining: false, phase: null };
}

describe('the choice of a plain target', () => {
  let view: FleetView;
  let health: TargetHealth;
  let nowMs: number;
  let revision: number;

  function list(targets: readonly TargetEntry[]): void {
    const changes = targets.map((entry) => {
      revision += 1;
      return { kind: FleetChangeKind.Target as const, revision, target: entry };
    });
    applyChanges(view, changes, revision, nowMs);
  }

  /** Sends a request every 20 ms, answered after the time of its target; returns how many each got. */
  function play(
    durationMs: number,
    serviceMs: Readonly<Record<string, number>>,
  ): Map<string, number> {
    const counts = new Map<string, number>();
    const ends = new Map<number, (() => void)[]>();
    const endMs = nowMs + durationMs;
    for (; nowMs < endMs; nowMs += 1) {
      for (const done of ends.get(nowMs) ?? []) done();
      if (nowMs % 20 !== 0) continue;
      const chosen = health.choose(SERVICE, NONE);
      assert.ok(chosen !== null);
      counts.set(chosen.id, (counts.get(chosen.id) ?? 0) + 1);
      const noteDone = health.noteSent(chosen);
      const endsAtMs = nowMs + (serviceMs[chosen.id] ?? 0);
      ends.set(endsAtMs, [
        ...(ends.get(endsAtMs) ?? []),
        () => {
          noteDone(true);
        },
      ]);
    }
    return counts;
  }

  beforeEach(() => {
    nowMs = 0;
    revision = 0;
    view = createFleetView();
    health = createTargetHealth(view, 'near', seededRandom(1), () => nowMs);
  });

  // Requests that cross failure domains without being answered sooner only cost traffic.
  it('stays in the failure domain while its target is as fast as others', () => {
    list([target('a', 'near'), target('b', 'far'), target('c', 'far')]);
    assert.deepEqual([...play(20_000, { a: 60, b: 60, c: 60 }).keys()], ['a']);
  });

  it('leaves the failure domain while its target is slower by more than leaving costs', () => {
    list([target('a', 'near'), target('b', 'far')]);
    play(20_000, { a: 60, b: 62 });
    const counts = play(20_000, { a: 400, b: 62 });
    assert.ok((counts.get('b') ?? 0) > (counts.get('a') ?? 0) / 3);
  });

  it('uses other failure domains at once if its own has no target', () => {
    list([target('b', 'far')]);
    assert.equal(health.choose(SERVICE, NONE)?.id, 'b');
    list([target('a', 'near')]);
    assert.equal(health.choose(SERVICE, NONE)?.id, 'a');
    assert.equal(health.choose(SERVICE, new Set(['a']))?.id, 'b');
    assert.equal(health.choose(SERVICE, new Set(['a', 'b'])), null);
  });

  // Equal counts keep the slow target busy three times as long as the others.
  it('distributes requests in proportion to speed', () => {
    list([target('a', 'near'), target('b', 'near'), target('c', 'near')]);
    const serviceMs = { a: 40, b: 120, c: 40 };
    play(10_000, serviceMs);
    const counts = play(20_000, serviceMs);
    const busyMs = Object.entries(serviceMs).map(([id, ms]) => (counts.get(id) ?? 0) * ms);
    const meanMs = busyMs.reduce((sum, ms) => sum + ms, 0) / busyMs.length;
    assert.ok(Math.max(...busyMs) <= 1.3 * meanMs, busyMs.join(' '));
  });

  // A request that has tried the local targets must not be logged as a service without any.
  it('reports when a service begins and ceases to leave the failure domain', () => {
    const reasons: LocalityReason[] = [];
    const onLocality = (_: string, { reason }: LocalityState): void => {
      if (reasons.at(-1) !== reason) reasons.push(reason);
    };
    const options = { ...TARGET_HEALTH_OPTIONS, onLocality };
    health = createTargetHealth(view, 'near', seededRandom(1), () => nowMs, options);
    list([target('b', 'far')]);
    health.choose(SERVICE, NONE);
    list([target('a', 'near')]);
    health.choose(SERVICE, new Set(['a']));
    play(20_000, { a: 60, b: 60 });
    play(20_000, { a: 400, b: 60 });
    assert.ok((health.leavingShares().get(SERVICE) ?? 0) > 0);
    play(40_000, { a: 60, b: 60 });
    assert.deepEqual(reasons, [
      LocalityReason.NoLocalTarget,
      LocalityReason.Local,
      LocalityReason.Sooner,
      LocalityReason.Local,
    ]);
  });

  it('counts requests in flight if speeds are not learned', () => {
    const options = { locality: null };
    health = createTargetHealth(view, 'near', seededRandom(1), () => nowMs, options);
    list([target('a', 'near'), target('b', 'far')]);
    const first = health.choose(SERVICE, NONE);
    assert.equal(first?.id, 'a');
    const noteDone = health.noteSent(first);
    assert.equal(health.choose(SERVICE, NONE)?.id, 'b');
    noteDone(true);
    assert.equal(health.choose(SERVICE, NONE)?.id, 'a');
  });

  it('stays if the price of leaving is higher than what it saves', () => {
    const options = { locality: localityOptions(1, 1000) };
    health = createTargetHealth(view, 'near', seededRandom(1), () => nowMs, options);
    list([target('a', 'near'), target('b', 'far')]);
    assert.deepEqual([...play(20_000, { a: 400, b: 60 }).keys()], ['a']);
  });
});
