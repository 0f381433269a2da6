/**
 * State of an entry's router for one service: the known targets with their estimated load, the
 * prefix index and the expected output lengths. The routing decisions are in `route.ts`.
 */
import type { EngineRole } from '../model/configuration.js';
import type { Hash32 } from '../hashing/hashing.js';
import type { CacheEvent } from './cache-event.js';
import type { EngineProfile } from './engine-profile.js';
import type { LoadReport, TargetInfo } from './load-report.js';
import { createOutputLengths, recordOutputLength } from './output-length.js';
import type { OutputLengths } from './output-length.js';
import { createPrefixIndex, applyCacheEvent, invalidateCachedBlocks } from './prefix-index.js';
import type { PrefixIndex } from './prefix-index.js';
import { chooseSubset, rankHighest } from './subset.js';
import { recordOwnCompletion, applyReport } from './target-view.js';
import type { TargetView } from './target-view.js';

/** Options of a router. */
export interface RouterOptions {
  /** Name of the entry; determines its subset of targets. */
  readonly entry: string;
  readonly profile: EngineProfile;
  readonly hash32: Hash32;
  /** Size of the subset that the entry considers and receives reports of, besides home targets. */
  readonly subsetTargets: number;
  /** Number of candidates compared per phase; all targets of the subset if it has no more. */
  readonly choices: number;
  /** Maximum number of blocks in the prefix index. */
  readonly maxPrefixBlocks: number;
  /** Prompt tokens per prefix block. */
  readonly blockTokens: number;
  readonly firstTokenGoalMs: number;
  readonly interTokenGoalMs: number;
  /** Factor for own dispatches since a report, to account for those of the other entries. */
  readonly peerFactor: number;
  /** One-way latency from this entry to a failure domain, in milliseconds. */
  readonly latencyMs: (failureDomain: string) => number;
}

/** Defaults that do not depend on the deployment; the reasons are in docs/design/routing.md. */
export const DEFAULT_ROUTER_OPTIONS = {
  subsetTargets: 48,
  choices: 8,
  maxPrefixBlocks: 50_000,
  blockTokens: 256,
  firstTokenGoalMs: 360,
  interTokenGoalMs: 80,
  peerFactor: 1,
} as const;

/** The router's state. Owned by the caller; only the functions of this folder change it. */
export interface Router {
  readonly options: RouterOptions;
  readonly views: Map<string, TargetView>;
  /** Views by `TargetView.index`; undefined where a target has left. */
  readonly viewsByIndex: (TargetView | undefined)[];
  /** Targets of the subset that accept new work and run prefill only. */
  prefillTargets: readonly TargetView[];
  /** Targets of the subset that accept new work and can decode. */
  decodeTargets: readonly TargetView[];
  /** All targets that accept new work. */
  acceptingTargets: readonly TargetView[];
  subset: readonly TargetView[];
  subsetNames: ReadonlySet<string>;
  /** Home targets by prefix slot, computed on first use and cleared when the targets change. */
  readonly homes: Map<number, readonly TargetView[]>;
  readonly prefixes: PrefixIndex;
  readonly lengths: OutputLengths;
  nextIndex: number;
  /** Moving mean of the share of prompt tokens that needed prefill; the rest was cached. */
  uncachedShare: number;
  dispatches: number;
}

/** Creates a router without targets. */
export function createRouter(options: RouterOptions): Router {
  return {
    options,
    views: new Map(),
    viewsByIndex: [],
    prefillTargets: [],
    decodeTargets: [],
    acceptingTargets: [],
    subset: [],
    subsetNames: new Set(),
    homes: new Map(),
    prefixes: createPrefixIndex(options.maxPrefixBlocks),
    lengths: createOutputLengths(),
    nextIndex: 0,
    uncachedShare: 1,
    dispatches: 0,
  };
}

/** Sets the targets of the service. The cost grows with the fleet; call it only on changes. */
export function updateTargets(router: Router, targets: readonly TargetInfo[]): void {
  const names = new Set(targets.map((target) => target.name));
  for (const view of router.views.values()) {
    if (!names.has(view.name)) removeView(router, view);
  }
  for (const target of targets) {
    const view = router.views.get(target.name) ?? addView(router, target);
    view.accepting = target.accepting;
    if (view.report === null) view.role = target.role;
  }
  router.acceptingTargets = [...router.views.values()].filter((view) => view.accepting);
  router.subset = chooseSubset(
    router.acceptingTargets,
    router.options.entry,
    router.options.subsetTargets,
    router.options.hash32,
  );
  router.subsetNames = new Set(router.subset.map((view) => view.name));
  router.homes.clear();
  groupByPhase(router);
}

