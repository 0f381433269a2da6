/**
 * Decides which targets serve a request. Each candidate gets an expected cost in milliseconds: time
 * to first token, added engine work, delay of the answers already running there, and KV cache
 * memory for the new answer. The cheapest option is chosen: one target for both phases, or prefill
 * on one target and decode on another after a KV cache transfer. The transfer is therefore used
 * only if it costs less than prefill on the decode target, and a cached prefix weighs only as much
 * as the prefill time that it saves.
 */
import type { Random } from '../random/random.js';
import { pickCandidates } from './candidates.js';
import { decodeStepMs, transferMs } from './engine-profile.js';
import { expectedOutputTokens } from './output-length.js';
import { expectedCachedBlocks, recordHolder } from './prefix-index.js';
import type { Router } from './router.js';
import { estimateLoad, recordOwnDispatch, prefillMsPerToken } from './target-view.js';
import type { LoadEstimate, TargetView } from './target-view.js';

/** The properties of a request that routing uses. */
export interface RouteRequest {
  readonly workspace: string;
  /** Prompt tokens plus, for a continuation, the tokens already generated. */
  readonly promptTokens: number;
  /** Fingerprints of the prompt's complete blocks; each covers all text before it. */
  readonly prefixBlocks: readonly string[];
  readonly maxOutputTokens: number;
  /** Names of targets that must not be used. */
  readonly excluded: ReadonlySet<string>;
}

/** How a request is distributed over targets. */
export enum RouteKind {
  /** One target runs both prefill and decode. */
  Whole = 'whole',
  /** One target runs prefill and transfers its KV cache to another, which decodes. */
  Split = 'split',
  /** No target accepts the request now. */
  None = 'none',
}

/** The chosen targets of a request, with the predictions behind the choice. */
export interface RoutePlan {
  readonly kind: RouteKind.Whole | RouteKind.Split;
  /** Name of the target that runs prefill. */
  readonly reader: string;
  /** Name of the target that decodes; equal to `reader` for {@link RouteKind.Whole}. */
  readonly writer: string;
  readonly predictedFirstTokenMs: number;
  /** Prefill time of the prompt, without queueing. */
  readonly predictedReadMs: number;
  readonly predictedStepMs: number;
  /** Whether the decode target will probably lack KV cache memory or a batch slot. */
  readonly memoryShort: boolean;
  /** Prompt tokens that need prefill because they are not cached. */
  readonly prefillTokens: number;
  readonly expectedOutputTokens: number;
}

/** The routing decision. */
export type RouteDecision = RoutePlan | { readonly kind: RouteKind.None };

/** Cost of a millisecond of engine time relative to one of waiting; each delays one request. */
const ENGINE_TIME_PRICE = 1;

/** Fraction of a latency goal above which a miss is likely; predictions are off by about 10 %. */
const GOAL_MARGIN = 0.9;

/** Cost per millisecond beyond the margin; an answer that misses its goal counts as worthless. */
const GOAL_MISS_PRICE = 4;

/** Cost per millisecond of a step beyond the goal; a slow step delays the whole batch. */
const SLOW_STEP_PRICE = 20;

/** Weight of the step time when all goals are met; balances batch sizes. */
const STEP_PRICE = 1;

/** Fraction of the KV cache that is planned for; the rest absorbs longer answers than expected. */
const PLANNED_KV_SHARE = 0.92;

/** Cost of a target that lacks memory for the answer and would preempt a running one. */
const KV_SHORTAGE_COST_MS = 2000;

interface PrefillCost {
  readonly view: TargetView;
  readonly costMs: number;
  readonly firstTokenMs: number;
  readonly prefillMs: number;
  readonly prefillTokens: number;
}

interface DecodeCost {
  readonly view: TargetView;
  readonly memoryShort: boolean;
  readonly load: LoadEstimate;
  readonly costMs: number;
  readonly stepMs: number;
}

/**
 * Chooses the targets of a request. Does not change the router; call {@link recordDispatch} after the
 * request has been sent.
 */
