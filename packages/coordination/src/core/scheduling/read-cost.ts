/**
 * What reading a prompt costs an engine. Parts that it holds cost nothing, parts that another engine
 * holds cost their transfer, which takes some hundredths of the time of reading them.
 */
import type { Job } from './job.js';
import { heldParts, tokensBetween } from './prompt-cache.js';
import { predictReadMs } from './read-time.js';
import { type TargetLoad, isUsable, partsToHandOver } from './target-load.js';

/** Memory takes so many times as long to another failure domain. */
const OTHER_DOMAIN_RATIO = 2;
/** Fewer tokens than that are read faster than another engine is asked for them. */
const MIN_FETCH_TOKENS = 500;
/** Setting up a transfer; the engines' data sheet says 5 ms. */
const FETCH_START_MS = 5;

/** What reading costs. */
export interface ReadCost {
  /** Tokens that are read. */
  readonly missingTokens: number;
  /** Time of the engine, transfer included. */
  readonly serviceMs: number;
  /** Tokens that get a second copy, which pushes others out of the engine's cache. */
  readonly copiedTokens: number;
  /** The engine that hands parts over, null where none does. */
  readonly fetchFrom: TargetLoad | null;
}

/** The engines that hold most of a prompt; found once for a prompt, whoever may read it. */
export interface Holders {
  /** Parts that each of them can hand over; 0 where nobody has any. */
  readonly parts: number;
  readonly any: TargetLoad | null;
  readonly byDomain: ReadonlyMap<string, TargetLoad>;
}

/** Finds the engines that can hand over most of a prompt. */
export function findHolders(loads: Iterable<TargetLoad>, job: Job, nowMs: number): Holders {
  let parts = 0;
  let any: TargetLoad | null = null;
  const byDomain = new Map<string, TargetLoad>();
  for (const load of loads) {
    if (!isUsable(load, nowMs)) continue;
    const held = partsToHandOver(load, job.parts);
    if (held === 0 || held < parts) continue;
    if (held > parts) byDomain.clear();
    if (held > parts || any === null) any = load;
    parts = held;
    byDomain.set(load.entry.failureDomain, load);
  }
  return { parts, any, byDomain };
}

/** The cheapest way in which an engine can have a prompt read. */
export function readCost(holders: Holders, load: TargetLoad, job: Job): ReadCost {
  const { parts } = job;
  const own = heldParts(load.cache, parts);
  const missingTokens = tokensBetween(parts, own, parts.length);
  const alone = {
    missingTokens,
    serviceMs: predictReadMs(load.readTime, missingTokens),
    copiedTokens: 0,
  };
  if (holders.parts <= own) return { ...alone, fetchFrom: null };
  const holder = holders.byDomain.get(load.entry.failureDomain) ?? holders.any;
  if (holder === null) return { ...alone, fetchFrom: null };
  const fetchedTokens = tokensBetween(parts, own, holders.parts);
  const isNear = holder.entry.failureDomain === load.entry.failureDomain;
  const perTokenMs = load.transferMsPerToken * (isNear ? 1 : OTHER_DOMAIN_RATIO);
  const restTokens = missingTokens - fetchedTokens;
  const fetchMs = FETCH_START_MS + fetchedTokens * perTokenMs;
  const serviceMs = fetchMs + predictReadMs(load.readTime, restTokens);
  if (fetchedTokens < MIN_FETCH_TOKENS || serviceMs >= alone.serviceMs) {
    return { ...alone, fetchFrom: null };
  }
  return {
    missingTokens: restTokens,
    serviceMs,
    copiedTokens: fetchedTokens,
    fetchFrom: holder,
  };
}
