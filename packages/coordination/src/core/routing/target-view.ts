/**
 * Estimates the current load of one target from its latest report and from the dispatches and
 * completions of this entry since the report was taken. Queued prefill work shrinks with elapsed
 * time, and running answers are subtracted when they end. All estimates are O(1).
 */
import type { EngineRole } from '../model/configuration.js';
import { decodeStepMs } from './engine-profile.js';
import type { EngineProfile } from './engine-profile.js';
import type { LoadReport } from './load-report.js';

/** A dispatch by this entry that the latest report may not include yet. */
interface OwnDispatch {
  readonly atMs: number;
  readonly prefillTokens: number;
  readonly contextTokens: number;
}

/**
 * Maximum own dispatches stored per target. Eight requests per second and server over five seconds
 * of report delay are 40. The oldest are dropped first, since they are the most likely to be
 * included in the report already.
 */
const MAX_OWN_DISPATCHES = 64;

/** What an entry knows about one target. Part of the router's state. */
export interface TargetView {
  readonly name: string;
  readonly failureDomain: string;
  readonly index: number;
  /** Hash of the name, for rendezvous hashing. */
  readonly nameHash: number;
  role: EngineRole;
  accepting: boolean;
  /** Extra one-way latency to this target's failure domain, in milliseconds. */
  latencyMs: number;
  report: LoadReport | null;
  /** Moving mean of the step time beyond the profile, caused by prefill chunks or a slow engine. */
  excessMs: number;
  ownDispatches: OwnDispatch[];
  /** Time of the latest dispatch by this entry. */
  lastDispatchAtMs: number;
  /** Answers of this entry that ended since the latest report. */
  ownCompletions: { readonly atMs: number; readonly contextTokens: number }[];
  /** Increases with each gap and each invalidation of the cache records; see the prefix index. */
  cacheGeneration: number;
  /** Cache records older than this generation are uncertain because of a gap in the events. */
  uncertainBefore: number;
  /** Cache records older than this generation are invalid after a restart or a cleared cache. */
  invalidBefore: number;
  cacheEpoch: string;
  cacheSequence: number;
}

/** Estimate of a target's current load. */
export interface LoadEstimate {
  /** Time until the queued prompts have been prefilled, in milliseconds. */
  readonly queueMs: number;
  readonly runningRequests: number;
  readonly contextTokens: number;
  /** Duration of a step without prompt tokens, in milliseconds. */
  readonly stepMs: number;
  /** Recent step time beyond `stepMs`, in milliseconds. */
  readonly excessMs: number;
  readonly kvUsedTokens: number;
  readonly kvCapacityTokens: number;
}

/** Weight of the newest report in the excess; a single step may or may not carry a chunk. */
const EXCESS_WEIGHT = 0.2;

/** Applies a load report and returns true, or returns false if it is not newer than the latest. */
export function applyReport(view: TargetView, report: LoadReport, profile: EngineProfile): boolean {
  const latest = view.report;
  // A report that arrives after a newer one would reset the estimate and attract many requests at
  // once. A report from before a restart would restore the previous epoch.
  if (latest?.epoch === report.epoch && report.sequence <= latest.sequence) return false;
  if (latest !== null && latest.epoch !== report.epoch && report.atMs < latest.atMs) return false;
  view.report = report;
  view.role = report.role;
  updateExcess(view, report, profile);
  view.ownDispatches = view.ownDispatches.filter((dispatch) => dispatch.atMs > report.atMs);
  view.ownCompletions = view.ownCompletions.filter((end) => end.atMs > report.atMs);
  return true;
}

function updateExcess(view: TargetView, report: LoadReport, profile: EngineProfile): void {
  if (profile.roles[report.role].maxBatch === 0 || report.runningRequests === 0) {
    view.excessMs = 0;
    return;
  }
  const profileStepMs = decodeStepMs(
    profile,
    report.role,
    report.runningRequests,
    report.runningContextTokens,
  );
  const excessMs = Math.max(0, report.stepMs - profileStepMs);
  view.excessMs += (excessMs - view.excessMs) * EXCESS_WEIGHT;
}

/** Stores a dispatch by this entry until a report includes it. */
export function recordOwnDispatch(view: TargetView, dispatch: OwnDispatch): void {
  view.lastDispatchAtMs = dispatch.atMs;
  if (view.ownDispatches.length >= MAX_OWN_DISPATCHES) view.ownDispatches.shift();
  view.ownDispatches.push(dispatch);
}

/** Stores the end of an answer of this entry until a report includes it. */
export function recordOwnCompletion(view: TargetView, atMs: number, contextTokens: number): void {
  if (view.ownCompletions.length >= MAX_OWN_DISPATCHES) view.ownCompletions.shift();
  view.ownCompletions.push({ atMs, contextTokens });
}

/** Returns the prefill time per prompt token, including the decode steps that run in between. */
export function prefillMsPerToken(
  profile: EngineProfile,
  role: EngineRole,
  stepMs: number,
): number {
  const roleProfile = profile.roles[role];
  if (roleProfile.chunkTokens <= 0) return Number.POSITIVE_INFINITY;
  return roleProfile.prefillMsPerToken + stepMs / roleProfile.chunkTokens;
}

/** Estimates the current load. `peerFactor` scales own dispatches to those of all entries. */
export function estimateLoad(
  view: TargetView,
  profile: EngineProfile,
  nowMs: number,
  peerFactor: number,
): LoadEstimate {
  const report = view.report;
  let sequenceChange = 0;
  let tokenChange = 0;
  for (const end of view.ownCompletions) {
    sequenceChange -= 1;
    tokenChange -= end.contextTokens;
  }
  if (profile.roles[view.role].maxBatch > 0) {
    for (const dispatch of view.ownDispatches) {
      sequenceChange += 1;
      tokenChange += dispatch.contextTokens;
    }
  }
  // The other entries receive the same reports and make about the same decisions.
  const reportedRequests = report?.runningRequests ?? 0;
  const sequences = Math.max(0, reportedRequests + sequenceChange * peerFactor);
  const reportedTokens = report?.runningContextTokens ?? 0;
  const contextTokens = Math.max(0, reportedTokens + tokenChange * peerFactor);
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

/**
 * Returns the time to process the queued prompts. Starts with the queue in the report, adds the
 * work of each later dispatch and subtracts the time that has passed.
 */
function queueAheadMs(
  view: TargetView,
  profile: EngineProfile,
  nowMs: number,
  stepMs: number,
  peerFactor: number,
): number {
  const msPerToken = prefillMsPerToken(profile, view.role, stepMs);
  if (!Number.isFinite(msPerToken)) return 0;
  let atMs = view.report?.atMs ?? nowMs;
  let aheadMs = (view.report?.waitingPrefillTokens ?? 0) * msPerToken;
  for (const dispatch of view.ownDispatches) {
    const fromMs = Math.max(atMs, dispatch.atMs);
    aheadMs = Math.max(0, aheadMs - (fromMs - atMs));
    aheadMs += dispatch.prefillTokens * msPerToken * peerFactor;
    atMs = fromMs;
  }
  return Math.max(0, aheadMs - (nowMs - atMs));
}
