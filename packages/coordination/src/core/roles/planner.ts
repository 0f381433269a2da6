/**
 * The role planner of one service. Compares the current split of roles with similar ones over the
 * recent demand, which averages out short swings. Orders a change only if the forecast gain over
 * the horizon exceeds the cost of the change (role change, drain and lost cache) by a margin, and
 * never on the basis of outdated reports. The lease decides elsewhere whether orders may be issued
 * at all.
 */
import { EventKind } from '../events/event.js';
import type { UnstampedEvent } from '../events/event.js';
import { EngineRole } from '../model/configuration.js';
import type { EngineProfile } from '../routing/engine-profile.js';
import { servedShare } from './capacity.js';
import type { RoleSplit } from './capacity.js';
import type { DemandReport, DemandSample } from './demand.js';
import { type PlannerTarget, chooseTarget } from './choose-target.js';
import { changeCostRequests } from './change-cost.js';

/** Options of a role planner. */
export interface PlannerOptions {
  readonly service: string;
  readonly profile: EngineProfile;
  /** The minimum number of targets that keep serving during a change. */
  readonly floorTargets: number;
  /** Time over which gains are counted. */
  readonly horizonMs: number;
  /** Age at which a demand sample has half its weight. */
  readonly halfLifeMs: number;
  /** Minimum ratio of gain to cost. */
  readonly margin: number;
  /** Minimum gain beyond that, as a share of the requests in the horizon. */
  readonly minGainShare: number;
  /** Maximum age of a report on which decisions are based. */
  readonly maxReportAgeMs: number;
  /** Maximum share of the engines that may be changing at once; one engine always may. */
  readonly maxChangingShare: number;
}

/** The default options; docs/design/policy.md gives the reasons and their sensitivity. */
export const DEFAULT_PLANNER_OPTIONS = {
  horizonMs: 60_000,
  halfLifeMs: 12_000,
  margin: 2,
  minGainShare: 0.03,
  maxReportAgeMs: 10_000,
  maxChangingShare: 0.26,
} as const;

/** The inputs of a decision. */
export interface PlannerView {
  readonly targets: readonly PlannerTarget[];
  /** The latest report of each entry. */
  readonly demand: readonly DemandReport[];
  /** Number of live entries. The demand at those without a recent report is unknown. */
  readonly entriesAlive: number;
}

/** A role change that the planner requests. */
export interface RoleOrder {
  readonly target: string;
  readonly role: EngineRole;
}

/** A decision with its time line events, which also explain why roles were kept. */
export interface RolePlan {
  readonly orders: readonly RoleOrder[];
  readonly events: readonly UnstampedEvent[];
}

/** The planner's state. */
export interface RolePlanner {
  readonly options: PlannerOptions;
  /** Sums of the latest reports, before smoothing. */
  recentSums: DemandSample[];
  /** Means over a few seconds each, the newest last. */
  samples: DemandSample[];
  /** The last sequence number per entry, to ignore reports that were already counted. */
  readonly sequences: Map<string, number>;
  /** The last reason in the time line; a repeated reason is not reported again. */
  lastReason: string;
}

/** Creates a planner without demand samples. */
export function createRolePlanner(options: PlannerOptions): RolePlanner {
  return { options, recentSums: [], samples: [], sequences: new Map(), lastReason: '' };
}

/** Maximum number of samples: at one a second, about ten half-lives. */
const MAX_SAMPLES = 120;

/** Number of sums averaged in a sample: the forecast is fitted to means over a few seconds. */
const SMOOTHED_REPORTS = 4;

/** Minimum share of entries and of targets whose reports must be recent. */
const MIN_TRUSTED_SHARE = 0.7;

/** Number of samples needed for a decision. */
const MIN_SAMPLES = 15;

/** Decides whether roles change, and which. Call it about once a second. */
export function planRoles(planner: RolePlanner, view: PlannerView, nowMs: number): RolePlan {
  const reportProblem =
    recordDemandReports(planner, view, nowMs) ?? checkLoadReports(planner, view, nowMs);
  if (reportProblem !== null) return keepRoles(planner, reportProblem, {});
  if (planner.samples.length < MIN_SAMPLES)
    return keepRoles(planner, 'demand is not known yet', {});
  return decide(planner, view, nowMs);
}

