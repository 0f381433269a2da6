/** Tests the prefix cache and its delayed and lossy events. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { CacheEventKind } from '@cassiamast/ports';
import {
  cachedPrefixTokens,
  clearCache,
  createPrefixCache,
  eventsAfter,
  shrinkTo,
  storeBlocks,
} from '../../../src/core/engine/prefix-cache.js';
import { BLOCK_TOKENS } from '../../../src/core/engine/prompt.js';

const PROMPT = { cacheEventLagMs: 0, cacheEventGapEvery: 0 };

describe('prefix cache', () => {
  describe('lookup', () => {
    it('counts only the longest cached prefix', () => {
      const cache = createPrefixCache('e');
      storeBlocks(cache, ['a', 'b', 'd'], 0, PROMPT);
      assert.equal(cachedPrefixTokens(cache, ['a', 'b', 'c', 'd']), 2 * BLOCK_TOKENS);
      assert.equal(cachedPrefixTokens(cache, ['x', 'a']), 0);
    });
  });

  describe('eviction', () => {
    it('removes the least recently used blocks', () => {
      const cache = createPrefixCache('e');
      storeBlocks(cache, ['a', 'b', 'c'], 0, PROMPT);
      cachedPrefixTokens(cache, ['a']);
      shrinkTo(cache, 2 * BLOCK_TOKENS, 0, PROMPT);
      assert.deepEqual([...cache.blocks.keys()], ['c', 'a']);
    });
  });

  describe('events', () => {
    it('are delayed and in order, one per change', () => {
      const cache = createPrefixCache('e');
      storeBlocks(cache, ['a'], 100, { ...PROMPT, cacheEventLagMs: 50 });
      clearCache(cache, 120, { ...PROMPT, cacheEventLagMs: 50 });
      assert.deepEqual(eventsAfter(cache, 0, 149), []);
      const kinds = eventsAfter(cache, 0, 170).map((event) => event.kind);
      assert.deepEqual(kinds, [CacheEventKind.Stored, CacheEventKind.Cleared]);
      assert.equal(eventsAfter(cache, 1, 170).length, 1);
    });

    it('are lost at the configured rate, which leaves gaps in the sequence numbers', () => {
      const cache = createPrefixCache('e');
      for (const block of ['a', 'b', 'c', 'd']) {
        storeBlocks(cache, [block], 0, { ...PROMPT, cacheEventGapEvery: 2 });
      }
      assert.deepEqual(
        eventsAfter(cache, 0, 0).map((event) => event.sequence),
        [1, 3],
      );
    });

    it('are kept up to a limit', () => {
      const cache = createPrefixCache('e');
      for (let at = 0; at < 5_000; at++) storeBlocks(cache, [String(at)], 0, PROMPT);
      assert.equal(eventsAfter(cache, 0, 0).length, 4_096);
    });
  });
});
