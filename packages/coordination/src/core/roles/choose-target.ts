/**
 * Which engine changes its role: one that has least to drain, from a failure domain that has the
 * wanted role least, so that the loss of a domain never takes all readers or all writers.
 */
import { EngineRole } from '../model/configuration.js';
import type { LoadReport } from '../routing/load-report.js';

/** A target as the planner sees it. */
export interface PlannerTarget {
  readonly name: string;
  readonly failureDomain: string;
  readonly role: EngineRole;
  /** Takes new work. */
  readonly accepting: boolean;
  /** Role that it is being changed to, or null. */
  readonly changingTo: EngineRole | null;
  readonly report: LoadReport | null;
}

/** Name of the target to change to `role`, or null where the floor or the roles allow none. */
export function chooseTarget(
  targets: readonly PlannerTarget[],
  role: EngineRole,
  taken: ReadonlySet<string>,
  floorTargets: number,
): string | null {
  const serving = targets.filter((target) => target.accepting && !taken.has(target.name));
  // The change takes the engine away; the service must keep its floor without it.
  if (serving.length - 1 < floorTargets) return null;
  const candidates = serving.filter(
    (target) => target.changingTo === null && isReader(target.role) !== isReader(role),
  );
  const inDomain = countByDomain(targets, role);
  const best = candidates.reduce<PlannerTarget | undefined>(
    (known, next) => (known === undefined || isBetter(next, known, inDomain) ? next : known),
    undefined,
  );
  return best?.name ?? null;
}

function isReader(role: EngineRole): boolean {
  return role === EngineRole.Prefill;
}

function countByDomain(
  targets: readonly PlannerTarget[],
  role: EngineRole,
): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const target of targets) {
    if (isReader(target.changingTo ?? target.role) !== isReader(role)) continue;
    counts.set(target.failureDomain, (counts.get(target.failureDomain) ?? 0) + 1);
  }
  return counts;
}

function isBetter(
  a: PlannerTarget,
  b: PlannerTarget,
  inDomain: ReadonlyMap<string, number>,
): boolean {
  const domainA = inDomain.get(a.failureDomain) ?? 0;
  const domainB = inDomain.get(b.failureDomain) ?? 0;
  if (domainA !== domainB) return domainA < domainB;
  return (a.report?.runningContextTokens ?? 0) < (b.report?.runningContextTokens ?? 0);
}
