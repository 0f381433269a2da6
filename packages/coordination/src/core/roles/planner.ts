/**
 * The role planner of one service. It weighs each split of roles near the present one over the
 * demand of the recent past, in which a short swing averages out, and orders a change only where
 * the forecast gain over the horizon beats the stall, the drain and the lost cache by a margin. It
 * does nothing from reports that it cannot trust. Whether an order may be given at all is decided
 * elsewhere, by who holds the authority.
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

/** What a planner is made with. */
export interface PlannerOptions {
  readonly service: string;
  readonly profile: EngineProfile;
  /** The least number of targets that stay serving through a change. */
  readonly floorTargets: number;
  /** Gains are counted over this time, in milliseconds. */
  readonly horizonMs: number;
  /** Age at which a demand sample counts half, in milliseconds. */
  readonly halfLifeMs: number;
  /** A gain must be this many times the cost. */
  readonly margin: number;
  /** And at least this part of the requests of the horizon. */
  readonly minGainShare: number;
  /** Reports older than this are not trusted, in milliseconds. */
  readonly maxReportAgeMs: number;
  /** Part of the engines that may be changing at once, at least one. */
  readonly maxChangingShare: number;
}

/** Defaults; reasons and sensitivity in docs/design/policy.md. */
export const DEFAULT_PLANNER_OPTIONS = {
  horizonMs: 60_000,
  halfLifeMs: 12_000,
  margin: 2,
  minGainShare: 0.03,
  maxReportAgeMs: 10_000,
  maxChangingShare: 0.26,
} as const;

/** What a decision looks at. */
export interface PlannerView {
  readonly targets: readonly PlannerTarget[];
  /** Latest report of each entry. */
  readonly demand: readonly DemandReport[];
  /** Entries that are alive; those without a fresh report are unknown demand. */
  readonly entriesAlive: number;
}

/** An order that the planner wants given. */
export interface WantedOrder {
  readonly target: string;
  readonly role: EngineRole;
}

/** The decision with its time line events, also of changes not made. */
export interface RolePlan {
  readonly orders: readonly WantedOrder[];
  readonly events: readonly UnstampedEvent[];
}

/** The planner's state. */
export interface RolePlanner {
  readonly options: PlannerOptions;
  /** Demand of the last seconds, as reported. */
  recent: DemandSample[];
  /** Means over some seconds each, the newest last. */
  samples: DemandSample[];
  /** Last sequence per entry, to tell a frozen report from a new one. */
  readonly sequences: Map<string, number>;
  /** The last reason in the time line, so that only changes of it are shown. */
  lastReason: string;
}

/** Makes a planner without history. */
export function createRolePlanner(options: PlannerOptions): RolePlanner {
  return { options, recent: [], samples: [], sequences: new Map(), lastReason: '' };
}

/** Samples kept: at one a second some ten half-lives. */
const MAX_SAMPLES = 120;

/** Reports that one sample is the mean of: the forecast is fitted to means over some seconds. */
const SMOOTHED_REPORTS = 4;

/** Least part of the entries and of the targets whose reports must be fresh. */
const MIN_TRUSTED_SHARE = 0.7;

/** Samples before the first decision. */
const MIN_SAMPLES = 15;

/** Weighs the roles. Call it about once a second. */
export function planRoles(planner: RolePlanner, view: PlannerView, nowMs: number): RolePlan {
  const doubt = noteDemandReports(planner, view, nowMs) ?? doubtTargets(planner, view, nowMs);
  if (doubt !== null) return hold(planner, doubt, {});
  if (planner.samples.length < MIN_SAMPLES) return hold(planner, 'demand is not known yet', {});
  return decide(planner, view, nowMs);
}

function noteDemandReports(planner: RolePlanner, view: PlannerView, nowMs: number): string | null {
  const { maxReportAgeMs } = planner.options;
  const fresh = view.demand.filter((report) => nowMs - report.atMs <= maxReportAgeMs);
  if (fresh.length < view.entriesAlive * MIN_TRUSTED_SHARE) return 'demand reports are too old';
  const news = fresh.filter((report) => report.sequence !== planner.sequences.get(report.entry));
  if (news.length === 0) return null;
  planner.sequences.clear();
  for (const report of view.demand) planner.sequences.set(report.entry, report.sequence);
  planner.recent.push(addUp(fresh, view.entriesAlive, nowMs));
  if (planner.recent.length > SMOOTHED_REPORTS) planner.recent.shift();
  planner.samples.push(meanOf(planner.recent, () => 1, nowMs));
  if (planner.samples.length > MAX_SAMPLES) planner.samples.shift();
  return null;
}

function addUp(
  reports: readonly DemandReport[],
  entriesAlive: number,
  nowMs: number,
): DemandSample {
  const sum = { requestsPerS: 0, prefillEngines: 0, savedEngines: 0, decodeEngines: 0 };
  for (const report of reports) {
    if (report.spanMs <= 0) continue;
    sum.requestsPerS += (report.requests * 1000) / report.spanMs;
    sum.prefillEngines += report.prefillMs / report.spanMs;
    sum.savedEngines += report.savedMs / report.spanMs;
    sum.decodeEngines += report.decodeMs / report.spanMs;
  }
  // The balancer spreads callers evenly, so that a missing entry saw what the others did.
  const missing = Math.max(1, entriesAlive / Math.max(1, reports.length));
  return {
    atMs: nowMs,
    requestsPerS: sum.requestsPerS * missing,
    prefillEngines: sum.prefillEngines * missing,
    savedEngines: sum.savedEngines * missing,
    decodeEngines: sum.decodeEngines * missing,
  };
}

