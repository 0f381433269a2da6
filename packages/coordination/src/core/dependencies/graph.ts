/**
 * The dependency graph of the services: cycles, depths and the drain order. All functions depend only
 * on the configuration, so that every process computes the same order without communication.
 */
import type { ServiceSpec } from '../model/configuration.js';

/** The part of a service that the graph needs. */
export type DependentService = Pick<ServiceSpec, 'name' | 'dependsOn'>;

/**
 * Finds a dependency cycle. Unknown service names are ignored here, as they are reported as a separate
 * configuration error.
 *
 * @returns the names on the cycle, with the first one repeated at the end, or null if there is none.
 */
export function findDependencyCycle(services: readonly DependentService[]): string[] | null {
  const dependencies = new Map(services.map(({ name, dependsOn }) => [name, dependsOn]));
  const visited = new Set<string>();
  const path: string[] = [];

  const visit = (name: string): string[] | null => {
    const start = path.indexOf(name);
    if (start >= 0) return [...path.slice(start), name];
    if (visited.has(name)) return null;
    path.push(name);
    for (const dependency of dependencies.get(name) ?? []) {
      const cycle = visit(dependency);
      if (cycle !== null) return cycle;
    }
    path.pop();
    visited.add(name);
    return null;
  };

  for (const { name } of services) {
    const cycle = visit(name);
    if (cycle !== null) return cycle;
  }
  return null;
}

/** Returns the length of the longest dependency chain below each service; 0 without dependencies. */
export function dependencyDepths(
  services: readonly DependentService[],
): ReadonlyMap<string, number> {
  const byName = new Map(services.map((service) => [service.name, service]));
  const depths = new Map<string, number>();

  const depthOf = (name: string): number => {
    const known = depths.get(name);
    if (known !== undefined) return known;
    // Set before the recursion, so that it ends even if a cycle was not caught by validation.
    depths.set(name, 0);
    const dependencies = (byName.get(name)?.dependsOn ?? []).filter((dependency) =>
      byName.has(dependency),
    );
    const depth = dependencies.reduce(
      (deepest, dependency) => Math.max(deepest, depthOf(dependency) + 1),
      0,
    );
    depths.set(name, depth);
    return depth;
  };

  for (const { name } of services) depthOf(name);
  return depths;
}

/**
 * Returns the order in which services are drained, in waves: each wave starts when the previous one
 * has completed. A service is drained before its dependencies, so that its running requests can still
 * complete their inner calls.
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