export function route(
  router: Router,
  request: RouteRequest,
  nowMs: number,
  random: Random,
): RouteDecision {
  const candidates = pickCandidates(router, request.prefixBlocks, request.excluded, nowMs, random);
  const outputTokens = expectedOutputTokens(
    router.lengths,
    request.workspace,
    request.promptTokens,
    request.maxOutputTokens,
  );
  const loadOf = (view: TargetView): LoadEstimate =>
    estimateLoad(view, router.options.profile, nowMs, router.options.peerFactor);
  const decodeCosts = candidates.decodeTargets.map((view) =>
    decodeCost(router, view, loadOf(view), request, outputTokens),
  );
  const decode = cheapest(decodeCosts);
  if (decode === undefined) return { kind: RouteKind.None };
  const prefill = cheapest(
    candidates.prefillTargets.map((view) => prefillCost(router, view, loadOf(view), request)),
  );
  const whole = cheapestSingleTarget(router, decodeCosts, request);
  const splitMs =
    prefill === undefined
      ? Number.POSITIVE_INFINITY
      : prefill.costMs + decode.costMs + transferMs(router.options.profile, request.promptTokens);
  if (prefill === undefined || whole.costMs <= splitMs) {
    return planOf(RouteKind.Whole, whole, whole.decode, outputTokens);
  }
  return planOf(RouteKind.Split, prefill, decode, outputTokens);
}

function planOf(
  kind: RoutePlan['kind'],
  prefill: PrefillCost,
  decode: DecodeCost,
  outputTokens: number,
): RoutePlan {
  return {
    kind,
    reader: prefill.view.name,
    writer: decode.view.name,
    predictedFirstTokenMs: prefill.firstTokenMs,
    predictedReadMs: prefill.prefillMs,
    predictedStepMs: decode.stepMs,
    memoryShort: decode.memoryShort,
    prefillTokens: prefill.prefillTokens,
    expectedOutputTokens: outputTokens,
  };
}

function cheapest<T extends { readonly costMs: number }>(costs: readonly T[]): T | undefined {
  let best: T | undefined;
  for (const cost of costs) {
    if (best === undefined || cost.costMs < best.costMs) best = cost;
  }
  return best;
}

function goalMissCost(valueMs: number, goalMs: number): number {
  return Math.max(0, valueMs - goalMs * GOAL_MARGIN) * GOAL_MISS_PRICE;
}

function uncachedPromptTokens(router: Router, view: TargetView, request: RouteRequest): number {
  const cachedTokens =
    expectedCachedBlocks(router.prefixes, view, request.prefixBlocks) * router.options.blockTokens;
  return Math.max(1, request.promptTokens - cachedTokens);
}

function prefillCost(
  router: Router,
  view: TargetView,
  load: LoadEstimate,
  request: RouteRequest,
): PrefillCost {
  const { profile, firstTokenGoalMs } = router.options;
  const prefillTokens = uncachedPromptTokens(router, view, request);
  const prefillMs = prefillTokens * prefillMsPerToken(profile, view.role, load.stepMs);
  const firstTokenMs = load.queueMs + prefillMs + load.stepMs + 2 * view.latencyMs;
  const workMs = prefillTokens * profile.roles[view.role].prefillMsPerToken;
  const costMs =
    firstTokenMs + workMs * ENGINE_TIME_PRICE + goalMissCost(firstTokenMs, firstTokenGoalMs);
  return { view, costMs, firstTokenMs, prefillMs, prefillTokens };
}

