/**
 * The engine's paths; reports, orders and faults are answered here.
 */
import type { EngineOrder } from '@cassiamast/ports';
import type { Route } from '../http/http-server.js';
import { sendJson } from '../http/http-server.js';
import type { EngineContext } from './engine.js';
import { sendError, Status } from './errors.js';
import type { EngineFaults } from './faults.js';
import { takeFault } from './faults.js';
import { createKvRoutes } from './kv-routes.js';
import { reportToTell } from './load-report.js';
import { OrderVerdict, stateBody, takeOrder } from './orders.js';
import { eventsAfter } from './prefix-cache.js';
import { readOrder } from './requests.js';
import { cancel, completions, listStreams, resume } from './stream-routes.js';

const STREAMS = '/v1/streams/';

/** Finds the route of a request. */
export function createEngineRoutes(
  context: EngineContext,
  carryOut: (order: EngineOrder) => void,
): (method: string, path: string) => Route | null {
  const exact = new Map<string, Route>([
    ['POST /v1/completions', completions(context)],
    ['GET /v1/streams', listStreams(context)],
    ['GET /load', load(context)],
    ['GET /cache-events', cacheEvents(context)],
    ['GET /state', state(context)],
    ['POST /orders', orders(context, carryOut)],
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
    const { loads } = context.life();
    const report = reportToTell(loads, context.options.loadReportLagMs, context.nowMs());
    sendJson(response, Status.Ok, report ?? {});
  };
}

function cacheEvents(context: EngineContext): Route {
  return ({ url, response }) => {
    const after = Number(url.searchParams.get('after') ?? 0);
    const { cache } = context.life();
    sendJson(response, Status.Ok, { events: eventsAfter(cache, after, context.nowMs()) });
  };
}

function state(context: EngineContext): Route {
  return ({ response }) => {
    const life = context.life();
    sendJson(response, Status.Ok, stateBody(life.ordered, life.epoch));
  };
}

function orders(context: EngineContext, carryOut: (order: EngineOrder) => void): Route {
  return ({ body, response }) => {
    const life = context.life();
    const order = readOrder(body);
    if (order === null) {
      sendError(response, Status.Invalid, { code: 'invalid_request', message: 'no such order' });
      return;
    }
    const { checksFencing } = context.options;
    const verdict = takeOrder(life.ordered, context.counts, order, checksFencing);
    if (verdict === OrderVerdict.FenceOld) {
      sendError(response, Status.Conflict, {
        code: 'fence_old',
        message: 'a later holder has given orders',
        order_id: order.orderId,
        fence: order.fence,
        highest_fence: life.ordered.highestFence,
      });
      return;
    }
    if (verdict === OrderVerdict.Busy) {
      const message = `order ${life.ordered.inProgress?.orderId ?? ''} is in progress`;
      sendError(response, Status.Conflict, { code: 'order_in_progress', message });
      return;
    }
    if (verdict === OrderVerdict.Begin) carryOut(order);
    if (takeFault(context.faults, 'loseOrderAnswers')) response.destroy();
    else sendJson(response, Status.Accepted, stateBody(life.ordered, life.epoch));
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