function doubtTargets(planner: RolePlanner, view: PlannerView, nowMs: number): string | null {
  const accepting = view.targets.filter((target) => target.accepting);
  const fresh = accepting.filter(
    (target) =>
      target.report !== null && nowMs - target.report.atMs <= planner.options.maxReportAgeMs,
  );
  // Old or missing reports show that we are cut off or they are; a change could empty a role.
  return fresh.length < accepting.length * MIN_TRUSTED_SHARE ? 'load reports are too old' : null;
}

/** One split under consideration. */
interface Option {
  readonly readers: number;
  readonly gainRequests: number;
  readonly costRequests: number;
}

function decide(planner: RolePlanner, view: PlannerView, nowMs: number): RolePlan {
  const { options } = planner;
  const split = plannedSplit(view);
  const total = split.readers + split.writers;
  const changing = view.targets.filter((target) => target.changingTo !== null).length;
  const maxChanging = Math.max(1, Math.floor(total * options.maxChangingShare));
  const step = Math.max(1, maxChanging - changing);
  const weighed = [split.readers - step, split.readers - 1, split.readers + 1, split.readers + step]
    .filter((readers) => readers >= 0 && readers < total)
    .map((readers) => weigh(planner, split, readers, nowMs));
  const best = weighed.reduce<Option | undefined>(
    (known, next) => (known === undefined || net(next) > net(known) ? next : known),
    undefined,
  );
  if (best === undefined) return hold(planner, 'there is nothing to change', {});
  const figures = figuresOf(planner, split, best, nowMs);
  const needed = neededGain(planner, best, nowMs);
  if (best.gainRequests < needed) return hold(planner, 'no change would pay back', figures);
  if (changing >= maxChanging) return hold(planner, 'a change is under way', figures);
  return change(planner, view, best.readers - split.readers, figures);
}

function net(option: Option): number {
  return option.gainRequests - option.costRequests;
}

function neededGain(planner: RolePlanner, option: Option, nowMs: number): number {
  const { margin, minGainShare, horizonMs } = planner.options;
  const requests = (meanDemand(planner, nowMs).requestsPerS * horizonMs) / 1000;
  return option.costRequests * margin + requests * minGainShare;
}

/** The split as it will be when changes under way are done. */
function plannedSplit(view: PlannerView): RoleSplit {
  let readers = 0;
  let writers = 0;
  for (const target of view.targets) {
    if (!target.accepting && target.changingTo === null) continue;
    if ((target.changingTo ?? target.role) === EngineRole.Prefill) readers += 1;
    else writers += 1;
  }
  return { readers, writers };
}

function weigh(planner: RolePlanner, split: RoleSplit, readers: number, nowMs: number): Option {
  const total = split.readers + split.writers;
  const wanted = { readers, writers: total - readers };
  const { profile, horizonMs } = planner.options;
  let gain = 0;
  let weights = 0;
  for (const sample of planner.samples) {
    const weight = weightOf(planner, sample, nowMs);
    const better = servedShare(profile, wanted, sample) - servedShare(profile, split, sample);
    gain += better * sample.requestsPerS * weight;
    weights += weight;
  }
  const costRequests = changeCostRequests(profile, split, wanted, meanDemand(planner, nowMs));
  return { readers, gainRequests: ((gain / weights) * horizonMs) / 1000, costRequests };
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
  const mean = { requestsPerS: 0, prefillEngines: 0, savedEngines: 0, decodeEngines: 0 };
  let weights = 0;
  for (const sample of samples) {
    const weight = weightOfSample(sample);
    mean.requestsPerS += sample.requestsPerS * weight;
    mean.prefillEngines += sample.prefillEngines * weight;
    mean.savedEngines += sample.savedEngines * weight;
    mean.decodeEngines += sample.decodeEngines * weight;
    weights += weight;
  }
  return {
    atMs: nowMs,
    requestsPerS: mean.requestsPerS / weights,
    prefillEngines: mean.prefillEngines / weights,
    savedEngines: mean.savedEngines / weights,
    decodeEngines: mean.decodeEngines / weights,
  };
}

function figuresOf(
  planner: RolePlanner,
  split: RoleSplit,
  best: Option,
  nowMs: number,
): Record<string, number> {
  const demand = meanDemand(planner, nowMs);
  return {
    readers: split.readers,
    writers: split.writers,
    weighedReaders: best.readers,
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

function hold(
  planner: RolePlanner,
  reason: string,
  figures: Readonly<Record<string, number>>,
): RolePlan {
  if (reason === planner.lastReason) return { orders: [], events: [] };
  planner.lastReason = reason;
  const service = planner.options.service;
  return { orders: [], events: [{ kind: EventKind.RoleDecision, service, reason, figures }] };
}

function change(
  planner: RolePlanner,
  view: PlannerView,
  moreReaders: number,
  figures: Readonly<Record<string, number>>,
): RolePlan {
  const role = moreReaders > 0 ? EngineRole.Prefill : EngineRole.Decode;
  const orders: WantedOrder[] = [];
  const taken = new Set<string>();
  for (let count = 0; count < Math.abs(moreReaders); count += 1) {
    const target = chooseTarget(view.targets, role, taken, planner.options.floorTargets);
    if (target === null) break;
    taken.add(target);
    orders.push({ target, role });
  }
  if (orders.length === 0) return hold(planner, 'no target may be taken away now', figures);
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
