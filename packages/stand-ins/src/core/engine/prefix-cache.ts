/**
 * The prefix cache: blocks by fingerprint in limited memory, the least recently used evicted
 * first, with a numbered event for each change.
 */
import type { CacheEvent } from '@cassiamast/ports';
import { CacheEventKind } from '@cassiamast/ports';
import { BLOCK_TOKENS } from './prompt.js';

/** Events kept for readers that are behind; older ones are a gap to them. */
const MAX_EVENTS = 4_096;

/** When an event may be told. */
interface DatedEvent {
  readonly event: CacheEvent;
  readonly tellAtMs: number;
}

/** The cache's state. The map is in order of last use. */
export interface PrefixCache {
  readonly epoch: string;
  readonly blocks: Map<string, true>;
  readonly events: DatedEvent[];
  sequence: number;
}

/** How events are told. */
export interface CacheEventOptions {
  readonly cacheEventLagMs: number;
  readonly cacheEventGapEvery: number;
}

/** An empty cache. */
export function createPrefixCache(epoch: string): PrefixCache {
  return { epoch, blocks: new Map(), events: [], sequence: 0 };
}

/** Tokens of the longest cached beginning; marks it as just used. */
export function cachedPrefixTokens(cache: PrefixCache, blocks: readonly string[]): number {
  let found = 0;
  for (const block of blocks) {
    if (!cache.blocks.delete(block)) break;
    cache.blocks.set(block, true);
    found += 1;
  }
  return found * BLOCK_TOKENS;
}

/** Stores blocks as just used. */
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

/** Evicts until the cache takes at most so many tokens. */
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

/** Empties the cache, as a role change does. */
export function clearCache(cache: PrefixCache, nowMs: number, options: CacheEventOptions): void {
  cache.blocks.clear();
  publish(cache, CacheEventKind.Cleared, [], nowMs, options);
}

/** Events after a sequence number that are due by now. */
export function eventsAfter(
  cache: PrefixCache,
  sequence: number,
  nowMs: number,
): readonly CacheEvent[] {
  return cache.events
    .filter((dated) => dated.event.sequence > sequence && dated.tellAtMs <= nowMs)
    .map((dated) => dated.event);
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
  cache.events.push({ event, tellAtMs: nowMs + cacheEventLagMs });
  if (cache.events.length > MAX_EVENTS) cache.events.shift();
}
