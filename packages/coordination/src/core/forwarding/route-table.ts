/**
 * Matches requests to routes: among the routes of the host, the longest path prefix wins. The table
 * is built once per configuration, and a lookup takes one step per slash in the path.
 */
import type { FleetConfiguration, Route, RoutedService } from './fleet.js';
import { servicesWithPriorities } from './route-priorities.js';

/** A configuration indexed for lookups. */
export interface RouteTable {
  readonly configuration: FleetConfiguration;
  /** Routes by host, then by path prefix. */
  readonly routesByHost: ReadonlyMap<string, ReadonlyMap<string, Route>>;
  readonly servicesByName: ReadonlyMap<string, RoutedService>;
  /** Names of the services whose routes differ in priority. */
  readonly prioritizedServices: ReadonlySet<string>;
}

/** Builds the route table of a configuration. */
export function createRouteTable(configuration: FleetConfiguration): RouteTable {
  const routesByHost = new Map<string, Map<string, Route>>();
  for (const route of configuration.routes) {
    const host = route.host.toLowerCase();
    const routes = routesByHost.get(host) ?? new Map<string, Route>();
    routes.set(route.pathPrefix, route);
    routesByHost.set(host, routes);
  }
  const servicesByName = new Map(configuration.services.map((each) => [each.name, each]));
  const prioritizedServices = servicesWithPriorities(configuration.routes);
  return { configuration, routesByHost, servicesByName, prioritizedServices };
}

/**
 * Returns the route of a request, or null if none matches. `host` may have a port, `path` a query.
 */
export function findRoute(table: RouteTable, host: string, path: string): Route | null {
  const routes = table.routesByHost.get(hostName(host));
  if (routes === undefined) return null;
  const plainPath = path.split('?', 1)[0] ?? '';
  for (let end = plainPath.lastIndexOf('/'); end >= 0; end = plainPath.lastIndexOf('/', end - 1)) {
    const route = routes.get(plainPath.slice(0, end + 1));
    if (route !== undefined) return route;
    if (end === 0) break;
  }
  return null;
}

function hostName(host: string): string {
  return (host.split(':', 1)[0] ?? '').toLowerCase();
}

/** Number of values of a 32-bit hash. */
const HASH_RANGE = 2 ** 32;

/** Chooses a service of the route by weight. `hash` must be evenly distributed over requests. */
export function chooseService(route: Route, hash: number): string {
  const total = route.shares.reduce((sum, share) => sum + share.weight, 0);
  let rest = ((hash >>> 0) / HASH_RANGE) * total;
  for (const share of route.shares) {
    rest -= share.weight;
    if (rest < 0) return share.service;
  }
  return route.shares.at(-1)?.service ?? '';
}

/**
 * Returns the route table of the newer configuration. A late answer of the store may carry an older
 * version, which would restore routes that were removed. Versions only increase, so the higher one
 * wins regardless of the order of arrival.
 */
export function newerRouteTable(current: RouteTable | null, next: FleetConfiguration): RouteTable {
  if (current !== null && next.version <= current.configuration.version) return current;
  return createRouteTable(next);
}
