/**
 * The routing decision. Each candidate is given an expected cost in milliseconds: time to the first
 * token, work added to the engine, harm done to the answers that run there, memory that the answer
 * will need. The cheapest way wins, be it one engine for both phases or a reader that hands its KV
 * cache to a writer; so the cache is moved only where that is cheaper than reading the prompt
 * again, and a cached prefix attracts only as much as it saves.
 */
import type { Random } from '../random/random.js';
import { pickCandidates } from './candidates.js';
import { decodeStepMs, transferMs } from './engine-profile.js';
import { expectedOutputTokens } from './output-length.js';
import { heldBlocks, noteHolder } from './prefix-index.js';
import type { Router } from './router.js';
import { estimateLoad, noteOwnDispatch, prefillMsPerToken } from './target-view.js';
import type { LoadEstimate, TargetView } from './target-view.js';

/** A request as routing sees it. */
export interface RouteRequest {
  readonly workspace: string;
  /** Prompt and, at a continuation, the tokens already written. */
  readonly promptTokens: number;
  /** Fingerprints of the prompt's whole blocks, each covering all text before it. */
  readonly prefixBlocks: readonly string[];
  readonly maxOutputTokens: number;
  /** Targets that must not be tried again. */
  readonly excluded: ReadonlySet<string>;
}

/** How a request is served. */
export enum RouteKind {
  /** One engine reads the prompt and writes the answer. */
  Whole = 'whole',
  /** One engine reads the prompt and hands its KV cache to another, which writes. */
  Split = 'split',
  /** No target takes work now. */
  None = 'none',
}

/** Where a request goes, with the prediction that the choice rests on. */
export interface RoutePlan {
  readonly kind: RouteKind.Whole | RouteKind.Split;
  /** Reads the prompt. */
  readonly reader: string;
  /** Writes the answer; the same as `reader` when whole. */
  readonly writer: string;
  readonly predictedFirstTokenMs: number;
  /** Time that the reader works on the prompt, without the wait. */
  readonly predictedReadMs: number;
  readonly predictedStepMs: number;
  /** The writer's memory will probably not hold the answer. */
  readonly memoryShort: boolean;
  /** Prompt tokens that the reader has to compute. */
  readonly prefillTokens: number;
  readonly expectedOutputTokens: number;
}

/** The decision. */
export type RouteDecision = RoutePlan | { readonly kind: RouteKind.None };

/** Price of one millisecond of engine time against one of waiting: both delay somebody once. */
const WORK_PRICE = 1;

/** Part of a goal from which a prediction counts as a probable miss; predictions err by a tenth. */
const GOAL_MARGIN = 0.9;

/** Cost of each millisecond beyond the margin: a miss makes the whole answer worthless. */
const MISS_PRICE = 4;

/** Cost of a step beyond the goal, per millisecond: it makes the whole batch late. */
const SLOW_STEP_PRICE = 20;

/** Weight of the step length when all is well; evens the batches out. */
const STEP_PRICE = 1;

/** Part of the KV memory that is planned for; the rest absorbs answers longer than expected. */
const KV_PLANNED_SHARE = 0.92;

/** Cost of a target whose memory will not hold the answer: it would preempt a running one. */
const KV_SHORT_COST = 2000;

interface ReaderCost {
  readonly view: TargetView;
  readonly costMs: number;
  readonly firstTokenMs: number;
  readonly readMs: number;
  readonly prefillTokens: number;
}

interface WriterCost {
  readonly view: TargetView;
  readonly memoryShort: boolean;
  readonly load: LoadEstimate;
  readonly costMs: number;
  readonly stepMs: number;
}

/** Decides where a request goes. Does not change the router; call `noteDispatch` when it went. */
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
  const writers = candidates.writers.map((view) =>
    writerCost(router, view, loadOf(view), request, outputTokens),
  );
  const writer = cheapest(writers);
  if (writer === undefined) return { kind: RouteKind.None };
  const reader = cheapest(
    candidates.readers.map((view) => readerCost(router, view, loadOf(view), request)),
  );
  const whole = cheapestWhole(router, writers, request);
  const splitMs =
    reader === undefined
      ? Number.POSITIVE_INFINITY
      : reader.costMs + writer.costMs + transferMs(router.options.profile, request.promptTokens);
  if (reader === undefined || whole.costMs <= splitMs) {
    return planOf(RouteKind.Whole, whole, whole.writer, outputTokens);
  }
  return planOf(RouteKind.Split, reader, writer, outputTokens);
}

