/**
 * What an engine has in its cache of prompt parts, as far as its scheduler knows: it sees every
 * prompt that the engine is given, and forgets parts in the order in which the engine does.
 */
import type { PromptPart } from '../forwarding/fleet.js';

/** Parts in the order of their last use, oldest first. */
export interface PromptCache {
  readonly capacityTokens: number;
  readonly tokensByPart: Map<string, number>;
  heldTokens: number;
}

/** An empty cache. */
export function createPromptCache(capacityTokens: number): PromptCache {
  return { capacityTokens, tokensByPart: new Map(), heldTokens: 0 };
}

/** Parts from the beginning of a prompt that are held without a gap; only these spare reading. */
export function heldParts(cache: PromptCache, parts: readonly PromptPart[]): number {
  let held = 0;
  for (const part of parts) {
    if (!cache.tokensByPart.has(part.id)) break;
    held += 1;
  }
  return held;
}

/** Tokens of the parts from one index up to another. */
export function tokensBetween(parts: readonly PromptPart[], from: number, to: number): number {
  let tokens = 0;
  for (let index = from; index < to; index += 1) tokens += parts[index]?.tokens ?? 0;
  return tokens;
}

/** Notes that an engine reads a prompt; the least recently used parts give way. */
export function notePrompt(cache: PromptCache, parts: readonly PromptPart[]): void {
  for (const part of parts) {
    cache.heldTokens += part.tokens - (cache.tokensByPart.get(part.id) ?? 0);
    cache.tokensByPart.delete(part.id);
    cache.tokensByPart.set(part.id, part.tokens);
  }
  for (const [id, tokens] of cache.tokensByPart) {
    if (cache.heldTokens <= cache.capacityTokens) break;
    cache.tokensByPart.delete(id);
    cache.heldTokens -= tokens;
  }
}

/** Takes a listing of the cache in: parts that it lacks are gone unless they were noted since. */
export function replaceHeld(cache: PromptCache, listed: readonly PromptPart[]): void {
  const since = [...cache.tokensByPart].map(([id, tokens]) => ({ id, tokens }));
  cache.tokensByPart.clear();
  cache.heldTokens = 0;
  notePrompt(cache, listed);
  notePrompt(cache, since);
}

/** Notes that parts did not come into the cache after all. */
export function forgetParts(cache: PromptCache, parts: readonly PromptPart[]): void {
  for (const part of parts) {
    cache.heldTokens -= cache.tokensByPart.get(part.id) ?? 0;
    cache.tokensByPart.delete(part.id);
  }
}
