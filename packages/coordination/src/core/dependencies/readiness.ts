/**
 * Determines which services are ready. A service is ready if it has a serving target and all of its
 * dependencies are ready. The entry rejects requests for a service that is not ready and reports them
 * as not run; otherwise such a request would occupy a target until its inner call fails.
 */
import type { DependentService } from './graph.js';

/** Why a service is not ready. */
export enum UnreadyCause {
  /** The service itself has no serving target. */
  NoTarget = 'no-target',
  /** A direct or indirect dependency has no serving target. */
  Dependency = 'dependency',
  /** A direct or indirect dependency is missing from the configuration. */
  UnknownDependency = 'unknown-dependency',
}

/** Whether a service is ready and, if not, for which reason. */
export type Readiness =
  | { readonly ready: true }
  | {
      readonly ready: false;
      readonly cause: UnreadyCause;
      /** Service that causes this: the service itself or one of its dependencies. */
      readonly service: string;
    };

const READY: Readiness = { ready: true };

/**
 * Returns the readiness of every service.
 *
 * @param servingTargets - Returns the number of a service's targets that accept new work now, as
 * known to this process.
 */
export function readinessOf(
  services: readonly DependentService[],
  servingTargets: (service: string) => number,
): ReadonlyMap<string, Readiness> {
  const byName = new Map(services.map((service) => [service.name, service]));
  const results = new Map<string, Readiness>();

  const resolve = (name: string): Readiness => {
    const known = results.get(name);
    if (known !== undefined) return known;
    const service = byName.get(name);
    if (service === undefined) {
      return { ready: false, cause: UnreadyCause.UnknownDependency, service: name };
    }
    // Set before the recursion, so that it ends even if a cycle was not caught by validation.
    results.set(name, READY);
    const result = resolveService(service, servingTargets(name), resolve);
    results.set(name, result);
    return result;
  };

  for (const { name } of services) resolve(name);
  return results;
}

function resolveService(
  service: DependentService,
  servingTargetCount: number,
  resolve: (name: string) => Readiness,
): Readiness {
  if (servingTargetCount < 1)
    return { ready: false, cause: UnreadyCause.NoTarget, service: service.name };
  for (const name of service.dependsOn) {
    const dependency = resolve(name);
    if (dependency.ready) continue;
    const cause =
      dependency.cause === UnreadyCause.UnknownDependency
        ? dependency.cause
        : UnreadyCause.Dependency;
    return { ready: false, cause, service: dependency.service };
  }
  return READY;
}
