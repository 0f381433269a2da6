/**
 * What is refused first under overload. A service inherits the priority of the most important
 * service that depends on it: refusing a dependency's work would fail its dependents after they had
 * already used a target.
 */
import type { ServiceSpec } from '../model/configuration.js';
import { dependencyDepths } from './graph.js';

/** The part of a service that shedding needs. */
export type SheddableService = Pick<ServiceSpec, 'name' | 'dependsOn' | 'priority'>;

/** Each service's own priority, or that of its most important dependent where that is higher. */
export function effectivePriorities(
  services: readonly SheddableService[],
): ReadonlyMap<string, number> {
  const depths = dependencyDepths(services);
  const priorities = new Map(services.map(({ name, priority }) => [name, priority]));
  const dependentsFirst = [...services].sort(
    (a, b) => (depths.get(b.name) ?? 0) - (depths.get(a.name) ?? 0),
  );
  for (const { name, dependsOn } of dependentsFirst) {
    const own = priorities.get(name) ?? 0;
    for (const dependency of dependsOn) {
      const inherited = priorities.get(dependency);
      if (inherited !== undefined) priorities.set(dependency, Math.max(inherited, own));
    }
  }
  return priorities;
}

/**
 * Services in the order in which they are shed: lowest effective priority first, and of equals the
 * dependents before their dependencies, as a refusal at the outermost service wastes no work.
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
