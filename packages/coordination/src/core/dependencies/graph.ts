/**
 * The dependency graph of the services: order and cycles. Everything here is a pure function of
 * the configuration, so that every process works out the same order without asking.
 */
import type { ServiceSpec } from '../model/configuration.js';

/** The part of a service that the graph needs. */
export type DependentService = Pick<ServiceSpec, 'name' | 'dependsOn'>;

/**
 * Finds a circle of dependencies.
 *
 * @returns the names on the circle, its first name again at the end; null when there is none.
 * Unknown names are passed over: they are a fault of their own.
 */
export function findDependencyCycle(services: readonly DependentService[]): string[] | null {
  const dependencies = new Map(services.map(({ name, dependsOn }) => [name, dependsOn]));
  const settled = new Set<string>();
  const trail: string[] = [];

  const visit = (name: string): string[] | null => {
    const start = trail.indexOf(name);
    if (start >= 0) return [...trail.slice(start), name];
    if (settled.has(name)) return null;
    trail.push(name);
    for (const dependency of dependencies.get(name) ?? []) {
      const cycle = visit(dependency);
      if (cycle !== null) return cycle;
    }
    trail.pop();
    settled.add(name);
    return null;
  };

  for (const { name } of services) {
    const cycle = visit(name);
    if (cycle !== null) return cycle;
  }
  return null;
}

/** How many dependencies lie below each service on its longest way down; 0 for none. */
export function dependencyDepths(
  services: readonly DependentService[],
): ReadonlyMap<string, number> {
  const byName = new Map(services.map((service) => [service.name, service]));
  const depths = new Map<string, number>();

  const depthOf = (name: string): number => {
    const known = depths.get(name);
    if (known !== undefined) return known;
    // Set before the descent, so that a circle which slipped past the check ends here.
    depths.set(name, 0);
    const below = (byName.get(name)?.dependsOn ?? []).filter((other) => byName.has(other));
    const depth = below.reduce((deepest, other) => Math.max(deepest, depthOf(other) + 1), 0);
    depths.set(name, depth);
    return depth;
  };

  for (const { name } of services) depthOf(name);
  return depths;
}

/**
 * The order in which services stop: each wave only when the wave before has ended. A service stops
 * before what it depends on, so that its running requests can still finish their inner calls.
 */
export function drainOrder(services: readonly DependentService[]): readonly (readonly string[])[] {
  const depths = dependencyDepths(services);
  const waves: string[][] = [];
  for (const { name } of services) {
    const depth = depths.get(name) ?? 0;
    (waves[depth] ??= []).push(name);
  }
  return waves.map((wave) => wave.sort()).reverse();
}