function decodeCost(
  router: Router,
  view: TargetView,
  load: LoadEstimate,
  request: RouteRequest,
  outputTokens: number,
): DecodeCost {
  const { profile, interTokenGoalMs } = router.options;
  const stepMs =
    load.excessMs +
    decodeStepMs(
      profile,
      view.role,
      load.runningRequests + 1,
      load.contextTokens + request.promptTokens + outputTokens / 2,
    );
  const slowMs = Math.max(0, stepMs - interTokenGoalMs * GOAL_MARGIN);
  const growthTokens = (load.runningRequests * router.lengths.service.value) / 2;
  const kvTokens = load.kvUsedTokens + growthTokens + request.promptTokens + outputTokens;
  const isKvShort = kvTokens > load.kvCapacityTokens * PLANNED_KV_SHARE;
  const isBatchFull = load.runningRequests >= profile.roles[view.role].maxBatch;
  const memoryShort = isKvShort || isBatchFull;
  const costMs =
    stepMs * STEP_PRICE + slowMs * SLOW_STEP_PRICE + (memoryShort ? KV_SHORTAGE_COST_MS : 0);
  return { view, load, memoryShort, costMs, stepMs };
}

function cheapestSingleTarget(
  router: Router,
  decodeCosts: readonly DecodeCost[],
  request: RouteRequest,
): PrefillCost & { readonly decode: DecodeCost } {
  const costs = decodeCosts.map((decode) => {
    const prefill = prefillCost(router, decode.view, decode.load, request);
    const delayMs = interferenceCost(router, decode, prefill.prefillTokens);
    return { ...prefill, costMs: prefill.costMs + decode.costMs + delayMs, decode };
  });
  const best = cheapest(costs);
  // The caller passes at least one decode cost, so there is always a cheapest one.
  return best as NonNullable<typeof best>;
}

/** Cost of prefill beside running answers: the steps that carry its chunks take longer. */
function interferenceCost(router: Router, decode: DecodeCost, prefillTokens: number): number {
  const { profile, interTokenGoalMs } = router.options;
  const roleProfile = profile.roles[decode.view.role];
  const chunkMs = Math.min(prefillTokens, roleProfile.chunkTokens) * roleProfile.prefillMsPerToken;
  const steps = Math.ceil(prefillTokens / roleProfile.chunkTokens);
  const slowMs = Math.max(0, decode.stepMs + chunkMs - interTokenGoalMs * GOAL_MARGIN);
  return steps * slowMs * SLOW_STEP_PRICE;
}

/** Weight of the newest dispatch in the uncached share; averages over about a hundred requests. */
const UNCACHED_SHARE_WEIGHT = 0.01;

/** Records a dispatched request, so that it counts before load reports include it. */
export function recordDispatch(
  router: Router,
  plan: RoutePlan,
  request: RouteRequest,
  nowMs: number,
): void {
  const uncached = plan.prefillTokens / request.promptTokens;
  router.dispatches += 1;
  const weight = Math.max(UNCACHED_SHARE_WEIGHT, 1 / router.dispatches);
  router.uncachedShare += (uncached - router.uncachedShare) * weight;
  const prefillTarget = router.views.get(plan.reader);
  const decodeTarget = router.views.get(plan.writer);
  const contextTokens = request.promptTokens + plan.expectedOutputTokens / 2;
  if (prefillTarget !== undefined) {
    recordHolder(router.prefixes, prefillTarget, request.prefixBlocks);
    const decodeTokens = plan.kind === RouteKind.Whole ? contextTokens : 0;
    recordOwnDispatch(prefillTarget, {
      atMs: nowMs,
      prefillTokens: plan.prefillTokens,
      contextTokens: decodeTokens,
    });
  }
  if (decodeTarget !== undefined && plan.kind === RouteKind.Split) {
    recordHolder(router.prefixes, decodeTarget, request.prefixBlocks);
    recordOwnDispatch(decodeTarget, { atMs: nowMs, prefillTokens: 0, contextTokens });
  }
}

/** Records that a running answer moves, with its KV cache, to another decode target. */
export function recordMigration(
  router: Router,
  target: string,
  request: RouteRequest,
  expectedOutputTokens: number,
  nowMs: number,
): void {
  const view = router.views.get(target);
  if (view === undefined) return;
  const contextTokens = request.promptTokens + expectedOutputTokens / 2;
  recordOwnDispatch(view, { atMs: nowMs, prefillTokens: 0, contextTokens });
}

/** An empty set of excluded targets. */
export const noExcludedTargets: ReadonlySet<string> = new Set();
