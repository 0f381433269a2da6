/**
 * Forecasts which share of requests a split of prefill and decode targets answers within the
 * latency goals, for a demand given in engines. Prompts that exceed the capacity of the prefill
 * targets run on decode targets with spare capacity, at a higher cost. The constants are fitted to
 * the fake engine of the benchmark; docs/design/roles.md shows the fit.
 */
import { EngineRole } from '../model/configuration.js';
import type { EngineProfile } from '../routing/engine-profile.js';
import type { DemandSample } from './demand.js';

/** The number of serving targets per role. */
export interface RoleSplit {
  readonly prefillTargets: number;
  readonly decodeTargets: number;
}

/** Utilization up to which a prefill target meets the latency goal. */
const PREFILL_CAPACITY = 0.87;

/** Prefill work that a decode target can do within the goal, as a ratio of a prefill target's. */
const PREFILL_PER_DECODE_TARGET = 0.1;

/** Share of a decode step that is not its fixed time, when steps are as long as the goal allows. */
const DECODE_EFFICIENCY = 0.8;

/**
 * Sharpness of the saturation of prefill targets: queues matter from four fifths of capacity on.
 */
const PREFILL_SHARPNESS = 8;

/** Sharpness of the saturation of decode targets: steps only become longer up to the goal. */
const DECODE_SHARPNESS = 32;

/** Penalty per unit of utilization: breaks ties in favor of the split with more spare capacity. */
const UTILIZATION_PENALTY = 0.004;

/**
 * Returns the share of requests served within the goals, from 0 to 1, minus a small penalty for
 * high utilization.
 */
export function servedShare(
  profile: EngineProfile,
  split: RoleSplit,
  demand: Pick<DemandSample, 'prefillEngines' | 'decodeEngines'>,
): number {
  if (split.decodeTargets <= 0) return 0;
  const costPerPrefillEngine = offloadCost(profile);
  const spareRatio =
    Math.max(0, 1 - demand.decodeEngines / split.decodeTargets) / costPerPrefillEngine;
  const maxOffloaded = split.decodeTargets * Math.min(PREFILL_PER_DECODE_TARGET, spareRatio);
  const prefillCapacity = split.prefillTargets * PREFILL_CAPACITY;
  const offloaded = Math.min(maxOffloaded, Math.max(0, demand.prefillEngines - prefillCapacity));
  const prefillUse = utilizationOf(demand.prefillEngines, prefillCapacity + maxOffloaded);
  const decodeUse = (demand.decodeEngines + offloaded * costPerPrefillEngine) / split.decodeTargets;
  const served = Math.min(
    saturate(prefillUse, PREFILL_SHARPNESS),
    saturate(decodeUse, DECODE_SHARPNESS),
  );
  return served - UTILIZATION_PENALTY * (Math.min(2, prefillUse) + Math.min(2, decodeUse));
}

/**
 * Returns the decode time that a prompt takes on a decode target, per unit of prefill time saved.
 */
function offloadCost(profile: EngineProfile): number {
  const { roles } = profile;
  const msPerTokenRatio =
    roles[EngineRole.Decode].prefillMsPerToken / roles[EngineRole.Prefill].prefillMsPerToken;
  return msPerTokenRatio / DECODE_EFFICIENCY;
}

function utilizationOf(demand: number, capacity: number): number {
  if (demand <= 0) return 0;
  return capacity <= 0 ? Number.POSITIVE_INFINITY : demand / capacity;
}

/**
 * Returns the served share: near 1 below capacity, near capacity / demand above, smooth between.
 */
function saturate(utilization: number, sharpness: number): number {
  if (!Number.isFinite(utilization)) return 0;
  return (1 + utilization ** sharpness) ** (-1 / sharpness);
}
