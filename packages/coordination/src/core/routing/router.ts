/**
 * State of one entry's router for one service: the targets it knows, what it believes of them, the
 * prefix index and the expected lengths of answers. Decisions on it are in `route.ts`.
 */
import type { EngineRole } from '../model/configuration.js';
import type { Hash32 } from '../hashing/hashing.js';
import type { CacheNews } from './cache-news.js';
import type { EngineProfile } from './engine-profile.js';
import type { LoadReport, TargetInfo } from './load-report.js';
import { createOutputLengths, noteOutputLength } from './output-length.js';
import type { OutputLengths } from './output-length.js';
import { createPrefixIndex, noteCacheNews, voidKnowledge } from './prefix-index.js';
import type { PrefixIndex } from './prefix-index.js';
import { chooseSubset, rankHighest } from './subset.js';
import { noteOwnEnd, noteReport } from './target-view.js';
import type { TargetView } from './target-view.js';

/** What a router is made with. */
export interface RouterOptions {
  /** Name of the entry; seeds its subset of targets. */
  readonly entry: string;
  readonly profile: EngineProfile;
  readonly hash32: Hash32;
  /** Targets an entry weighs and hears reports of, beside the homes of prefixes. */
  readonly subsetTargets: number;
  /** Candidates that are weighed per phase; all, where the subset has no more. */
  readonly choices: number;
  /** Most blocks in the prefix index. */
  readonly maxPrefixBlocks: number;
  /** Prompt tokens in one block of a prefix. */
  readonly blockTokens: number;
  readonly firstTokenGoalMs: number;
  readonly interTokenGoalMs: number;
  /** Own dispatches since a report count this often, for those of the other entries. */
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

/** The router's state. Owned by the caller, changed by the functions of this folder only. */
export interface Router {
  readonly options: RouterOptions;
  readonly views: Map<string, TargetView>;
  /** By `TargetView.index`; holes where a target left. */
  readonly byIndex: (TargetView | undefined)[];
  /** Targets of the subset that take new work and read prompts only. */
  readers: readonly TargetView[];
  /** Targets of the subset that take new work and write answers. */
  writers: readonly TargetView[];
  live: readonly TargetView[];
  subset: readonly TargetView[];
  subsetNames: ReadonlySet<string>;
  /** Homes of prefixes, by slot, worked out at first use; emptied when targets change. */
  readonly homes: Map<number, readonly TargetView[]>;
  readonly prefixes: PrefixIndex;
  readonly lengths: OutputLengths;
  nextIndex: number;
  /** Moving mean of the part of prompt tokens that had to be read; the rest was cached. */
  unreadShare: number;
  dispatches: number;
}

/** Makes a router that knows no targets yet. */
export function createRouter(options: RouterOptions): Router {
  return {
    options,
    views: new Map(),
    byIndex: [],
    readers: [],
    writers: [],
    live: [],
    subset: [],
    subsetNames: new Set(),
    homes: new Map(),
    prefixes: createPrefixIndex(options.maxPrefixBlocks),
    lengths: createOutputLengths(),
    nextIndex: 0,
    unreadShare: 1,
    dispatches: 0,
  };
}

/** Takes in which targets the service has now. Cost grows with the fleet; call it on changes. */
export function noteTargets(router: Router, targets: readonly TargetInfo[]): void {
  const names = new Set(targets.map((target) => target.name));
  for (const view of router.views.values()) {
    if (!names.has(view.name)) forget(router, view);
  }
  for (const target of targets) {
    const view = router.views.get(target.name) ?? addView(router, target);
    view.accepting = target.accepting;
    if (view.report === null) view.role = target.role;
  }
  router.live = [...router.views.values()].filter((view) => view.accepting);
  router.subset = chooseSubset(
    router.live,
    router.options.entry,
    router.options.subsetTargets,
    router.options.hash32,
  );
  router.subsetNames = new Set(router.subset.map((view) => view.name));
  router.homes.clear();
  sortByPhase(router);
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
    own: [],
    usedAtMs: Number.NEGATIVE_INFINITY,
    ownEnds: [],
    cacheGeneration: 0,
    doubtfulBefore: 0,
    voidBefore: 0,
    cacheEpoch: '',
    cacheSequence: -1,
  };
  router.nextIndex += 1;
  router.views.set(target.name, view);
  router.byIndex[view.index] = view;
  return view;
}

