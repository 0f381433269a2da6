/**
 * Finds where a request goes and whom it is from: its route and the workspace of its caller. Requests
 * without them are answered here.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  type KeyedWorkspace,
  type Route,
  type RouteTable,
  findRoute,
} from '@cassiamast/coordination';
import type { GatewayResponse } from '@cassiamast/ports';
import { type Identity, IdentityKind } from './caller-identity.js';
import { type ForwardingServices, newsAgeMs } from './forwarding-services.js';
import { OwnStatus, refuse } from './own-answer.js';

/** A gateway that has just started reads the configuration within this time. */
const NO_CONFIGURATION: GatewayResponse = {
  status: OwnStatus.Refused,
  reason: 'no configuration yet',
  retryAfterMs: 500,
};
const NO_ROUTE: GatewayResponse = {
  status: OwnStatus.NoRoute,
  reason: 'no route',
  retryAfterMs: null,
};
const KEY_UNKNOWN: GatewayResponse = {
  status: OwnStatus.Unauthorized,
  reason: 'no workspace holds the key',
  retryAfterMs: null,
};
/** Another gateway may know the key. */
const KEY_UNVERIFIED: GatewayResponse = {
  status: OwnStatus.Refused,
  reason: 'the key is not known here yet',
  retryAfterMs: 100,
};

/** A request that was read completely. */
export interface ReceivedRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly body: Buffer;
  /** When its head was received. */
  readonly receivedAtMs: number;
  /** When its body was complete, on the same clock. */
  readonly wholeAtMs: number;
}

/** Where a request goes and whom it is from. */
export interface Destination {
  readonly table: RouteTable;
  readonly route: Route;
  /** Null if the caller has no workspace. */
  readonly caller: KeyedWorkspace | null;
}

/** Resolves with null if the request was answered, or its caller has left. */
export async function findDestination(
  received: ReceivedRequest,
  services: ForwardingServices,
): Promise<Destination | null> {
  const route = routeOf(received, services);
  if (route === null) return refuseRoute(received, services);
  const identity = await identify(received, route, services);
  if (received.response.destroyed) return null;
  if (identity.kind !== IdentityKind.Known) return refuseCaller(received, identity.kind, services);
  // The configuration may have changed while the caller was identified.
  const { table } = services.view;
  const currentRoute = routeOf(received, services);
  if (table === null || currentRoute === null) return refuseRoute(received, services);
  return { table, route: currentRoute, caller: identity.workspace };
}

function routeOf({ request }: ReceivedRequest, { view }: ForwardingServices): Route | null {
  const { headers, url } = request;
  return view.table === null ? null : findRoute(view.table, headers.host ?? '', url ?? '/');
}

async function identify(
  { request }: ReceivedRequest,
  route: Route,
  { callers, wire }: ForwardingServices,
): Promise<Identity> {
  const { authorization } = wire.readRequest(request.headers);
  return callers.find(route, authorization) ?? callers.verify(route, authorization);
}

function refuseRoute({ request, response }: ReceivedRequest, services: ForwardingServices): null {
  const { table } = services.view;
  if (table === null) {
    refuse(response, services, NO_CONFIGURATION);
    return null;
  }
  services.log.info('no route', {
    host: request.headers.host,
    path: request.url,
    version: table.configuration.version,
    newsAgeMs: newsAgeMs(services),
  });
  refuse(response, services, NO_ROUTE);
  return null;
}

/** Turns a caller away that no workspace is known of; never logs its key. */
function refuseCaller(
  { request, response }: ReceivedRequest,
  kind: IdentityKind,
  services: ForwardingServices,
): null {
  const isUnknown = kind === IdentityKind.Unknown;
  services.count(isUnknown ? 'keys_unknown_total' : 'keys_unverified_total');
  services.log.info('key refused', {
    path: request.url,
    isMissing: request.headers.authorization === undefined,
    verified: isUnknown,
    version: services.view.table?.configuration.version,
    newsAgeMs: newsAgeMs(services),
  });
  refuse(response, services, isUnknown ? KEY_UNKNOWN : KEY_UNVERIFIED);
  return null;
}
