/** Which engine makes the tokens of a prompt that another one reads. */
import type { Job } from './job.js';
import { heldParts, tokensBetween } from './prompt-cache.js';
import { type TargetLoad, isOnTrial, isUsable, makesTokens } from './target-load.js';

/** Requests more that an engine of the same failure domain may have: memory crosses domains slowly. */
const SAME_DOMAIN_ADVANTAGE = 4;

/**
 * Tokens in cache that outweigh one more request at an engine. Guards the engines' memory: a prompt
 * that goes on at any engine leaves a copy of its shared parts there, and the copies push out parts
 * that are then read again. At the engine that has them already, nothing is pushed out.
 */
const TOKENS_PER_REQUEST = 2500;

/** The engine that makes tokens with the fewest requests and most of the prompt; null if none. */
export function chooseStreamTarget(
  loads: Iterable<TargetLoad>,
  job: Job,
  reader: TargetLoad,
  nowMs: number,
): TargetLoad | null {
  let best: TargetLoad | null = null;
  let bestLoad = Infinity;
  for (const load of loads) {
    if (!makesTokens(load) || !isUsable(load, nowMs)) continue;
    if (job.avoid.includes(load.entry.id)) continue;
    if (isOnTrial(load) && load.streaming.size > 0) continue;
    const isNear = load.entry.failureDomain === reader.entry.failureDomain;
    const held = tokensBetween(job.parts, 0, heldParts(load.cache, job.parts));
    const weighed =
      load.streaming.size + (isNear ? 0 : SAME_DOMAIN_ADVANTAGE) - held / TOKENS_PER_REQUEST;
    if (weighed < bestLoad) {
      best = load;
      bestLoad = weighed;
    }
  }
  return best;
}
