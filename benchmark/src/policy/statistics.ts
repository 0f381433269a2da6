/** Figures of a run. Percentiles by HDR histograms, counts exact, both the same for each rerun. */
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import type { LiveRequest } from './live-request.js';

/** Goals that make an answer count. */
export const FIRST_TOKEN_GOAL_MS = 360;
export const INTER_TOKEN_GOAL_MS = 80;

/** Part of the gaps that may be slow. */
const SLOW_GAP_SHARE = 0.05;

/** Span of one point of the time line. */
export const POINT_MS = 5000;

/** One point of the time line. */
export interface TimelinePoint {
  good: number;
  arrived: number;
  prefillWorkMs: number;
  workMs: number;
  readers: number;
}

interface WorkspaceWaits {
  sumMs: number;
  count: number;
}

/** Counters of a run. */
export interface Statistics {
  readonly firstToken: Histogram;
  readonly interToken: Histogram;
  readonly waits: Map<string, WorkspaceWaits>;
  readonly timeline: TimelinePoint[];
  good: number;
  answered: number;
  shedNotRun: number;
  lateFirstToken: number;
  slowAnswers: number;
  restarts: number;
  /** Refusals by sidecars, not run, that were tried again. */
  bounced: number;
}

/** Makes empty counters for a run of that length. */
export function createStatistics(durationMs: number): Statistics {
  return {
    firstToken: build({ numberOfSignificantValueDigits: 3 }),
    interToken: build({ numberOfSignificantValueDigits: 3 }),
    waits: new Map(),
    timeline: Array.from({ length: Math.ceil(durationMs / POINT_MS) }, () => ({
      good: 0,
      arrived: 0,
      prefillWorkMs: 0,
      workMs: 0,
      readers: 0,
    })),
    good: 0,
    answered: 0,
    shedNotRun: 0,
    lateFirstToken: 0,
    slowAnswers: 0,
    restarts: 0,
    bounced: 0,
  };
}

/** Counts a whole answer that ended now. */
export function countAnswer(statistics: Statistics, request: LiveRequest, nowMs: number): void {
  const waitMs = request.firstTokenMs - request.trace.atMs;
  statistics.answered += 1;
  statistics.firstToken.recordValue(Math.round(waitMs));
  countWait(statistics, request, waitMs);
  const gaps = Math.max(1, request.trace.outputTokens - 1);
  const late = waitMs > FIRST_TOKEN_GOAL_MS;
  // A few very long gaps are within the letter of the goal, but no caller would call it met.
  const stalled = nowMs - request.firstTokenMs > gaps * INTER_TOKEN_GOAL_MS + FIRST_TOKEN_GOAL_MS;
  const slow = stalled || request.slowGaps > gaps * SLOW_GAP_SHARE;
  if (late) statistics.lateFirstToken += 1;
  if (slow) statistics.slowAnswers += 1;
  if (late || slow) return;
  statistics.good += 1;
  const point = statistics.timeline[Math.floor(request.trace.atMs / POINT_MS)];
  if (point !== undefined) point.good += 1;
}

/** Counts a refusal. Its wait counts as four goals: the caller has to come back. */
export function countRefusal(statistics: Statistics, request: LiveRequest): void {
  statistics.shedNotRun += 1;
  countWait(statistics, request, FIRST_TOKEN_GOAL_MS * 4);
}

function countWait(statistics: Statistics, request: LiveRequest, waitMs: number): void {
  const { workspace } = request.trace;
  let waits = statistics.waits.get(workspace);
  if (waits === undefined) {
    waits = { sumMs: 0, count: 0 };
    statistics.waits.set(workspace, waits);
  }
  waits.sumMs += waitMs;
  waits.count += 1;
}

/** Least requests of a workspace for its mean wait to mean something. */
const MIN_REQUESTS_OF_A_MEAN = 8;

/** Mean wait of the workspace that waits longest over the mean of all; the hog is left out. */
export function worstWaitRatio(statistics: Statistics, hog: string | null): number {
  let sumMs = 0;
  let count = 0;
  let worstMs = 0;
  for (const [workspace, waits] of statistics.waits) {
    if (workspace === hog) continue;
    sumMs += waits.sumMs;
    count += waits.count;
    if (waits.count < MIN_REQUESTS_OF_A_MEAN) continue;
    worstMs = Math.max(worstMs, waits.sumMs / waits.count);
  }
  return count === 0 ? 0 : worstMs / (sumMs / count);
}
