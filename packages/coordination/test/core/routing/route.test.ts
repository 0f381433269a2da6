/** Routing decisions: load against affinity, one engine against two, and reports that are old. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  CacheChange,
  EngineRole,
  noteCacheEvent,
  noteDispatch,
  noteLoad,
  noteTargets,
  route,
  RouteKind,
  seededRandom,
} from '../../../src/index.js';
import type { RoutePlan, Router, RouteRequest } from '../../../src/index.js';
import { reportOf, requestOf, routerWith, targetInfo } from '../../fixtures/routing-fixtures.js';

function plan(router: Router, request: RouteRequest, nowMs = 0): RoutePlan {
  const decision = route(router, request, nowMs, seededRandom(1));
  assert.notEqual(decision.kind, RouteKind.None);
  return decision as RoutePlan;
}

function twoReaders(): Router {
  return routerWith([
    targetInfo('r1', EngineRole.Prefill),
    targetInfo('r2', EngineRole.Prefill),
    targetInfo('w1', EngineRole.Decode),
  ]);
}

const PREFIX = ['p1', 'p2', 'p3', 'p4'];

function cacheOn(router: Router, target: string): void {
  noteCacheEvent(router, target, {
    epoch: 'e1',
    sequence: 0,
    change: CacheChange.Stored,
    blocks: PREFIX,
  });
}

describe('route', () => {
  describe('prefix affinity', () => {
    it('takes the target that holds the prefix when loads are alike', () => {
      const router = twoReaders();
      cacheOn(router, 'r2');
      const chosen = plan(router, requestOf({ prefixBlocks: PREFIX }));
      assert.equal(chosen.reader, 'r2');
      assert.equal(chosen.prefillTokens, 2000 - 4 * 256);
    });

    it('leaves it when its queue costs more than reading the prompt again', () => {
      const router = twoReaders();
      cacheOn(router, 'r2');
      const role = EngineRole.Prefill;
      noteLoad(router, reportOf('r2', { role, sequence: 2, waitingPrefillTokens: 8000 }));
      assert.equal(plan(router, requestOf({ prefixBlocks: PREFIX })).reader, 'r1');
    });
  });

  describe('one engine or two', () => {
    it('reads a long prompt on a reader and hands the cache over', () => {
      const chosen = plan(twoReaders(), requestOf());
      assert.equal(chosen.kind, RouteKind.Split);
      assert.equal(chosen.writer, 'w1');
    });

    it('reads on the writer when the readers are far behind', () => {
      const router = twoReaders();
      const role = EngineRole.Prefill;
      for (const name of ['r1', 'r2']) {
        noteLoad(router, reportOf(name, { role, sequence: 2, waitingPrefillTokens: 60_000 }));
      }
      assert.equal(plan(router, requestOf({ promptTokens: 800 })).kind, RouteKind.Whole);
    });

    it('serves whole on mixed engines alone', () => {
      const router = routerWith([targetInfo('m1', EngineRole.Mixed)]);
      assert.equal(plan(router, requestOf()).kind, RouteKind.Whole);
    });

    it('says none where nobody can write', () => {
      const router = routerWith([targetInfo('r1', EngineRole.Prefill)]);
      assert.equal(route(router, requestOf(), 0, seededRandom(1)).kind, RouteKind.None);
    });
  });

  describe('old reports', () => {
    // Users see bursts of slow first tokens: between two reports an entry sends everything to the
    // target that looked idle. Own dispatches since the report are added, so it goes on to others.
    it('spreads a burst that comes between two reports', () => {
      const router = twoReaders();
      const counts = new Map<string, number>();
      for (let count = 0; count < 20; count += 1) {
        const request = requestOf();
        const chosen = plan(router, request);
        counts.set(chosen.reader, (counts.get(chosen.reader) ?? 0) + 1);
        noteDispatch(router, chosen, request, 0);
      }
      assert.ok(Math.abs((counts.get('r1') ?? 0) - (counts.get('r2') ?? 0)) <= 2);
    });

    it('does not let a delayed report roll a newer one back', () => {
      const router = twoReaders();
      const role = EngineRole.Prefill;
      noteLoad(router, reportOf('r1', { role, sequence: 9, waitingPrefillTokens: 9000 }));
      noteLoad(router, reportOf('r1', { role, sequence: 8, waitingPrefillTokens: 0 }));
      assert.equal(plan(router, requestOf()).reader, 'r2');
    });

    it('does not let a report of a dead epoch in after the new one', () => {
      const router = twoReaders();
      const role = EngineRole.Prefill;
      const current = { role, epoch: 'e2', atMs: 100, waitingPrefillTokens: 9000 };
      noteLoad(router, reportOf('r1', current));
      noteLoad(router, reportOf('r1', { role, epoch: 'e1', atMs: 50, sequence: 99 }));
      assert.equal(plan(router, requestOf(), 100).reader, 'r2');
    });
  });

  describe('targets that must not be taken', () => {
    it('leaves out excluded targets and those that drain', () => {
      const router = twoReaders();
      const role = EngineRole.Prefill;
      noteLoad(router, reportOf('r1', { role, sequence: 2, accepting: false }));
      const chosen = plan(router, requestOf({ excluded: new Set(['r2']) }));
      assert.equal(chosen.kind, RouteKind.Whole);
    });

    it('forgets a target that left and takes its successor as another', () => {
      const router = twoReaders();
      noteTargets(router, [targetInfo('w1', EngineRole.Decode)]);
      assert.equal(router.views.size, 1);
      assert.equal(plan(router, requestOf()).reader, 'w1');
    });

    it('says when the memory of all writers is short', () => {
      const router = routerWith([targetInfo('w1', EngineRole.Decode)]);
      const full = { sequence: 2, runningRequests: 200, runningContextTokens: 790_000 };
      noteLoad(router, reportOf('w1', full));
      assert.equal(plan(router, requestOf()).memoryShort, true);
    });
  });

  describe('a home of a prefix that is outside the subset', () => {
    // Users of one workspace see answers stall. Its prefix's home is in no entry's subset, so none
    // hears its load, it looks idle, and every entry sends the whole workspace there.
    it('gets few requests until its load is known', () => {
      const targets = Array.from({ length: 200 }, (_, index) =>
        targetInfo(`t${String(index)}`, EngineRole.Decode, `d${String(index % 7)}`),
      );
      const router = routerWith(targets);
      for (const view of router.views.values()) view.report = null;
      for (const name of router.subsetNames) {
        const busy = { sequence: 2, runningRequests: 100, runningContextTokens: 200_000 };
        noteLoad(router, reportOf(name, busy));
      }
      const random = seededRandom(2);
      let outside = 0;
      for (let turn = 0; turn < 200; turn += 1) {
        const request = requestOf({ prefixBlocks: [`prefix-${String(turn)}`] });
        const decision = route(router, request, 0, random);
        if (decision.kind === RouteKind.None) continue;
        if (!router.subsetNames.has(decision.writer)) outside += 1;
      }
      assert.ok(outside > 0 && outside < 40);
    });
  });

  describe('in a large fleet', () => {
    it('weighs a bounded number of targets', () => {
      const targets = Array.from({ length: 730 }, (_, index) =>
        targetInfo(`t${String(index)}`, EngineRole.Decode, `d${String(index % 7)}`),
      );
      const router = routerWith(targets);
      assert.equal(router.writers.length, router.options.subsetTargets);
      const seen = new Set<string>();
      const random = seededRandom(1);
      for (let turn = 0; turn < 200; turn += 1) {
        const decision = route(router, requestOf(), 0, random);
        if (decision.kind !== RouteKind.None) seen.add(decision.writer);
      }
      assert.ok(seen.size > 5 && seen.size <= router.options.subsetTargets);
    });
  });
});
