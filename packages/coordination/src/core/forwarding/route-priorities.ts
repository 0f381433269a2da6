/** Determines which services have routes of different priority. */
import type { Route } from './fleet.js';

/**
 * Returns the services whose routes differ in priority. Priorities of workspaces do not count: one
 * workspace would otherwise change how a whole service is scheduled.
 */
export function servicesWithPriorities(routes: readonly Route[]): ReadonlySet<string> {
  const priorityByService = new Map<string, number>();
  const services = new Set<string>();
  for (const { shares, priority } of routes) {
    for (const { service } of shares) {
      const known = priorityByService.get(service) ?? priority;
      priorityByService.set(service, known);
      if (known !== priority) services.add(service);
    }
  }
  return services;
}