function addView(router: Router, target: TargetInfo): TargetView {
  const view: TargetView = {
    name: target.name,
    failureDomain: target.failureDomain,
    index: router.nextIndex,
    nameHash: router.options.hash32(target.name),
    role: target.role,
    accepting: target.accepting,
    latencyMs: router.options.latencyMs(target.failureDomain),
    report: null,
    excessMs: 0,
    ownDispatches: [],
    lastDispatchAtMs: Number.NEGATIVE_INFINITY,
    ownCompletions: [],
    cacheGeneration: 0,
    uncertainBefore: 0,
    invalidBefore: 0,
    cacheEpoch: '',
    cacheSequence: -1,
  };
  router.nextIndex += 1;
  router.views.set(target.name, view);
  router.viewsByIndex[view.index] = view;
  return view;
}

function removeView(router: Router, view: TargetView): void {
  router.views.delete(view.name);
  // Indexes are never reused, so that the prefix index cannot confuse a new target with this one.
  router.viewsByIndex[view.index] = undefined;
}

function groupByPhase(router: Router): void {
  const { profile } = router.options;
  const accepting = router.subset.filter((view) => view.accepting);
  router.prefillTargets = accepting.filter((view) => profile.roles[view.role].maxBatch === 0);
  router.decodeTargets = accepting.filter((view) => profile.roles[view.role].maxBatch > 0);
}

/** How long an entry receives reports of a target outside its subset after using it. */
const REPORTS_AFTER_USE_MS = 10_000;

/** Returns whether the entry needs load reports of a target: in its subset or recently used. */
export function wantsReports(router: Router, target: string, nowMs: number): boolean {
  if (router.subsetNames.has(target)) return true;
  const view = router.views.get(target);
  return view !== undefined && nowMs - view.lastDispatchAtMs <= REPORTS_AFTER_USE_MS;
}

/** Applies a load report. Reports of unknown targets are ignored. */
export function applyLoadReport(router: Router, report: LoadReport): void {
  const view = router.views.get(report.target);
  if (view === undefined) return;
  const previousEpoch = view.report?.epoch;
  const previousRole = view.role;
  const wasAccepting = view.accepting;
  if (!applyReport(view, report, router.options.profile)) return;
  view.accepting = report.accepting;
  if (previousEpoch !== undefined && previousEpoch !== report.epoch) invalidateCachedBlocks(view);
  if (previousRole !== view.role || wasAccepting !== view.accepting) groupByPhase(router);
}

/** Sets a target's role when a role change is ordered, before its reports show it. */
export function setTargetRole(router: Router, target: string, role: EngineRole): void {
  const view = router.views.get(target);
  if (view === undefined || view.role === role) return;
  view.role = role;
  groupByPhase(router);
}

/** Applies a cache event. Events of unknown targets are ignored. */
export function recordCacheEvent(router: Router, target: string, event: CacheEvent): void {
  const view = router.views.get(target);
  if (view !== undefined) applyCacheEvent(router.prefixes, view, event);
}

/** The end of an answer that this entry dispatched, complete or not. */
export interface AnswerEnd {
  /** The target that decoded the answer. */
  readonly target: string;
  readonly workspace: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** False if the answer was cut off, in which case its length is not recorded. */
  readonly whole: boolean;
}

/** Records the end of an answer that this entry dispatched. */
export function recordAnswerEnd(router: Router, end: AnswerEnd, nowMs: number): void {
  if (end.whole) {
    recordOutputLength(router.lengths, end.workspace, end.promptTokens, end.outputTokens);
  }
  const view = router.views.get(end.target);
  if (view !== undefined) recordOwnCompletion(view, nowMs, end.promptTokens + end.outputTokens);
}

/** Number of prefix slots; a prefix is hashed to a slot, and each slot has its home targets. */
const PREFIX_SLOTS = 4096;

/** Home targets per prefix: two, because one of them may be full or leave. */
const HOMES_PER_PREFIX = 2;

/** Returns the home targets of prompts that begin with this block, the same at all entries. */
export function homeTargetsOf(router: Router, firstBlock: string): readonly TargetView[] {
  const slot = router.options.hash32(firstBlock) % PREFIX_SLOTS;
  const cached = router.homes.get(slot);
  if (cached !== undefined) return cached;
  const homes = rankHighest(router.acceptingTargets, slot + 1, HOMES_PER_PREFIX);
  router.homes.set(slot, homes);
  return homes;
}
