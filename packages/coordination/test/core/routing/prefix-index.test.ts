/** The prefix index: late, gapped and stale cache events. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { CacheChange, EngineRole, noteCacheEvent } from '../../../src/index.js';
import type { CacheNews, Router } from '../../../src/index.js';
import { heldBlocks } from '../../../src/core/routing/prefix-index.js';
import { routerWith, targetInfo } from '../../fixtures/routing-fixtures.js';

const BLOCKS = ['b1', 'b2'];

function news(sequence: number, change: CacheChange, blocks = BLOCKS, epoch = 'e1'): CacheNews {
  return { epoch, sequence, change, blocks };
}

function held(router: Router): number {
  const view = router.views.get('t1');
  assert.ok(view);
  return heldBlocks(router.prefixes, view, BLOCKS);
}

function freshRouter(maxPrefixBlocks = 100): Router {
  return routerWith([targetInfo('t1', EngineRole.Prefill)], { maxPrefixBlocks });
}

describe('prefix index', () => {
  describe('events in order', () => {
    it('counts stored blocks and forgets evicted ones', () => {
      const router = freshRouter();
      noteCacheEvent(router, 't1', news(0, CacheChange.Stored));
      assert.equal(held(router), 2);
      noteCacheEvent(router, 't1', news(1, CacheChange.Evicted, ['b2']));
      assert.equal(held(router), 1);
    });
  });

  describe('a gap in the events', () => {
    // A user sees a slow first token where an entry trusts a cache that is gone. Events 1 to 3
    // are lost, among them perhaps an eviction; what was learnt before is doubtful, not absent.
    it('halves what was learnt before, and trusts what is learnt after', () => {
      const router = freshRouter();
      noteCacheEvent(router, 't1', news(0, CacheChange.Stored));
      noteCacheEvent(router, 't1', news(4, CacheChange.Stored, ['other']));
      assert.equal(held(router), 1);
      noteCacheEvent(router, 't1', news(5, CacheChange.Stored));
      assert.equal(held(router), 2);
    });
  });

  describe('events from before a restart', () => {
    // The engine restarts with a cold cache. An entry that still believes the old events sends
    // every prompt of the workspace to it, and each is read from the start.
    it('makes all earlier knowledge void at the new epoch', () => {
      const router = freshRouter();
      noteCacheEvent(router, 't1', news(0, CacheChange.Stored));
      noteCacheEvent(router, 't1', news(0, CacheChange.Stored, ['other'], 'e2'));
      assert.equal(held(router), 0);
    });

    it('ignores an event that arrives twice', () => {
      const router = freshRouter();
      noteCacheEvent(router, 't1', news(0, CacheChange.Stored));
      noteCacheEvent(router, 't1', news(1, CacheChange.Evicted));
      noteCacheEvent(router, 't1', news(0, CacheChange.Stored));
      assert.equal(held(router), 0);
    });
  });

  describe('its bound', () => {
    it('forgets the least recently used blocks when full', () => {
      const router = freshRouter(2);
      noteCacheEvent(router, 't1', news(0, CacheChange.Stored));
      noteCacheEvent(router, 't1', news(1, CacheChange.Stored, ['c1', 'c2']));
      assert.equal(router.prefixes.blocks.size, 2);
      assert.equal(held(router), 0);
    });
  });
});
