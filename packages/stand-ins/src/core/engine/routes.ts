/**
 * Maps the engine's HTTP paths to routes. Contains the routes for reports, orders and faults.
 */
import type { EngineOrder } from '@cassiamast/ports';
import type { Route } from '../http/http-server.js';
import { sendJson } from '../http/http-server.js';
import type { EngineContext } from './engine.js';
import { sendError, Status } from './errors.js';
import type { EngineFaults } from './faults.js';
import { consumeFault } from './faults.js';
import { createKvRoutes } from './kv-routes.js';
import { newestVisibleReport } from './load-report.js';
import { OrderVerdict, stateBody, acceptOrder } from './orders.js';
import { eventsAfter } from './prefix-cache.js';
import { readOrder } from './requests.js';
import { cancel, completions, listStreams, resume } from './stream-routes.js';

const STREAMS = '/v1/streams/';

/** Returns a function that finds the route of a request, or null for an unknown path. */
export function createEngineRoutes(
  context: EngineContext,
  execute: (order: EngineOrder) => void,
): (method: string, path: string) => Route | null {
  const exact = new Map<string, Route>([
    ['POST /v1/completions', completions(context)],
    ['GET /v1/streams', listStreams(context)],
    ['GET /load', load(context)],
    ['GET /cache-events', cacheEvents(context)],
    ['GET /state', state(context)],
    ['POST /orders', orders(context, execute)],
    ['POST /faults', faults(context)],
    ['GET /counts', counts(context)],
    ['GET /runs', runs(context)],
    ...createKvRoutes(context),
  ]);
  return (method, path) => {
    const route = exact.get(`${method} ${path}`);
    if (route !== undefined) return route;
    if (!path.startsWith(STREAMS)) return null;
    const streamId = decodeURIComponent(path.slice(STREAMS.length));
    if (method === 'GET') return resume(context, streamId);
    return method === 'DELETE' ? cancel(context, streamId) : null;
  };
}

function load(context: EngineContext): Route {
  return ({ response }) => {
    const { loads } = context.incarnation();
    const report = newestVisibleReport(loads, context.options.loadReportLagMs, context.nowMs());
    sendJson(response, Status.Ok, report ?? {});
  };
}

function cacheEvents(context: EngineContext): Route {
  return ({ url, response }) => {
    const after = Number(url.searchParams.get('after') ?? 0);
    const { cache } = context.incarnation();
    sendJson(response, Status.Ok, { events: eventsAfter(cache, after, context.nowMs()) });
  };
}

function state(context: EngineContext): Route {
  return ({ response }) => {
    const incarnation = context.incarnation();
    sendJson(response, Status.Ok, stateBody(incarnation.orderState, incarnation.epoch));
  };
}

function orders(context: EngineContext, execute: (order: EngineOrder) => void): Route {
  return ({ body, response }) => {
    const incarnation = context.incarnation();
    const order = readOrder(body);
    if (order === null) {
      sendError(response, Status.Invalid, { code: 'invalid_request', message: 'no such order' });
      return;
    }
    const { checksFencing } = context.options;
    const verdict = acceptOrder(incarnation.orderState, context.counts, order, checksFencing);
    if (verdict === OrderVerdict.FenceOld) {
      sendError(response, Status.Conflict, {
        code: 'fence_old',
        message: 'a later holder has given orders',
        order_id: order.orderId,
        fence: order.fence,
        highest_fence: incarnation.orderState.highestFence,
      });
      return;
    }
    if (verdict === OrderVerdict.Busy) {
      const message = `order ${incarnation.orderState.inProgress?.orderId ?? ''} is in progress`;
      sendError(response, Status.Conflict, { code: 'order_in_progress', message });
      return;
    }
    if (verdict === OrderVerdict.Begin) execute(order);
    if (consumeFault(context.faults, 'loseOrderAnswers')) response.destroy();
    else sendJson(response, Status.Accepted, stateBody(incarnation.orderState, incarnation.epoch));
  };
}

function faults(context: EngineContext): Route {
  return ({ body, response }) => {
    const { crash, breakConnections, ...change } = body;
    Object.assign(context.faults, change as Partial<EngineFaults>);
    sendJson(response, Status.Ok, context.faults);
    response.on('close', () => {
      if (crash === true) context.crash();
      else if (breakConnections === true) context.breakConnections();
    });
  };
}

function counts(context: EngineContext): Route {
  return ({ response }) => {
    sendJson(response, Status.Ok, context.counts);
  };
}

function runs(context: EngineContext): Route {
  return ({ response }) => {
    sendJson(response, Status.Ok, Object.fromEntries(context.runs));
  };
}