function forget(router: Router, view: TargetView): void {
  router.views.delete(view.name);
  // Indexes are not used again, so that the prefix index cannot mistake a new target for this one.
  router.byIndex[view.index] = undefined;
}

function sortByPhase(router: Router): void {
  const { profile } = router.options;
  const accepting = router.subset.filter((view) => view.accepting);
  router.readers = accepting.filter((view) => profile.roles[view.role].maxBatch === 0);
  router.writers = accepting.filter((view) => profile.roles[view.role].maxBatch > 0);
}

/** Time for which an entry hears reports of a target outside its subset that it used. */
const HEARD_AFTER_USE_MS = 10_000;

/** Whether the entry wants load reports of a target: in its subset, or used lately. */
export function wantsReports(router: Router, target: string, nowMs: number): boolean {
  if (router.subsetNames.has(target)) return true;
  const view = router.views.get(target);
  return view !== undefined && nowMs - view.usedAtMs <= HEARD_AFTER_USE_MS;
}

/** Takes a load report in. Reports of unknown targets are dropped. */
export function noteLoad(router: Router, report: LoadReport): void {
  const view = router.views.get(report.target);
  if (view === undefined) return;
  const epoch = view.report?.epoch;
  const role = view.role;
  const accepting = view.accepting;
  if (!noteReport(view, report, router.options.profile)) return;
  view.accepting = report.accepting;
  if (epoch !== undefined && epoch !== report.epoch) voidKnowledge(view);
  if (role !== view.role || accepting !== view.accepting) sortByPhase(router);
}

/** Sets a target's role as an order says, before its report does. */
export function noteRole(router: Router, target: string, role: EngineRole): void {
  const view = router.views.get(target);
  if (view === undefined || view.role === role) return;
  view.role = role;
  sortByPhase(router);
}

/** Takes a cache event in. Events of unknown targets are dropped. */
export function noteCacheEvent(router: Router, target: string, news: CacheNews): void {
  const view = router.views.get(target);
  if (view !== undefined) noteCacheNews(router.prefixes, view, news);
}

/** An own answer came to its end, whole or not. */
export interface AnswerEnd {
  /** The target that wrote it. */
  readonly target: string;
  readonly workspace: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** False: it was cut, so its length teaches nothing. */
  readonly whole: boolean;
}

/** Takes the end of an own answer in. */
export function noteEnd(router: Router, end: AnswerEnd, nowMs: number): void {
  if (end.whole) {
    noteOutputLength(router.lengths, end.workspace, end.promptTokens, end.outputTokens);
  }
  const view = router.views.get(end.target);
  if (view !== undefined) noteOwnEnd(view, nowMs, end.promptTokens + end.outputTokens);
}

/** Slots of the prefix space; a prefix hashes to a slot, each slot has its homes. */
const PREFIX_SLOTS = 4096;

/** Homes of a prefix: two, so that one may be full or leave. */
const HOMES_PER_PREFIX = 2;

/** The homes of a prompt that begins with this block, the same at all entries. */
export function homesOf(router: Router, firstBlock: string): readonly TargetView[] {
  const slot = router.options.hash32(firstBlock) % PREFIX_SLOTS;
  const known = router.homes.get(slot);
  if (known !== undefined) return known;
  const homes = rankHighest(router.live, slot + 1, HOMES_PER_PREFIX);
  router.homes.set(slot, homes);
  return homes;
}