function recordDemandReports(
  planner: RolePlanner,
  view: PlannerView,
  nowMs: number,
): string | null {
  const { maxReportAgeMs } = planner.options;
  const fresh = view.demand.filter((report) => nowMs - report.atMs <= maxReportAgeMs);
  if (fresh.length < view.entriesAlive * MIN_TRUSTED_SHARE) return 'demand reports are too old';
  const newReports = fresh.filter(
    (report) => report.sequence !== planner.sequences.get(report.entry),
  );
  if (newReports.length === 0) return null;
  planner.sequences.clear();
  for (const report of view.demand) planner.sequences.set(report.entry, report.sequence);
  planner.recentSums.push(sumReports(fresh, view.entriesAlive, nowMs));
  if (planner.recentSums.length > SMOOTHED_REPORTS) planner.recentSums.shift();
  planner.samples.push(meanOf(planner.recentSums, () => 1, nowMs));
  if (planner.samples.length > MAX_SAMPLES) planner.samples.shift();
  return null;
}

function sumReports(
  reports: readonly DemandReport[],
  entriesAlive: number,
  nowMs: number,
): DemandSample {
  const sum = { requestsPerS: 0, prefillEngines: 0, cachedPrefillEngines: 0, decodeEngines: 0 };
  for (const report of reports) {
    if (report.spanMs <= 0) continue;
    sum.requestsPerS += (report.requests * 1000) / report.spanMs;
    sum.prefillEngines += report.prefillMs / report.spanMs;
    sum.cachedPrefillEngines += report.savedMs / report.spanMs;
    sum.decodeEngines += report.decodeMs / report.spanMs;
  }
  // The load balancer spreads callers evenly, so a missing entry has the same demand as the others.
  const missingEntriesFactor = Math.max(1, entriesAlive / Math.max(1, reports.length));
  return {
    atMs: nowMs,
    requestsPerS: sum.requestsPerS * missingEntriesFactor,
    prefillEngines: sum.prefillEngines * missingEntriesFactor,
    cachedPrefillEngines: sum.cachedPrefillEngines * missingEntriesFactor,
    decodeEngines: sum.decodeEngines * missingEntriesFactor,
  };
}

function checkLoadReports(planner: RolePlanner, view: PlannerView, nowMs: number): string | null {
  const accepting = view.targets.filter((target) => target.accepting);
  const fresh = accepting.filter(
    (target) =>
      target.report !== null && nowMs - target.report.atMs <= planner.options.maxReportAgeMs,
  );
  // Old or missing reports indicate a partition, in which a change could leave a role without
  // targets.
  return fresh.length < accepting.length * MIN_TRUSTED_SHARE ? 'load reports are too old' : null;
}

/** A split that is compared with the current one. */
interface SplitOption {
  readonly prefillTargets: number;
  readonly gainRequests: number;
  readonly costRequests: number;
}

function decide(planner: RolePlanner, view: PlannerView, nowMs: number): RolePlan {
  const { options } = planner;
  const split = plannedSplit(view);
  const total = split.prefillTargets + split.decodeTargets;
  const changing = view.targets.filter((target) => target.changingTo !== null).length;
  const maxChanging = Math.max(1, Math.floor(total * options.maxChangingShare));
  const maxStep = Math.max(1, maxChanging - changing);
  const splitOptions = [
    split.prefillTargets - maxStep,
    split.prefillTargets - 1,
    split.prefillTargets + 1,
    split.prefillTargets + maxStep,
  ]
    .filter((prefillTargets) => prefillTargets >= 0 && prefillTargets < total)
    .map((prefillTargets) => evaluateSplit(planner, split, prefillTargets, nowMs));
  const best = splitOptions.reduce<SplitOption | undefined>(
    (known, next) => (known === undefined || netGain(next) > netGain(known) ? next : known),
    undefined,
  );
  if (best === undefined) return keepRoles(planner, 'there is nothing to change', {});
  const figures = figuresOf(planner, split, best, nowMs);
  const needed = neededGain(planner, best, nowMs);
  if (best.gainRequests < needed) return keepRoles(planner, 'no change would pay back', figures);
  if (changing >= maxChanging) return keepRoles(planner, 'a change is under way', figures);
  return changeRoles(planner, view, best.prefillTargets - split.prefillTargets, figures);
}

function netGain(option: SplitOption): number {
  return option.gainRequests - option.costRequests;
}

function neededGain(planner: RolePlanner, option: SplitOption, nowMs: number): number {
  const { margin, minGainShare, horizonMs } = planner.options;
  const requests = (meanDemand(planner, nowMs).requestsPerS * horizonMs) / 1000;
  return option.costRequests * margin + requests * minGainShare;
}

/** Returns the split after the role changes in progress are done. */
function plannedSplit(view: PlannerView): RoleSplit {
  let prefillTargets = 0;
  let decodeTargets = 0;
  for (const target of view.targets) {
    if (!target.accepting && target.changingTo === null) continue;
    if ((target.changingTo ?? target.role) === EngineRole.Prefill) prefillTargets += 1;
    else decodeTargets += 1;
  }
  return { prefillTargets, decodeTargets };
}

