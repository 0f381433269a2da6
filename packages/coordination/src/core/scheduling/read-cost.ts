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

/** The cheapest way in which an engine can have a prompt read. */
export function readCost(
  loads: Iterable<TargetLoad>,
  load: TargetLoad,
  job: Job,
  nowMs: number,
): ReadCost {
  const { parts } = job;
  const own = heldParts(load.cache, parts);
  const missingTokens = tokensBetween(parts, own, parts.length);
  const alone = {
    missingTokens,
    serviceMs: predictReadMs(load.readTime, missingTokens),
    copiedTokens: 0,
  };
  const holder = bestHolder(loads, load, job, own, nowMs);
  if (holder === null) return { ...alone, fetchFrom: null };
  const held = partsToHandOver(holder, parts);
  const fetchedTokens = tokensBetween(parts, own, held);
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

/** The engine that holds most of a prompt, if it is more than the reader itself has. */
function bestHolder(
  loads: Iterable<TargetLoad>,
  load: TargetLoad,
  job: Job,
  own: number,
  nowMs: number,
): TargetLoad | null {
  let best: TargetLoad | null = null;
  let bestHeld = own;
  for (const other of loads) {
    if (other === load || !isUsable(other, nowMs)) continue;
    const held = partsToHandOver(other, job.parts);
    const isNear = other.entry.failureDomain === load.entry.failureDomain;
    if (held > bestHeld || (held === bestHeld && best !== null && isNear)) {
      best = other;
      bestHeld = held;
    }
  }
  return best;
}