function planOf(
  kind: RoutePlan['kind'],
  reader: ReaderCost,
  writer: WriterCost,
  outputTokens: number,
): RoutePlan {
  return {
    kind,
    reader: reader.view.name,
    writer: writer.view.name,
    predictedFirstTokenMs: reader.firstTokenMs,
    predictedReadMs: reader.readMs,
    predictedStepMs: writer.stepMs,
    memoryShort: writer.memoryShort,
    prefillTokens: reader.prefillTokens,
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

function missCost(valueMs: number, goalMs: number): number {
  return Math.max(0, valueMs - goalMs * GOAL_MARGIN) * MISS_PRICE;
}

function tokensToRead(router: Router, view: TargetView, request: RouteRequest): number {
  const held = heldBlocks(router.prefixes, view, request.prefixBlocks) * router.options.blockTokens;
  return Math.max(1, request.promptTokens - held);
}

function readerCost(
  router: Router,
  view: TargetView,
  load: LoadEstimate,
  request: RouteRequest,
): ReaderCost {
  const { profile, firstTokenGoalMs } = router.options;
  const prefillTokens = tokensToRead(router, view, request);
  const readMs = prefillTokens * prefillMsPerToken(profile, view.role, load.stepMs);
  const firstTokenMs = load.queueMs + readMs + load.stepMs + 2 * view.latencyMs;
  const workMs = prefillTokens * profile.roles[view.role].prefillMsPerToken;
  const costMs = firstTokenMs + workMs * WORK_PRICE + missCost(firstTokenMs, firstTokenGoalMs);
  return { view, costMs, firstTokenMs, readMs, prefillTokens };
}

function writerCost(
  router: Router,
  view: TargetView,
  load: LoadEstimate,
  request: RouteRequest,
  outputTokens: number,
): WriterCost {
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
  const short = kvTokens > load.kvCapacityTokens * KV_PLANNED_SHARE;
  const full = load.runningRequests >= profile.roles[view.role].maxBatch;
  const memoryShort = short || full;
  const costMs = stepMs * STEP_PRICE + slowMs * SLOW_STEP_PRICE + (memoryShort ? KV_SHORT_COST : 0);
  return { view, load, memoryShort, costMs, stepMs };
}

function cheapestWhole(
  router: Router,
  writers: readonly WriterCost[],
  request: RouteRequest,
): ReaderCost & { readonly writer: WriterCost } {
  const costs = writers.map((writer) => {
    const reading = readerCost(router, writer.view, writer.load, request);
    const harmMs = interferenceMs(router, writer, reading.prefillTokens);
    return { ...reading, costMs: reading.costMs + writer.costMs + harmMs, writer };
  });
  const best = cheapest(costs);
  // The caller has at least one writer, so that there is always a cheapest.
  return best as NonNullable<typeof best>;
}

/** Harm of reading a prompt amid running answers: the steps that carry its chunks are longer. */
function interferenceMs(router: Router, writer: WriterCost, prefillTokens: number): number {
  const { profile, interTokenGoalMs } = router.options;
  const figures = profile.roles[writer.view.role];
  const chunkMs = Math.min(prefillTokens, figures.chunkTokens) * figures.prefillMsPerToken;
  const steps = Math.ceil(prefillTokens / figures.chunkTokens);
  const slowMs = Math.max(0, writer.stepMs + chunkMs - interTokenGoalMs * GOAL_MARGIN);
  return steps * slowMs * SLOW_STEP_PRICE;
}

/** Weight of the newest dispatch in the share that had to be read: some hundred requests. */
const UNREAD_WEIGHT = 0.01;

/** Takes in that a request was sent as planned, before reports can show it. */
export function noteDispatch(
  router: Router,
  plan: RoutePlan,
  request: RouteRequest,
  nowMs: number,
): void {
  const unread = plan.prefillTokens / request.promptTokens;
  router.dispatches += 1;
  const weight = Math.max(UNREAD_WEIGHT, 1 / router.dispatches);
  router.unreadShare += (unread - router.unreadShare) * weight;
  const reader = router.views.get(plan.reader);
  const writer = router.views.get(plan.writer);
  const contextTokens = request.promptTokens + plan.expectedOutputTokens / 2;
  if (reader !== undefined) {
    noteHolder(router.prefixes, reader, request.prefixBlocks);
    const written = plan.kind === RouteKind.Whole ? contextTokens : 0;
    noteOwnDispatch(reader, {
      atMs: nowMs,
      prefillTokens: plan.prefillTokens,
      contextTokens: written,
    });
  }
  if (writer !== undefined && plan.kind === RouteKind.Split) {
    noteHolder(router.prefixes, writer, request.prefixBlocks);
    noteOwnDispatch(writer, { atMs: nowMs, prefillTokens: 0, contextTokens });
  }
}

/** Takes in that a running answer moves to another writer with its KV cache. */
export function noteMove(
  router: Router,
  writer: string,
  request: RouteRequest,
  expectedOutputTokens: number,
  nowMs: number,
): void {
  const view = router.views.get(writer);
  if (view === undefined) return;
  const contextTokens = request.promptTokens + expectedOutputTokens / 2;
  noteOwnDispatch(view, { atMs: nowMs, prefillTokens: 0, contextTokens });
}

/** Nothing excluded. */
export const excludedNone: ReadonlySet<string> = new Set();
