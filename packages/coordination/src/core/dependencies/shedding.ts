/**
 * Determines the order in which services are shed under overload. A service inherits the priority of
 * the most important service that depends on it, because rejecting the work of a dependency would
 * fail its dependents after they had already used a target.
 */
import type { ServiceSpec } from '../model/configuration.js';
import { dependencyDepths } from './graph.js';

/** The part of a service that load shedding needs. */
export type SheddableService = Pick<ServiceSpec, 'name' | 'dependsOn' | 'priority'>;

/** Returns for each service the higher of its own priority and the highest one of its dependents. */
export function effectivePriorities(
  services: readonly SheddableService[],
): ReadonlyMap<string, number> {
  const depths = dependencyDepths(services);
  const priorities = new Map(services.map(({ name, priority }) => [name, priority]));
  const dependentsFirst = [...services].sort(
    (a, b) => (depths.get(b.name) ?? 0) - (depths.get(a.name) ?? 0),
  );
  for (const { name, dependsOn } of dependentsFirst) {
    const priority = priorities.get(name) ?? 0;
    for (const dependency of dependsOn) {
      const dependencyPriority = priorities.get(dependency);
      if (dependencyPriority !== undefined)
        priorities.set(dependency, Math.max(dependencyPriority, priority));
    }
  }
  return priorities;
}

/**
 * Returns the services in the order in which they are shed: by ascending effective priority, and with
 * equal priority dependents before their dependencies, as a rejection at the outermost service wastes
 * no work.
 */
export function shedOrder(services: readonly SheddableService[]): readonly string[] {
  const priorities = effectivePriorities(services);
  const depths = dependencyDepths(services);
  return services
    .map(({ name }) => name)
    .sort(
      (a, b) =>
        (priorities.get(a) ?? 0) - (priorities.get(b) ?? 0) ||
        (depths.get(b) ?? 0) - (depths.get(a) ?? 0) ||
        a.localeCompare(b),
    );
}
