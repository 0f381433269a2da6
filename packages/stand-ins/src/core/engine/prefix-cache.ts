/**
 * Prefix cache of the engine: blocks identified by fingerprint in limited memory, with least
 * recently used eviction. Publishes a numbered event for each change.
 */
import type { CacheEvent } from '@cassiamast/ports';
import { CacheEventKind } from '@cassiamast/ports';
import { BLOCK_TOKENS } from './prompt.js';

/** Events kept for clients that lag behind. A client that needs older ones sees a gap. */
const MAX_EVENTS = 4_096;

/** An event and the time from which clients may see it. */
interface DelayedEvent {
  readonly event: CacheEvent;
  readonly visibleAtMs: number;
}

/** State of the prefix cache. The map is ordered from least to most recently used. */
export interface PrefixCache {
  readonly epoch: string;
  readonly blocks: Map<string, true>;
  readonly events: DelayedEvent[];
  sequence: number;
}

/** Delay and loss of the published events. */
export interface CacheEventOptions {
  readonly cacheEventLagMs: number;
  readonly cacheEventGapEvery: number;
}

/** Creates an empty cache. */
export function createPrefixCache(epoch: string): PrefixCache {
  return { epoch, blocks: new Map(), events: [], sequence: 0 };
}

/** Returns the number of tokens in the longest cached prefix and marks its blocks as just used. */
export function cachedPrefixTokens(cache: PrefixCache, blocks: readonly string[]): number {
  let found = 0;
  for (const block of blocks) {
    if (!cache.blocks.delete(block)) break;
    cache.blocks.set(block, true);
    found += 1;
  }
  return found * BLOCK_TOKENS;
}

/** Stores blocks and marks them as just used. */
export function storeBlocks(
  cache: PrefixCache,
  blocks: readonly string[],
  nowMs: number,
  options: CacheEventOptions,
): void {
  const added = blocks.filter((block) => !cache.blocks.has(block));
  for (const block of blocks) {
    cache.blocks.delete(block);
    cache.blocks.set(block, true);
  }
  if (added.length > 0) publish(cache, CacheEventKind.Stored, added, nowMs, options);
}

/** Evicts blocks until the cache holds at most `limitTokens` tokens. */
export function shrinkTo(
  cache: PrefixCache,
  limitTokens: number,
  nowMs: number,
  options: CacheEventOptions,
): void {
  const evicted: string[] = [];
  for (const block of cache.blocks.keys()) {
    if ((cache.blocks.size - evicted.length) * BLOCK_TOKENS <= limitTokens) break;
    evicted.push(block);
  }
  for (const block of evicted) cache.blocks.delete(block);
  if (evicted.length > 0) publish(cache, CacheEventKind.Evicted, evicted, nowMs, options);
}

/** Empties the cache, for example on a role change. */
export function clearCache(cache: PrefixCache, nowMs: number, options: CacheEventOptions): void {
  cache.blocks.clear();
  publish(cache, CacheEventKind.Cleared, [], nowMs, options);
}

/** Returns the events after a sequence number whose publication delay has passed. */
export function eventsAfter(
  cache: PrefixCache,
  sequence: number,
  nowMs: number,
): readonly CacheEvent[] {
  return cache.events
    .filter((delayed) => delayed.event.sequence > sequence && delayed.visibleAtMs <= nowMs)
    .map((delayed) => delayed.event);
}

function publish(
  cache: PrefixCache,
  kind: CacheEventKind,
  blocks: readonly string[],
  nowMs: number,
  options: CacheEventOptions,
): void {
  cache.sequence += 1;
  const { cacheEventGapEvery, cacheEventLagMs } = options;
  if (cacheEventGapEvery > 0 && cache.sequence % cacheEventGapEvery === 0) return;
  const event = { epoch: cache.epoch, sequence: cache.sequence, kind, blocks };
  cache.events.push({ event, visibleAtMs: nowMs + cacheEventLagMs });
  if (cache.events.length > MAX_EVENTS) cache.events.shift();
}
