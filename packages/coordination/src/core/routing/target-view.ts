/**
 * What one entry believes of one target: the latest report, corrected by the entry's own dispatches
 * and ends since the report was taken. Work ahead in the queue drains with time; running answers
 * are counted out by their ends. All estimates are O(1).
 */
import type { EngineRole } from '../model/configuration.js';
import { decodeStepMs } from './engine-profile.js';
import type { EngineProfile } from './engine-profile.js';
import type { LoadReport } from './load-report.js';

/** One own dispatch that a report in flight may not show yet. */
interface OwnDispatch {
  readonly atMs: number;
  readonly prefillTokens: number;
  readonly contextTokens: number;
}

/**
 * Own dispatches remembered per target. Eight requests a second and server over five seconds of
 * lag are 40; the oldest are dropped first, they are the likeliest to be in the report already.
 */
const MAX_OWN_DISPATCHES = 64;

/** Belief about one target. Owned by the router's state. */
export interface TargetView {
  readonly name: string;
  readonly failureDomain: string;
  readonly index: number;
  /** Mixed hash of the name for rendezvous hashing. */
  readonly nameHash: number;
  role: EngineRole;
  accepting: boolean;
  /** Extra one-way latency to this target's failure domain, in milliseconds. */
  latencyMs: number;
  report: LoadReport | null;
  /** Moving mean of what steps take beyond the profile: chunks of prompts, or a slow engine. */
  excessMs: number;
  own: OwnDispatch[];
  /** Time of the latest own dispatch. */
  usedAtMs: number;
  /** Own ends since the latest report. */
  ownEnds: { readonly atMs: number; readonly contextTokens: number }[];
  /** Grows with each thing learnt of the cache; see the prefix index. */
  cacheGeneration: number;
  /** Cache knowledge older than this generation is doubtful, after a gap. */
  doubtfulBefore: number;
  /** Cache knowledge older than this generation is void, after a restart. */
  voidBefore: number;
  cacheEpoch: string;
  cacheSequence: number;
}

/** Load of a target now, as believed. */
export interface LoadEstimate {
  /** Time until the prompts ahead are read, in milliseconds. */
  readonly queueMs: number;
  readonly runningRequests: number;
  readonly contextTokens: number;
  /** Length of a step without prompt tokens, in milliseconds. */
  readonly stepMs: number;
  /** What steps take beyond that, of late. */
  readonly excessMs: number;
  readonly kvUsedTokens: number;
  readonly kvCapacityTokens: number;
}

/** Weight of the newest report in the excess; one step may or may not carry a chunk. */
const EXCESS_WEIGHT = 0.2;

/** Takes a report in, unless a newer one of the same epoch is known. */
export function noteReport(view: TargetView, report: LoadReport, profile: EngineProfile): boolean {
  const known = view.report;
  // A report that was delayed past a newer one would roll the belief back and draw a herd; one
  // from before a restart would bring the dead epoch back.
  if (known?.epoch === report.epoch && report.sequence <= known.sequence) return false;
  if (known !== null && known.epoch !== report.epoch && report.atMs < known.atMs) return false;
  view.report = report;
  view.role = report.role;
  noteExcess(view, report, profile);
  view.own = view.own.filter((dispatch) => dispatch.atMs > report.atMs);
  view.ownEnds = view.ownEnds.filter((end) => end.atMs > report.atMs);
  return true;
}

function noteExcess(view: TargetView, report: LoadReport, profile: EngineProfile): void {
  if (profile.roles[report.role].maxBatch === 0 || report.runningRequests === 0) {
    view.excessMs = 0;
    return;
  }
  const plainMs = decodeStepMs(
    profile,
    report.role,
    report.runningRequests,
    report.runningContextTokens,
  );
  const excessMs = Math.max(0, report.stepMs - plainMs);
  view.excessMs += (excessMs - view.excessMs) * EXCESS_WEIGHT;
}

/** Remembers an own dispatch until a report shows it. */
export function noteOwnDispatch(view: TargetView, dispatch: OwnDispatch): void {
  view.usedAtMs = dispatch.atMs;
  if (view.own.length >= MAX_OWN_DISPATCHES) view.own.shift();
  view.own.push(dispatch);
}

/** Remembers an own end until a report shows it. */
export function noteOwnEnd(view: TargetView, atMs: number, contextTokens: number): void {
  if (view.ownEnds.length >= MAX_OWN_DISPATCHES) view.ownEnds.shift();
  view.ownEnds.push({ atMs, contextTokens });
}

/** Time that one prompt token takes on the target, with the decode steps it waits through. */
export function prefillMsPerToken(
  profile: EngineProfile,
  role: EngineRole,
  stepMs: number,
): number {
  const figures = profile.roles[role];
  if (figures.chunkTokens <= 0) return Number.POSITIVE_INFINITY;
  return figures.prefillMsPerToken + stepMs / figures.chunkTokens;
}

/** Estimates the load now. `peerFactor` scales own dispatches up to those of all entries. */
export function estimateLoad(
  view: TargetView,
  profile: EngineProfile,
  nowMs: number,
  peerFactor: number,
): LoadEstimate {
  const report = view.report;
  let moreSequences = 0;
  let moreTokens = 0;
  for (const end of view.ownEnds) {
    moreSequences -= 1;
    moreTokens -= end.contextTokens;
  }
  if (profile.roles[view.role].maxBatch > 0) {
    for (const dispatch of view.own) {
      moreSequences += 1;
      moreTokens += dispatch.contextTokens;
    }
  }
  // The other entries see the same reports and do about the same.
  const reported = report?.runningRequests ?? 0;
  const sequences = Math.max(0, reported + moreSequences * peerFactor);
  const reportedTokens = report?.runningContextTokens ?? 0;
  const contextTokens = Math.max(0, reportedTokens + moreTokens * peerFactor);
  const stepMs = decodeStepMs(profile, view.role, sequences, contextTokens);
  return {
    queueMs: queueAheadMs(view, profile, nowMs, stepMs, peerFactor),
    runningRequests: sequences,
    contextTokens,
    stepMs,
    excessMs: view.excessMs,
    kvUsedTokens: contextTokens,
    kvCapacityTokens: report?.kvCapacityTokens ?? profile.roles[view.role].kvCapacityTokens,
  };
}

/** Walks from the report's time to now: each own dispatch adds work, time takes work away. */
function queueAheadMs(
  view: TargetView,
  profile: EngineProfile,
  nowMs: number,
  stepMs: number,
  peerFactor: number,
): number {
  const perToken = prefillMsPerToken(profile, view.role, stepMs);
  if (!Number.isFinite(perToken)) return 0;
  let atMs = view.report?.atMs ?? nowMs;
  let aheadMs = (view.report?.waitingPrefillTokens ?? 0) * perToken;
  for (const dispatch of view.own) {
    const fromMs = Math.max(atMs, dispatch.atMs);
    aheadMs = Math.max(0, aheadMs - (fromMs - atMs));
    aheadMs += dispatch.prefillTokens * perToken * peerFactor;
    atMs = fromMs;
  }
  return Math.max(0, aheadMs - (nowMs - atMs));
}
