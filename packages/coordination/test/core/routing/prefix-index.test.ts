/** Tests of the prefix index: cache events that are late, duplicated, missing or outdated. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { CacheChange, EngineRole, recordCacheEvent } from '../../../src/index.js';
import type { CacheEvent, Router } from '../../../src/index.js';
import { expectedCachedBlocks } from '../../../src/core/routing/prefix-index.js';
import { routerWith, targetInfo } from '../../fixtures/routing-fixtures.js';

const BLOCKS = ['b1', 'b2'];

function cacheEvent(
  sequence: number,
  change: CacheChange,
  blocks = BLOCKS,
  epoch = 'e1',
): CacheEvent {
  return { epoch, sequence, change, blocks };
}

function cachedBlocks(router: Router): number {
  const view = router.views.get('t1');
  assert.ok(view);
  return expectedCachedBlocks(router.prefixes, view, BLOCKS);
}

function routerWithOneTarget(maxPrefixBlocks = 100): Router {
  return routerWith([targetInfo('t1', EngineRole.Prefill)], { maxPrefixBlocks });
}

describe('prefix index', () => {
  describe('events in order', () => {
    it('counts stored blocks and removes evicted ones', () => {
      const router = routerWithOneTarget();
      recordCacheEvent(router, 't1', cacheEvent(0, CacheChange.Stored));
      assert.equal(cachedBlocks(router), 2);
      recordCacheEvent(router, 't1', cacheEvent(1, CacheChange.Evicted, ['b2']));
      assert.equal(cachedBlocks(router), 1);
    });
  });

  describe('a gap in the events', () => {
    // An entry that relies on evicted blocks predicts the time to first token too low. Events 1 to
    // 3 are lost here and may include an eviction, so the earlier blocks are uncertain, not absent.
    it('counts earlier blocks half and later blocks fully', () => {
      const router = routerWithOneTarget();
      recordCacheEvent(router, 't1', cacheEvent(0, CacheChange.Stored));
      recordCacheEvent(router, 't1', cacheEvent(4, CacheChange.Stored, ['other']));
      assert.equal(cachedBlocks(router), 1);
      recordCacheEvent(router, 't1', cacheEvent(5, CacheChange.Stored));
      assert.equal(cachedBlocks(router), 2);
    });
  });

  describe('events from before a restart', () => {
    // A restarted engine has a cold cache. An entry that still relies on the old events sends every
    // prompt of the workspace to it, and each one needs a full prefill.
    it('are invalidated by an event of a new epoch', () => {
      const router = routerWithOneTarget();
      recordCacheEvent(router, 't1', cacheEvent(0, CacheChange.Stored));
      recordCacheEvent(router, 't1', cacheEvent(0, CacheChange.Stored, ['other'], 'e2'));
      assert.equal(cachedBlocks(router), 0);
    });

    it('ignores an event that arrives twice', () => {
      const router = routerWithOneTarget();
      recordCacheEvent(router, 't1', cacheEvent(0, CacheChange.Stored));
      recordCacheEvent(router, 't1', cacheEvent(1, CacheChange.Evicted));
      recordCacheEvent(router, 't1', cacheEvent(0, CacheChange.Stored));
      assert.equal(cachedBlocks(router), 0);
    });
  });

  describe('capacity', () => {
    it('evicts the least recently used blocks when full', () => {
      const router = routerWithOneTarget(2);
      recordCacheEvent(router, 't1', cacheEvent(0, CacheChange.Stored));
      recordCacheEvent(router, 't1', cacheEvent(1, CacheChange.Stored, ['c1', 'c2']));
      assert.equal(router.prefixes.blocks.size, 2);
      assert.equal(cachedBlocks(router), 0);
    });
  });
});
