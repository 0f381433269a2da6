/**
 * Plans which models, adapters and versions are loaded onto targets before requests need them,
 * within the rate of the weight store. A token bucket of megabytes paces the loads, and only a few
 * run at a time. After a "slow down" answer, new loads wait for a jittered exponential backoff.
 * This prevents all planners from calling the store at once when a failure domain returns with
 * empty engines.
 */
import type { Random } from '../random/random.js';

/** A requested load of a model or adapter onto a target. */
export interface LoadRequest {
  readonly target: string;
  readonly service: string;
  readonly failureDomain: string;
  readonly model: string;
  readonly version: string;
  /** Null for the model itself. */
  readonly adapter: string | null;
  readonly sizeMb: number;
  /** Number of the service's targets that already have it: the fewer, the more urgent. */
  readonly holders: number;
}

/** The status that the weight store reports. */
export interface StoreStatus {
  readonly rateMbPerS: number;
  readonly activeFetches: number;
  readonly retryAfterMs: number;
}

/** How a load ended. */
export enum LoadOutcome {
  Done = 'done',
  /** The store answered "slow down". */
  SlowDown = 'slow-down',
  Failed = 'failed',
}

/** Options of the load planner. */
export interface LoadOptions {
  /** Share of the store's rate that this planner may use; the deployment's others use the rest. */
  readonly rateShareRatio: number;
  /** Capacity of the token bucket, in seconds of its rate: loads may exceed the rate by this much. */
  readonly burstS: number;
  readonly maxActive: number;
  readonly slowDownMs: number;
  readonly maxSlowDownMs: number;
  /** Whether new loads wait after a "slow down" answer. */
  readonly obeysSlowDown: boolean;
}

/** The default options; see docs/design/planned-change.md. */
export const LOAD_OPTIONS: LoadOptions = {
  rateShareRatio: 0.5,
  burstS: 10,
  maxActive: 3,
  slowDownMs: 2_000,
  maxSlowDownMs: 60_000,
  obeysSlowDown: true,
};

/** The state of the loads of one planner. */
export interface LoadState {
  readonly options: LoadOptions;
  /**
   * Tokens in the bucket. Negative after a load larger than the bucket, which starts when the
   * bucket is full and delays the next loads until its size is refilled.
   */
  bucketMb: number;
  refilledAtMs: number;
  notBeforeMs: number;
  slowDowns: number;
  /** Loads in progress by target; at most `maxActive`. */
  readonly active: Map<string, LoadRequest>;
}

/**
 * Creates a state without loads. The bucket starts empty to limit the loads right after a planner
 * takes over.
 */
export function createLoads(options: LoadOptions, nowMs: number): LoadState {
  return {
    options,
    bucketMb: 0,
    refilledAtMs: nowMs,
    notBeforeMs: nowMs,
    slowDowns: 0,
    active: new Map(),
  };
}

function bucketCapacityMb(state: LoadState, status: StoreStatus): number {
  return status.rateMbPerS * state.options.rateShareRatio * state.options.burstS;
}

function refillBucket(state: LoadState, status: StoreStatus, nowMs: number): void {
  const elapsedS = Math.max(0, nowMs - state.refilledAtMs) / 1_000;
  const refilledMb = elapsedS * status.rateMbPerS * state.options.rateShareRatio;
  state.bucketMb = Math.min(bucketCapacityMb(state, status), state.bucketMb + refilledMb);
  state.refilledAtMs = nowMs;
}

/**
 * Returns a comparator by urgency: fewest holders first, then failure domains without a load in
 * progress, then by target name.
 */
function createUrgencyComparator(state: LoadState): (a: LoadRequest, b: LoadRequest) => number {
  const loadingDomains = new Set([...state.active.values()].map((load) => load.failureDomain));
  const loadingRank = (load: LoadRequest): number =>
    loadingDomains.has(load.failureDomain) ? 1 : 0;
  return (a, b) =>
    a.holders - b.holders ||
    loadingRank(a) - loadingRank(b) ||
    (a.target < b.target ? -1 : a.target > b.target ? 1 : 0);
}

/**
 * Returns the loads to start now. Prevents a thundering herd on the weight store after a failure
 * domain returned: each "slow down" answer delays all new loads.
 */
export function planLoads(
  state: LoadState,
  requestedLoads: readonly LoadRequest[],
  status: StoreStatus,
  context: { readonly nowMs: number; readonly random: Random },
): LoadRequest[] {
  refillBucket(state, status, context.nowMs);
  if (status.retryAfterMs > 0 && state.options.obeysSlowDown) {
    const jitteredMs = status.retryAfterMs * (1 + context.random() / 2);
    state.notBeforeMs = Math.max(state.notBeforeMs, context.nowMs + jitteredMs);
  }
  const startedLoads: LoadRequest[] = [];
  while (context.nowMs >= state.notBeforeMs && state.active.size < state.options.maxActive) {
    const waitingLoads = requestedLoads.filter((load) => !state.active.has(load.target));
    const [next] = waitingLoads.sort(createUrgencyComparator(state));
    if (next === undefined) break;
    const neededMb = Math.min(next.sizeMb, bucketCapacityMb(state, status));
    if (state.bucketMb < neededMb || neededMb <= 0) break;
    state.bucketMb -= next.sizeMb;
    state.active.set(next.target, next);
    startedLoads.push(next);
  }
  return startedLoads;
}

/** Handles the end of a load. After "slow down", the caller must request the load again. */
export function loadEnded(
  state: LoadState,
  target: string,
  outcome: LoadOutcome,
  context: { readonly nowMs: number; readonly random: Random },
): void {
  state.active.delete(target);
  if (outcome === LoadOutcome.Done) state.slowDowns = 0;
  if (outcome !== LoadOutcome.SlowDown || !state.options.obeysSlowDown) return;
  const { slowDownMs, maxSlowDownMs } = state.options;
  const backoffMs = Math.min(maxSlowDownMs, slowDownMs * 2 ** Math.min(state.slowDowns, 16));
  state.slowDowns += 1;
  const waitMs = backoffMs * (0.5 + context.random() / 2);
  state.notBeforeMs = Math.max(state.notBeforeMs, context.nowMs + waitMs);
}
