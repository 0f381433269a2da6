/**
 * Chooses the target whose role is changed. Prefers the failure domain with the fewest targets of
 * the wanted role, to avoid losing all targets of one role with a single domain, and then the
 * target with the least work to drain.
 */
import { EngineRole } from '../model/configuration.js';
import type { LoadReport } from '../routing/load-report.js';

/** A target as the planner sees it. */
export interface PlannerTarget {
  readonly name: string;
  readonly failureDomain: string;
  readonly role: EngineRole;
  /** Whether the target accepts new work. */
  readonly accepting: boolean;
  /** The role that the target is changing to; null if no change is in progress. */
  readonly changingTo: EngineRole | null;
  readonly report: LoadReport | null;
}

/**
 * Returns the name of the target to change to `role`. Returns null if no target has another role or
 * if the change would leave fewer than `floorTargets` serving.
 */
export function chooseTarget(
  targets: readonly PlannerTarget[],
  role: EngineRole,
  chosenNames: ReadonlySet<string>,
  floorTargets: number,
): string | null {
  const serving = targets.filter((target) => target.accepting && !chosenNames.has(target.name));
  // The target is unavailable during the change; the service needs `floorTargets` without it.
  if (serving.length - 1 < floorTargets) return null;
  const candidates = serving.filter(
    (target) => target.changingTo === null && isPrefill(target.role) !== isPrefill(role),
  );
  const domainCounts = countByDomain(targets, role);
  const best = candidates.reduce<PlannerTarget | undefined>(
    (known, next) => (known === undefined || isBetter(next, known, domainCounts) ? next : known),
    undefined,
  );
  return best?.name ?? null;
}

function isPrefill(role: EngineRole): boolean {
  return role === EngineRole.Prefill;
}

function countByDomain(
  targets: readonly PlannerTarget[],
  role: EngineRole,
): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const target of targets) {
    if (isPrefill(target.changingTo ?? target.role) !== isPrefill(role)) continue;
    counts.set(target.failureDomain, (counts.get(target.failureDomain) ?? 0) + 1);
  }
  return counts;
}

function isBetter(
  a: PlannerTarget,
  b: PlannerTarget,
  domainCounts: ReadonlyMap<string, number>,
): boolean {
  const domainA = domainCounts.get(a.failureDomain) ?? 0;
  const domainB = domainCounts.get(b.failureDomain) ?? 0;
  if (domainA !== domainB) return domainA < domainB;
  return (a.report?.runningContextTokens ?? 0) < (b.report?.runningContextTokens ?? 0);
}
