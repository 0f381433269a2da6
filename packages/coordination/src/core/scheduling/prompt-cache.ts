/**
 * Models the KV cache of prompt parts on one engine. The scheduler sees every prompt that the
 * engine is given and evicts parts in the same order as the engine.
 */
import type { PromptPart } from '../forwarding/fleet.js';

/** Cached parts in order of last use, oldest first. */
export interface PromptCache {
  readonly capacityTokens: number;
  readonly tokensByPart: Map<string, number>;
  usedTokens: number;
}

/** Returns an empty cache. */
export function createPromptCache(capacityTokens: number): PromptCache {
  return { capacityTokens, tokensByPart: new Map(), usedTokens: 0 };
}

/**
 * Returns the number of leading parts of a prompt that are cached without a gap. Only these need no
 * prefill.
 */
export function countCachedParts(cache: PromptCache, parts: readonly PromptPart[]): number {
  let count = 0;
  for (const part of parts) {
    if (!cache.tokensByPart.has(part.id)) break;
    count += 1;
  }
  return count;
}

/** Returns the number of tokens in the parts from index `from` up to but not including `to`. */
export function tokensBetween(parts: readonly PromptPart[], from: number, to: number): number {
  let tokens = 0;
  for (let index = from; index < to; index += 1) tokens += parts[index]?.tokens ?? 0;
  return tokens;
}

/**
 * Records that an engine prefills a prompt, and evicts the least recently used parts if the cache
 * is full.
 */
export function recordPrompt(cache: PromptCache, parts: readonly PromptPart[]): void {
  for (const part of parts) {
    cache.usedTokens += part.tokens - (cache.tokensByPart.get(part.id) ?? 0);
    cache.tokensByPart.delete(part.id);
    cache.tokensByPart.set(part.id, part.tokens);
  }
  for (const [id, tokens] of cache.tokensByPart) {
    if (cache.usedTokens <= cache.capacityTokens) break;
    cache.tokensByPart.delete(id);
    cache.usedTokens -= tokens;
  }
}

/**
 * Merges the contents that an engine reported into the cache. The parts that were recorded here are
 * kept as the most recently used.
 */
export function mergeCacheListing(cache: PromptCache, listed: readonly PromptPart[]): void {
  const recorded = [...cache.tokensByPart].map(([id, tokens]) => ({ id, tokens }));
  cache.tokensByPart.clear();
  cache.usedTokens = 0;
  recordPrompt(cache, listed);
  recordPrompt(cache, recorded);
}

/** Removes parts that were recorded but never reached the cache. */
export function removeParts(cache: PromptCache, parts: readonly PromptPart[]): void {
  for (const part of parts) {
    cache.usedTokens -= cache.tokensByPart.get(part.id) ?? 0;
    cache.tokensByPart.delete(part.id);
  }
}
