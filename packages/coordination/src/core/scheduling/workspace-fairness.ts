/**
 * Prevents starvation of workspaces. In a burst of one workspace, engines hold its shared parts and
 * not those of a small one, whose prompts therefore take longer: ranking by value per engine time
 * would not serve them for as long as the burst lasts. Therefore the share of served requests is
 * tracked per workspace and compared with that of all.
 */

/** Counts halve within about ten seconds, a few times the deadline of a caller. */
const DECAY_MS = 15_000;
/** A workspace is starved if its served share falls below this fraction of the share of all. */
const STARVED_RATIO = 0.5;
/** Weight at which all counts are scaled down, far below the largest number. */
const MAX_WEIGHT = 1e6;
/** Workspaces with less than this part of a request are forgotten. */
const MIN_REQUESTED = 0.001;

/** Weighted counts of requested and served jobs. */
interface Tally {
  requested: number;
  served: number;
}

/** Served shares of the workspaces. Later requests weigh more, so that no count needs to decay. */
export interface WorkspaceFairness {
  readonly byWorkspace: Map<string, Tally>;
  readonly all: Tally;
  /** Weight of a request now. */
  weight: number;
  weightAtMs: number;
}

/** Returns empty statistics. */
export function createWorkspaceFairness(): WorkspaceFairness {
  return { byWorkspace: new Map(), all: createTally(), weight: 1, weightAtMs: 0 };
}

/** Counts a request of a workspace. Repeats of a request must not be counted. */
export function recordWorkspaceRequest(
  fairness: WorkspaceFairness,
  workspace: string,
  nowMs: number,
): void {
  fairness.weight *= Math.exp((nowMs - fairness.weightAtMs) / DECAY_MS);
  fairness.weightAtMs = nowMs;
  if (fairness.weight > MAX_WEIGHT) scaleDown(fairness);
  const tally = fairness.byWorkspace.get(workspace) ?? createTally();
  fairness.byWorkspace.set(workspace, tally);
  for (const each of [tally, fairness.all]) each.requested += fairness.weight;
}

/** Counts a request of a workspace that was given to an engine. */
export function recordWorkspaceServed(fairness: WorkspaceFairness, workspace: string): void {
  const tally = fairness.byWorkspace.get(workspace);
  if (tally === undefined) return;
  for (const each of [tally, fairness.all]) each.served += fairness.weight;
}

/** Returns whether the requests of a workspace are served much less often than those of all. */
export function isWorkspaceStarved(fairness: WorkspaceFairness, workspace: string | null): boolean {
  const tally = workspace === null ? undefined : fairness.byWorkspace.get(workspace);
  if (tally === undefined) return false;
  const { all, weight } = fairness;
  const allServedRatio = all.served / Math.max(weight, all.requested);
  // The request in question is already counted.
  return tally.served < (tally.requested - weight) * allServedRatio * STARVED_RATIO;
}

function scaleDown(fairness: WorkspaceFairness): void {
  const { byWorkspace, all, weight } = fairness;
  for (const tally of [all, ...byWorkspace.values()]) {
    tally.requested /= weight;
    tally.served /= weight;
  }
  for (const [workspace, { requested }] of byWorkspace) {
    if (requested < MIN_REQUESTED) byWorkspace.delete(workspace);
  }
  fairness.weight = 1;
}

function createTally(): Tally {
  return { requested: 0, served: 0 };
}
