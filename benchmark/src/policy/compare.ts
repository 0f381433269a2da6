/** Plays the policies on a trace: the fixed splits are searched, services are added up. */
import type { Hash32 } from '@cassiamast/coordination';
import { boundOf } from './bound.js';
import type { AddProfits } from './bound-prices.js';
import { fixedSplit, POLICIES } from './policies.js';
import type { Policy } from './policy.js';
import { runService } from './run.js';
import type { RunResult } from './run.js';
import type { TimelinePoint } from './statistics.js';
import type { ServiceTrace, Trace } from './trace.js';

/** Figures of one policy on one trace; services are added up, or the worst is taken. */
export interface PolicyFigures {
  readonly policy: string;
  readonly goodputPerS: number;
  readonly roleChanges: number;
  readonly ttftP95Ms: number;
  readonly interTokenP95Ms: number;
  readonly shedNotRun: number;
  readonly worstWorkspaceWaitRatio: number;
  /** Time line of each service, for plots. */
  readonly timelines: readonly (readonly TimelinePoint[])[];
}

/** Figures beside those of the bound. */
export interface ComparisonRow extends PolicyFigures {
  readonly boundPerS: number;
  readonly ratio: number;
  readonly boundRoleChanges: number;
}

/** What a comparison is run with. */
export interface CompareOptions {
  readonly hash32: Hash32;
  readonly seed: number;
  /** Which requests the bound may choose to serve. */
  readonly addProfits: AddProfits;
  /** Names of the policies to play, or null for all. */
  readonly only: readonly string[] | null;
}

/** Plays all policies on a trace. */
export function compareOnTrace(trace: Trace, options: CompareOptions): readonly ComparisonRow[] {
  const { hash32, seed, only } = options;
  const wanted = (name: string): boolean => only === null || only.includes(name);
  const bounds = trace.services.map((service) => boundOf(service, options.addProfits));
  const boundPerS = bounds.reduce((sum, bound) => sum + bound.goodputPerS, 0);
  const boundRoleChanges = bounds.reduce((sum, bound) => sum + bound.roleChanges, 0);
  const rows: PolicyFigures[] = [];
  for (const policy of POLICIES) {
    if (!wanted(policy.name)) continue;
    const results = trace.services.map((service) => runService(service, policy, hash32, seed));
    rows.push(rowOf(policy.name, results));
  }
  if (wanted('best-fixed')) {
    const best = trace.services.map((service) => bestFixed(service, hash32, seed));
    rows.push(rowOf('best-fixed', best));
  }
  return rows.map((row) => ({
    policy: row.policy,
    goodputPerS: row.goodputPerS,
    boundPerS,
    ratio: row.goodputPerS / boundPerS,
    roleChanges: row.roleChanges,
    boundRoleChanges,
    ttftP95Ms: row.ttftP95Ms,
    interTokenP95Ms: row.interTokenP95Ms,
    shedNotRun: row.shedNotRun,
    worstWorkspaceWaitRatio: row.worstWorkspaceWaitRatio,
    timelines: row.timelines,
  }));
}

/** Splits that are searched; with many engines only every few, as neighbours differ little. */
const MAX_SPLITS = 12;

/** The fixed split that does best, chosen with hindsight. */
export function bestFixed(service: ServiceTrace, hash32: Hash32, seed: number): RunResult {
  const stride = Math.max(1, Math.ceil(service.engines / MAX_SPLITS));
  let best: RunResult | null = null;
  for (let readers = 0; readers < service.engines; readers += stride) {
    const policy: Policy = fixedSplit(readers);
    const result = runService(service, policy, hash32, seed);
    if (best === null || result.goodputPerS > best.goodputPerS) best = result;
  }
  return best ?? runService(service, fixedSplit(0), hash32, seed);
}

/** Adds the services' figures up. */
export function rowOf(policy: string, results: readonly RunResult[]): PolicyFigures {
  const sum = (of: (result: RunResult) => number): number =>
    results.reduce((total, result) => total + of(result), 0);
  const worst = (of: (result: RunResult) => number): number => Math.max(...results.map(of));
  return {
    policy,
    goodputPerS: sum((result) => result.goodputPerS),
    roleChanges: sum((result) => result.roleChanges),
    ttftP95Ms: worst((result) => result.ttftP95Ms),
    interTokenP95Ms: worst((result) => result.interTokenP95Ms),
    shedNotRun: sum((result) => result.shedNotRun),
    worstWorkspaceWaitRatio: worst((result) => result.worstWorkspaceWaitRatio),
    timelines: results.map((result) => result.statistics.timeline),
  };
}
