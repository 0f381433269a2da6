/**
 * What is shed first when an entry itself has too much to do: the services of lowest priority. A
 * service that others depend on counts as important as the most important of those.
 */
import type { ServiceSpec } from '../model/configuration.js';

/** The part of a service's configuration that matters here. */
export type Sheddable = Pick<ServiceSpec, 'name' | 'priority' | 'dependsOn'>;

/** Priority of each service, raised to that of its dependents. */
export function effectivePriorities(services: readonly Sheddable[]): ReadonlyMap<string, number> {
  const priorities = new Map(services.map((service) => [service.name, service.priority]));
  // Each round carries priorities one dependency further; it ends since priorities only rise.
  let raised = true;
  while (raised) {
    raised = false;
    for (const service of services) raised = raiseDependencies(service, priorities) || raised;
  }
  return priorities;
}

function raiseDependencies(service: Sheddable, priorities: Map<string, number>): boolean {
  const own = priorities.get(service.name) ?? 0;
  let raised = false;
  for (const name of service.dependsOn) {
    if ((priorities.get(name) ?? own) >= own) continue;
    priorities.set(name, own);
    raised = true;
  }
  return raised;
}

/** Pressure from which the lowest priority is shed; all but the highest are shed at 1. */
const SHED_FROM = 0.8;

/**
 * Names of the services to shed at a pressure from 0 to 1 (used part of the entry's bounded
 * memory or connections). The highest priority is never shed here: its own queue bounds it.
 */
export function servicesToShed(
  priorities: ReadonlyMap<string, number>,
  pressure: number,
): ReadonlySet<string> {
  const levels = [...new Set(priorities.values())].sort((a, b) => a - b);
  const over = Math.max(0, (pressure - SHED_FROM) / (1 - SHED_FROM));
  const shedLevels = Math.min(levels.length - 1, Math.ceil(over * (levels.length - 1)));
  const bound = levels[shedLevels];
  if (bound === undefined || shedLevels <= 0) return new Set();
  return new Set([...priorities].filter(([, own]) => own < bound).map(([name]) => name));
}
