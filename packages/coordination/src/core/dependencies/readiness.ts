/**
 * When a service is ready: it has a target that serves, and so has everything that it depends on.
 * A request for a service that is not ready is refused at the entry as not run; let through, it
 * would hold a target until its inner call fails.
 */
import type { DependentService } from './graph.js';

/** Why a service is not ready. */
export enum UnreadyCause {
  /** None of its own targets serves. */
  NoTarget = 'no-target',
  /** Something that it depends on is not ready. */
  Dependency = 'dependency',
  /** It depends on a service that the configuration does not have. */
  UnknownDependency = 'unknown-dependency',
}

/** Whether a service is ready and, if not, why. */
export type Readiness =
  | { readonly ready: true }
  | {
      readonly ready: false;
      readonly cause: UnreadyCause;
      /** The service that lacks a target: itself, or one below it. */
      readonly service: string;
    };

const READY: Readiness = { ready: true };

/**
 * Works out the readiness of every service.
 *
 * @param servingTargets targets of a service that take new work now, as this process sees them.
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
    // Set before the descent, so that a circle which slipped past the check ends here.
    results.set(name, READY);
    const result = resolveOwn(service, servingTargets(name), resolve);
    results.set(name, result);
    return result;
  };

  for (const { name } of services) resolve(name);
  return results;
}

function resolveOwn(
  service: DependentService,
  serving: number,
  resolve: (name: string) => Readiness,
): Readiness {
  if (serving < 1) return { ready: false, cause: UnreadyCause.NoTarget, service: service.name };
  for (const name of service.dependsOn) {
    const below = resolve(name);
    if (below.ready) continue;
    const cause =
      below.cause === UnreadyCause.UnknownDependency ? below.cause : UnreadyCause.Dependency;
    return { ready: false, cause, service: below.service };
  }
  return READY;
}
