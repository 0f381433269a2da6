/**
 * Computes the cost of prefilling a prompt on an engine. Parts in the engine's own cache cost
 * nothing. Parts cached on another engine cost their transfer, which takes a few percent of the
 * time to prefill them.
 */
import type { Job } from './job.js';
import { countCachedParts, tokensBetween } from './prompt-cache.js';
import {
  type TargetLoad,
  countTransferableParts,
  isUsable,
  predictEnginePrefillMs,
} from './target-load.js';

/** Transfers to another failure domain take this many times as long. */
export const CROSS_DOMAIN_TRANSFER_RATIO = 2;
/**
 * Shorter fetches are not worth it: prefilling fewer tokens is faster than requesting them from
 * another engine.
 */
const MIN_FETCH_TOKENS = 500;
/** Time to set up a transfer, according to the engine data sheet. */
const TRANSFER_SETUP_MS = 5;

/** Cost of a prefill. */
export interface PrefillCost {
  /** Tokens that are prefilled. */
  readonly missingTokens: number;
  /** Engine time, including the transfer. */
  readonly serviceMs: number;
  /** Part of the engine time in which cached parts are transferred. */
  readonly transferMs: number;
  /** Tokens that are stored on a second engine and evict other parts from its cache. */
  readonly copiedTokens: number;
  /** The engine that transfers parts, or null if there is none. */
  readonly fetchFrom: TargetLoad | null;
}

/**
 * The engines that hold the longest prefix of a prompt. Computed once per prompt and used for every
 * candidate engine.
 */
export interface CacheHolders {
  /** Number of leading parts that each of them can transfer; 0 if no engine holds any. */
  readonly parts: number;
  readonly any: TargetLoad | null;
  readonly byDomain: ReadonlyMap<string, TargetLoad>;
}

/**
 * Returns the engines that can transfer the longest prefix of a prompt. The memory of an engine that
 * the job avoids is not used either: its version may be another one, or it has just failed.
 */
export function findCacheHolders(
  loads: Iterable<TargetLoad>,
  job: Job,
  nowMs: number,
): CacheHolders {
  let parts = 0;
  let any: TargetLoad | null = null;
  const byDomain = new Map<string, TargetLoad>();
  for (const load of loads) {
    if (!isUsable(load, nowMs) || job.avoid.includes(load.entry.id)) continue;
    const availableParts = countTransferableParts(load, job.parts);
    if (availableParts === 0 || availableParts < parts) continue;
    if (availableParts > parts) byDomain.clear();
    if (availableParts > parts || any === null) any = load;
    parts = availableParts;
    byDomain.set(load.entry.failureDomain, load);
  }
  return { parts, any, byDomain };
}

/**
 * Returns the cheapest way for an engine to prefill a prompt, with or without fetching cached
 * parts.
 */
export function prefillCost(holders: CacheHolders, load: TargetLoad, job: Job): PrefillCost {
  const { parts } = job;
  const ownParts = countCachedParts(load.cache, parts);
  const missingTokens = tokensBetween(parts, ownParts, parts.length);
  const withoutFetch = {
    missingTokens,
    serviceMs: predictEnginePrefillMs(load, missingTokens),
    transferMs: 0,
    copiedTokens: 0,
  };
  if (holders.parts <= ownParts) return { ...withoutFetch, fetchFrom: null };
  const holder = holders.byDomain.get(load.entry.failureDomain) ?? holders.any;
  if (holder === null) return { ...withoutFetch, fetchFrom: null };
  const fetchedTokens = tokensBetween(parts, ownParts, holders.parts);
  const isNear = holder.entry.failureDomain === load.entry.failureDomain;
  const perTokenMs = load.transferMsPerToken * (isNear ? 1 : CROSS_DOMAIN_TRANSFER_RATIO);
  const remainingTokens = missingTokens - fetchedTokens;
  const fetchMs = TRANSFER_SETUP_MS + fetchedTokens * perTokenMs;
  const serviceMs = fetchMs + predictEnginePrefillMs(load, remainingTokens);
  if (fetchedTokens < MIN_FETCH_TOKENS || serviceMs >= withoutFetch.serviceMs) {
    return { ...withoutFetch, fetchFrom: null };
  }
  return {
    missingTokens: remainingTokens,
    serviceMs,
    transferMs: fetchMs,
    copiedTokens: fetchedTokens,
    fetchFrom: holder,
  };
}
