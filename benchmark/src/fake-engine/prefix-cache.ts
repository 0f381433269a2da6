/**
 * The prefix cache of a fake engine: blocks by least recent use, within the KV memory that running
 * answers leave free. Changes are collected for the engine's cache events.
 */

/** The cache. */
export interface FakePrefixCache {
  readonly blocks: Map<string, true>;
  readonly blockTokens: number;
  stored: string[];
  evicted: string[];
}

/** Makes an empty cache. */
export function createPrefixCache(blockTokens: number): FakePrefixCache {
  return { blocks: new Map(), blockTokens, stored: [], evicted: [] };
}

/** Number of leading blocks that are cached. */
export function cachedBlocks(cache: FakePrefixCache, blocks: readonly string[]): number {
  let held = 0;
  for (const block of blocks) {
    if (!cache.blocks.has(block)) break;
    held += 1;
  }
  return held;
}

/** Stores the blocks as most recently used and evicts what no longer fits in `freeTokens`. */
export function storeBlocks(
  cache: FakePrefixCache,
  blocks: readonly string[],
  freeTokens: number,
): void {
  for (const block of blocks) {
    if (!cache.blocks.delete(block)) cache.stored.push(block);
    cache.blocks.set(block, true);
  }
  const maxBlocks = Math.max(0, Math.floor(freeTokens / cache.blockTokens));
  for (const block of cache.blocks.keys()) {
    if (cache.blocks.size <= maxBlocks) break;
    cache.blocks.delete(block);
    cache.evicted.push(block);
  }
}

/** Empties the cache, as a restart does. */
export function clearBlocks(cache: FakePrefixCache): void {
  cache.blocks.clear();
  cache.stored = [];
  cache.evicted = [];
}
