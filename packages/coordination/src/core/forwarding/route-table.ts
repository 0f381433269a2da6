/**
 * Which route a request takes: among those of its host, the one with the longest path prefix. The
 * table is made once per configuration; a lookup costs one step for each slash of the path.
 */
import type { FleetConfiguration, Route, RoutedService } from './fleet.js';

/** A configuration, prepared for lookups. */
export interface RouteTable {
  readonly configuration: FleetConfiguration;
  /** By host, then by path prefix. */
  readonly routesByHost: ReadonlyMap<string, ReadonlyMap<string, Route>>;
  readonly servicesByName: ReadonlyMap<string, RoutedService>;
}

/** Prepares a configuration. */
export function createRouteTable(configuration: FleetConfiguration): RouteTable {
  const routesByHost = new Map<string, Map<string, Route>>();
  for (const route of configuration.routes) {
    const host = route.host.toLowerCase();
    const routes = routesByHost.get(host) ?? new Map<string, Route>();
    routes.set(route.pathPrefix, route);
    routesByHost.set(host, routes);
  }
  const servicesByName = new Map(configuration.services.map((each) => [each.name, each]));
  return { configuration, routesByHost, servicesByName };
}

/** The route of a request, or null where none matches. `host` may carry a port, `path` a query. */
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

/** Largest value of a 32-bit hash, plus one. */
const HASH_RANGE = 2 ** 32;

/** The service of a request on a route with several shares; `hash` spreads requests evenly. */
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
 * The newer of two configurations. Guards against one that goes back: it shows as requests that
 * take a dropped route again, after a late answer of the store. Versions only grow, so the larger
 * one holds whatever the order in which they come.
 */
export function newerTable(current: RouteTable | null, next: FleetConfiguration): RouteTable {
  if (current !== null && next.version <= current.configuration.version) return current;
  return createRouteTable(next);
}
