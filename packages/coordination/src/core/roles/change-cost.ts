/**
 * Estimates the cost of a role change, in requests that are not answered within their latency
 * goals. The engine is unavailable while it drains and changes its role, and its prefix cache is
 * lost.
 */
import type { EngineProfile } from '../routing/engine-profile.js';
import { servedShare } from './capacity.js';
import type { RoleSplit } from './capacity.js';
import type { DemandSample } from './demand.js';

/** Time in which a decode target drains: a few hundred tokens of about 50 ms each. */
const DECODE_DRAIN_MS = 20_000;

/** Time in which a prefill target drains. */
const PREFILL_DRAIN_MS = 500;

/** Time until the prefix cache is useful again: popular prefixes return after a few seconds. */
const CACHE_REFILL_S = 5;

/** Returns the number of requests lost to a change from one split to another under that demand. */
export function changeCostRequests(
  profile: EngineProfile,
  from: RoleSplit,
  to: RoleSplit,
  demand: DemandSample,
): number {
  const addedPrefillTargets = to.prefillTargets - from.prefillTargets;
  const changingEngines = Math.abs(addedPrefillTargets);
  if (changingEngines === 0) return 0;
  const splitDuringChange =
    addedPrefillTargets > 0
      ? { prefillTargets: from.prefillTargets, decodeTargets: from.decodeTargets - changingEngines }
      : {
          prefillTargets: from.prefillTargets - changingEngines,
          decodeTargets: from.decodeTargets,
        };
  const drainMs = addedPrefillTargets > 0 ? DECODE_DRAIN_MS : PREFILL_DRAIN_MS;
  const lostShare = Math.max(
    0,
    servedShare(profile, from, demand) - servedShare(profile, splitDuringChange, demand),
  );
  // A draining engine still finishes its running requests, so half of the drain counts as lost.
  const unavailableS = (profile.roleChangeMs + drainMs / 2) / 1000;
  const totalEngines = from.prefillTargets + from.decodeTargets;
  const enginesOfOldRole = Math.max(
    1,
    addedPrefillTargets > 0 ? from.decodeTargets : from.prefillTargets,
  );
  const lostCacheEngines =
    addedPrefillTargets > 0
      ? 0
      : (demand.cachedPrefillEngines * changingEngines) / enginesOfOldRole;
  const cacheLossS = (lostCacheEngines * CACHE_REFILL_S) / totalEngines;
  return (lostShare * unavailableS + cacheLossS) * demand.requestsPerS;
}
