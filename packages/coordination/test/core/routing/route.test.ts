/** Tests of routing decisions: load versus prefix affinity, one target versus two, old reports. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  CacheChange,
  EngineRole,
  recordCacheEvent,
  recordDispatch,
  applyLoadReport,
  updateTargets,
  route,
  RouteKind,
  seededRandom,
} from '../../../src/index.js';
import type { RoutePlan, Router, RouteRequest } from '../../../src/index.js';
import { reportOf, requestOf, routerWith, targetInfo } from '../../fixtures/routing-fixtures.js';

function chooseTargets(router: Router, request: RouteRequest, nowMs = 0): RoutePlan {
  const decision = route(router, request, nowMs, seededRandom(1));
  assert.notEqual(decision.kind, RouteKind.None);
  return decision as RoutePlan;
}

function twoPrefillTargets(): Router {
  return routerWith([
    targetInfo('r1', EngineRole.Prefill),
    targetInfo('r2', EngineRole.Prefill),
    targetInfo('w1', EngineRole.Decode),
  ]);
}

const PREFIX = ['p1', 'p2', 'p3', 'p4'];

function storePrefixOn(router: Router, target: string): void {
  recordCacheEvent(router, target, {
    epoch: 'e1',
    sequence: 0,
    change: CacheChange.Stored,
    blocks: PREFIX,
  });
}

describe('route', () => {
  describe('prefix affinity', () => {
    it('chooses the target that has cached the prefix when loads are equal', () => {
      const router = twoPrefillTargets();
      storePrefixOn(router, 'r2');
      const chosen = chooseTargets(router, requestOf({ prefixBlocks: PREFIX }));
      assert.equal(chosen.reader, 'r2');
      assert.equal(chosen.prefillTokens, 2000 - 4 * 256);
    });

    it('chooses another target when its queue costs more than a full prefill', () => {
      const router = twoPrefillTargets();
      storePrefixOn(router, 'r2');
      const role = EngineRole.Prefill;
      applyLoadReport(router, reportOf('r2', { role, sequence: 2, waitingPrefillTokens: 8000 }));
      assert.equal(chooseTargets(router, requestOf({ prefixBlocks: PREFIX })).reader, 'r1');
    });
  });

  describe('one target or two', () => {
    it('runs prefill of a long prompt on a prefill target and transfers the KV cache', () => {
      const chosen = chooseTargets(twoPrefillTargets(), requestOf());
      assert.equal(chosen.kind, RouteKind.Split);
      assert.equal(chosen.writer, 'w1');
    });

    it('runs prefill on the decode target when the prefill targets have long queues', () => {
      const router = twoPrefillTargets();
      const role = EngineRole.Prefill;
      for (const name of ['r1', 'r2']) {
        applyLoadReport(
          router,
          reportOf(name, { role, sequence: 2, waitingPrefillTokens: 60_000 }),
        );
      }
      assert.equal(chooseTargets(router, requestOf({ promptTokens: 800 })).kind, RouteKind.Whole);
    });

    it('uses one target for both phases when all engines are mixed', () => {
      const router = routerWith([targetInfo('m1', EngineRole.Mixed)]);
      assert.equal(chooseTargets(router, requestOf()).kind, RouteKind.Whole);
    });

    it('returns no target when none can decode', () => {
      const router = routerWith([targetInfo('r1', EngineRole.Prefill)]);
      assert.equal(route(router, requestOf(), 0, seededRandom(1)).kind, RouteKind.None);
    });
  });

  describe('old reports', () => {
    // An entry that ignored its own dispatches since the last report would send a whole burst to
    // the target that looked idle, and the time to first token would rise.
    it('spreads a burst that arrives between two reports', () => {
      const router = twoPrefillTargets();
      const counts = new Map<string, number>();
      for (let count = 0; count < 20; count += 1) {
        const request = requestOf();
        const chosen = chooseTargets(router, request);
        counts.set(chosen.reader, (counts.get(chosen.reader) ?? 0) + 1);
        recordDispatch(router, chosen, request, 0);
      }
      assert.ok(Math.abs((counts.get('r1') ?? 0) - (counts.get('r2') ?? 0)) <= 2);
    });

    it('ignores a delayed report that is older than the latest one', () => {
      const router = twoPrefillTargets();
      const role = EngineRole.Prefill;
      applyLoadReport(router, reportOf('r1', { role, sequence: 9, waitingPrefillTokens: 9000 }));
      applyLoadReport(router, reportOf('r1', { role, sequence: 8, waitingPrefillTokens: 0 }));
      assert.equal(chooseTargets(router, requestOf()).reader, 'r2');
    });

    it('ignores a report of a previous epoch after one of the new epoch', () => {
      const router = twoPrefillTargets();
      const role = EngineRole.Prefill;
      const newEpochLoad = { role, epoch: 'e2', atMs: 100, waitingPrefillTokens: 9000 };
      applyLoadReport(router, reportOf('r1', newEpochLoad));
      applyLoadReport(router, reportOf('r1', { role, epoch: 'e1', atMs: 50, sequence: 99 }));
      assert.equal(chooseTargets(router, requestOf(), 100).reader, 'r2');
    });
  });

  describe('targets that must not be used', () => {
    it('skips excluded and draining targets', () => {
      const router = twoPrefillTargets();
      const role = EngineRole.Prefill;
      applyLoadReport(router, reportOf('r1', { role, sequence: 2, accepting: false }));
      const chosen = chooseTargets(router, requestOf({ excluded: new Set(['r2']) }));
      assert.equal(chosen.kind, RouteKind.Whole);
    });

    it('removes targets that left and routes to the remaining one', () => {
      const router = twoPrefillTargets();
      updateTargets(router, [targetInfo('w1', EngineRole.Decode)]);
      assert.equal(router.views.size, 1);
      assert.equal(chooseTargets(router, requestOf()).reader, 'w1');
    });

    it('reports when no decode target has enough memory', () => {
      const router = routerWith([targetInfo('w1', EngineRole.Decode)]);
      const fullLoad = { sequence: 2, runningRequests: 200, runningContextTokens: 790_000 };
      applyLoadReport(router, reportOf('w1', fullLoad));
      assert.equal(chooseTargets(router, requestOf()).memoryShort, true);
    });
  });

  describe('a home target outside the subset', () => {
    // A home target that is in no entry's subset sends no load reports and looks idle. Without a
    // limit, every entry would send all requests of the workspace there and answers would stall.
    it('gets few requests until its load is known', () => {
      const targets = Array.from({ length: 200 }, (_, index) =>
        targetInfo(`t${String(index)}`, EngineRole.Decode, `d${String(index % 7)}`),
      );
      const router = routerWith(targets);
      for (const view of router.views.values()) view.report = null;
      for (const name of router.subsetNames) {
        const busyLoad = { sequence: 2, runningRequests: 100, runningContextTokens: 200_000 };
        applyLoadReport(router, reportOf(name, busyLoad));
      }
      const random = seededRandom(2);
      let outsideCount = 0;
      for (let requestIndex = 0; requestIndex < 200; requestIndex += 1) {
        const request = requestOf({ prefixBlocks: [`prefix-${String(requestIndex)}`] });
        const decision = route(router, request, 0, random);
        if (decision.kind === RouteKind.None) continue;
        if (!router.subsetNames.has(decision.writer)) outsideCount += 1;
      }
      assert.ok(outsideCount > 0 && outsideCount < 40);
    });
  });

  describe('in a large fleet', () => {
    it('considers a bounded number of targets', () => {
      const targets = Array.from({ length: 730 }, (_, index) =>
        targetInfo(`t${String(index)}`, EngineRole.Decode, `d${String(index % 7)}`),
      );
      const router = routerWith(targets);
      assert.equal(router.decodeTargets.length, router.options.subsetTargets);
      const usedTargets = new Set<string>();
      const random = seededRandom(1);
      for (let requestIndex = 0; requestIndex < 200; requestIndex += 1) {
        const decision = route(router, requestOf(), 0, random);
        if (decision.kind !== RouteKind.None) usedTargets.add(decision.writer);
      }
      assert.ok(usedTargets.size > 5 && usedTargets.size <= router.options.subsetTargets);
    });
  });
});