function evaluateSplit(
  planner: RolePlanner,
  split: RoleSplit,
  prefillTargets: number,
  nowMs: number,
): SplitOption {
  const total = split.prefillTargets + split.decodeTargets;
  const newSplit = { prefillTargets, decodeTargets: total - prefillTargets };
  const { profile, horizonMs } = planner.options;
  let weightedGain = 0;
  let totalWeight = 0;
  for (const sample of planner.samples) {
    const weight = weightOf(planner, sample, nowMs);
    const servedShareGain =
      servedShare(profile, newSplit, sample) - servedShare(profile, split, sample);
    weightedGain += servedShareGain * sample.requestsPerS * weight;
    totalWeight += weight;
  }
  const costRequests = changeCostRequests(profile, split, newSplit, meanDemand(planner, nowMs));
  return {
    prefillTargets,
    gainRequests: ((weightedGain / totalWeight) * horizonMs) / 1000,
    costRequests,
  };
}

function weightOf(planner: RolePlanner, sample: DemandSample, nowMs: number): number {
  return 2 ** (-(nowMs - sample.atMs) / planner.options.halfLifeMs);
}

function meanDemand(planner: RolePlanner, nowMs: number): DemandSample {
  return meanOf(planner.samples, (sample) => weightOf(planner, sample, nowMs), nowMs);
}

function meanOf(
  samples: readonly DemandSample[],
  weightOfSample: (sample: DemandSample) => number,
  nowMs: number,
): DemandSample {
  const mean = { requestsPerS: 0, prefillEngines: 0, cachedPrefillEngines: 0, decodeEngines: 0 };
  let totalWeight = 0;
  for (const sample of samples) {
    const weight = weightOfSample(sample);
    mean.requestsPerS += sample.requestsPerS * weight;
    mean.prefillEngines += sample.prefillEngines * weight;
    mean.cachedPrefillEngines += sample.cachedPrefillEngines * weight;
    mean.decodeEngines += sample.decodeEngines * weight;
    totalWeight += weight;
  }
  return {
    atMs: nowMs,
    requestsPerS: mean.requestsPerS / totalWeight,
    prefillEngines: mean.prefillEngines / totalWeight,
    cachedPrefillEngines: mean.cachedPrefillEngines / totalWeight,
    decodeEngines: mean.decodeEngines / totalWeight,
  };
}

function figuresOf(
  planner: RolePlanner,
  split: RoleSplit,
  best: SplitOption,
  nowMs: number,
): Record<string, number> {
  const demand = meanDemand(planner, nowMs);
  return {
    readers: split.prefillTargets,
    writers: split.decodeTargets,
    weighedReaders: best.prefillTargets,
    gainRequests: round(best.gainRequests),
    costRequests: round(best.costRequests),
    neededRequests: round(neededGain(planner, best, nowMs)),
    prefillEngines: round(demand.prefillEngines),
    decodeEngines: round(demand.decodeEngines),
    requestsPerS: round(demand.requestsPerS),
  };
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}

function keepRoles(
  planner: RolePlanner,
  reason: string,
  figures: Readonly<Record<string, number>>,
): RolePlan {
  if (reason === planner.lastReason) return { orders: [], events: [] };
  planner.lastReason = reason;
  const service = planner.options.service;
  return { orders: [], events: [{ kind: EventKind.RoleDecision, service, reason, figures }] };
}

function changeRoles(
  planner: RolePlanner,
  view: PlannerView,
  addedPrefillTargets: number,
  figures: Readonly<Record<string, number>>,
): RolePlan {
  const role = addedPrefillTargets > 0 ? EngineRole.Prefill : EngineRole.Decode;
  const orders: RoleOrder[] = [];
  const chosenNames = new Set<string>();
  for (let count = 0; count < Math.abs(addedPrefillTargets); count += 1) {
    const target = chooseTarget(view.targets, role, chosenNames, planner.options.floorTargets);
    if (target === null) break;
    chosenNames.add(target);
    orders.push({ target, role });
  }
  if (orders.length === 0) return keepRoles(planner, 'no target may be taken away now', figures);
  const reason = role === EngineRole.Prefill ? 'more readers pay back' : 'more writers pay back';
  planner.lastReason = reason;
  const service = planner.options.service;
  return {
    orders,
    events: orders.map(({ target }) => ({
      kind: EventKind.RoleDecision,
      service,
      target,
      reason,
      figures,
    })),
  };
}
