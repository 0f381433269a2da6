/** Chooses the engine that decodes a prompt after another engine has prefilled it. */
import { hasConnection } from './connections.js';
import { streamLoad } from './engine-speeds.js';
import { decodeDomainCostMs, promptTokens } from './domain-cost.js';
import { memoryPenalty } from './engine-memory.js';
import type { Job } from './job.js';
import { countCachedParts, tokensBetween } from './prompt-cache.js';
import type { Scheduler } from './scheduler-state.js';
import { type TargetLoad, canDecode, isHalfOpen, isUsable } from './target-load.js';

/**
 * Penalty for an engine in another failure domain, in requests, because KV cache transfers between
 * failure domains are slow. Used if the costs of domains are not known.
 */
const CROSS_DOMAIN_PENALTY_REQUESTS = 4;

/**
 * Number of cached prompt tokens that offset one more request on an engine. Decoding on any other
 * engine stores a second copy of the shared prompt parts there, and these copies evict parts that
 * must then be prefilled again. An engine that already holds the parts evicts nothing.
 */
const CACHED_TOKENS_PER_REQUEST = 2500;

/**
 * Time that weighs as much as one more request on an engine. With 1 ms, the failure domain outweighs
 * existing connections, and 68 gateways open more than 0.8 times the connections that they open if
 * connections do not count.
 */
const MS_PER_REQUEST = 2;

/**
 * Returns the decode engine with the least load of running requests, favoring engines that already hold
 * the prompt, are near the prefill engine and the gateway, or have a connection to the job's
 * gateway. Returns null if no engine is available.
 */
export function chooseDecodeEngine(
  scheduler: Scheduler,
  job: Job,
  prefillEngine: TargetLoad,
  nowMs: number,
): TargetLoad | null {
  const { connectedBonusRequests, connectionKeepAliveMs } = scheduler.options;
  const totalTokens = promptTokens(job);
  let best: TargetLoad | null = null;
  let lowestScore = Infinity;
  for (const load of scheduler.targets.values()) {
    if (!canDecode(load) || !isUsable(load, nowMs)) continue;
    if (job.avoid.includes(load.entry.id)) continue;
    if (isHalfOpen(load) && load.streaming.size > 0) continue;
    const isConnected = hasConnection(
      scheduler.connections,
      job.gateway,
      load.entry.id,
      connectionKeepAliveMs,
      nowMs,
    );
    const cachedTokens = tokensBetween(job.parts, 0, countCachedParts(load.cache, job.parts));
    const score =
      streamLoad(load.speed, load.streaming.size) +
      memoryPenalty(scheduler, load, job) +
      domainPenalty(scheduler, load, prefillEngine, job, totalTokens - cachedTokens) -
      (isConnected ? connectedBonusRequests : 0) -
      cachedTokens / CACHED_TOKENS_PER_REQUEST;
    if (score < lowestScore) {
      best = load;
      lowestScore = score;
    }
  }
  return best;
}

/** Returns the penalty for the failure domain of a decode engine, in requests. */
function domainPenalty(
  { options }: Scheduler,
  load: TargetLoad,
  prefillEngine: TargetLoad,
  job: Job,
  missingTokens: number,
): number {
  if (options.locality !== null) {
    const { locality } = options;
    return decodeDomainCostMs(locality, load, prefillEngine, job, missingTokens) / MS_PER_REQUEST;
  }
  const isNear = load.entry.failureDomain === prefillEngine.entry.failureDomain;
  return isNear ? 0 : CROSS_DOMAIN_PENALTY_REQUESTS;
}
