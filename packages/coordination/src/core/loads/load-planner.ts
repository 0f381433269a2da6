/**
 * Rolling models, adapters and versions out ahead of need, within the rate of the weight store. A
 * bucket of megabytes paces the loads, few run at a time, and a "slow down" stops new ones for a
 * jittered time that doubles, so that a failure domain which returns with empty engines does not
 * make every planner ask at once.
 */
import type { Random } from '../random/random.js';

/** A load that someone wants. */
export interface LoadWish {
  readonly target: string;
  readonly service: string;
  readonly failureDomain: string;
  readonly model: string;
  readonly version: string;
  /** Null for the model itself. */
  readonly adapter: string | null;
  readonly sizeMb: number;
  /** Targets of the service that hold it already: the fewer, the more urgent. */
  readonly holders: number;
}

/** What the weight store says. */
export interface StoreStatus {
  readonly rateMbPerS: number;
  readonly activeFetches: number;
  readonly retryAfterMs: number;
}

/** How a load ended. */
export enum LoadOutcome {
  Done = 'done',
  /** The store said "slow down". */
  SlowDown = 'slow-down',
  Failed = 'failed',
}

/** Settings of the load planner. */
export interface LoadOptions {
  /** Share of the store's rate that this planner may use; the others of the deployment use the rest. */
  readonly rateShareRatio: number;
  /** Most that the bucket holds, in seconds of its rate: a load may run ahead by this much. */
  readonly burstS: number;
  readonly maxActive: number;
  readonly slowDownMs: number;
  readonly maxSlowDownMs: number;
  /** Guard: whether "slow down" is obeyed. */
  readonly obeysSlowDown: boolean;
}

/** The default settings; see docs/design/planned-change.md. */
export const LOAD_OPTIONS: LoadOptions = {
  rateShareRatio: 0.5,
  burstS: 10,
  maxActive: 3,
  slowDownMs: 2_000,
  maxSlowDownMs: 60_000,
  obeysSlowDown: true,
};

/** The state of a planner's loads. */
export interface LoadState {
  readonly options: LoadOptions;
  /** May fall below zero: a load larger than the bucket runs once it is full, and is paid off after. */
  bucketMb: number;
  refilledAtMs: number;
  notBeforeMs: number;
  slowDowns: number;
  /** Targets that load now; at most `maxActive`. */
  readonly active: Map<string, LoadWish>;
}

/** Nothing loads yet; the bucket is empty, so that a planner which just took over asks gently. */
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

function capacityMb(state: LoadState, status: StoreStatus): number {
  return status.rateMbPerS * state.options.rateShareRatio * state.options.burstS;
}

function refill(state: LoadState, status: StoreStatus, nowMs: number): void {
  const elapsedS = Math.max(0, nowMs - state.refilledAtMs) / 1_000;
  const gainedMb = elapsedS * status.rateMbPerS * state.options.rateShareRatio;
  state.bucketMb = Math.min(capacityMb(state, status), state.bucketMb + gainedMb);
  state.refilledAtMs = nowMs;
}

/** Fewest holders first; among equals a domain without a load under way, then by name. */
function byNeed(state: LoadState): (one: LoadWish, other: LoadWish) => number {
  const busyDomains = new Set([...state.active.values()].map((wish) => wish.failureDomain));
  const busy = (wish: LoadWish): number => (busyDomains.has(wish.failureDomain) ? 1 : 0);
  return (one, other) =>
    one.holders - other.holders ||
    busy(one) - busy(other) ||
    (one.target < other.target ? -1 : one.target > other.target ? 1 : 0);
}

/**
 * The loads to start now. Failure guarded against: a stampede on the weight store after a failure
 * domain returned. It shows as "slow down" answers, each of which puts off every new load.
 */
export function planLoads(
  state: LoadState,
  wishes: readonly LoadWish[],
  status: StoreStatus,
  context: { readonly nowMs: number; readonly random: Random },
): LoadWish[] {
  refill(state, status, context.nowMs);
  if (status.retryAfterMs > 0 && state.options.obeysSlowDown) {
    const jitteredMs = status.retryAfterMs * (1 + context.random() / 2);
    state.notBeforeMs = Math.max(state.notBeforeMs, context.nowMs + jitteredMs);
  }
  const started: LoadWish[] = [];
  while (context.nowMs >= state.notBeforeMs && state.active.size < state.options.maxActive) {
    const open = wishes.filter((wish) => !state.active.has(wish.target));
    const [next] = open.sort(byNeed(state));
    if (next === undefined) break;
    const neededMb = Math.min(next.sizeMb, capacityMb(state, status));
    if (state.bucketMb < neededMb || neededMb <= 0) break;
    state.bucketMb -= next.sizeMb;
    state.active.set(next.target, next);
    started.push(next);
  }
  return started;
}

/** A load ended; one that the store put off is wished for again by the caller. */
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
  const boundMs = Math.min(maxSlowDownMs, slowDownMs * 2 ** Math.min(state.slowDowns, 16));
  state.slowDowns += 1;
  const waitMs = boundMs * (0.5 + context.random() / 2);
  state.notBeforeMs = Math.max(state.notBeforeMs, context.nowMs + waitMs);
}
