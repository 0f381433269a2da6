/**
 * The engine's paths: streams, reports, orders and faults.
 */
import type { EngineOrder } from '@cassiamast/platform';
import type { Route } from '../http/http-server.js';
import { sendJson } from '../http/http-server.js';
import { enqueue, removeWork } from './batch.js';
import type { EngineContext } from './engine.js';
import type { EngineFaults } from './faults.js';
import { takeFault } from './faults.js';
import { createKvRoutes } from './kv-routes.js';
import { reportToTell } from './load-report.js';
import { isAway, OrderVerdict, stateBody, takeOrder } from './orders.js';
import { eventsAfter } from './prefix-cache.js';
import { tokenize } from './prompt.js';
import { readEngineRequest, readOrder } from './requests.js';
import { attachReader, hasEnded, openStream } from './streams.js';

const STREAMS = '/v1/streams/';
const OVERLOAD_RETRY_MS = 500;

enum Status {
  Ok = 200,
  Accepted = 202,
  Invalid = 400,
  NotFound = 404,
  Conflict = 409,
  TooMany = 429,
  Unavailable = 503,
}

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

/** Answers with the protocol's error object. */
export function sendError(
  response: Parameters<typeof sendJson>[0],
  status: number,
  error: { readonly code: string; readonly message: string; readonly [more: string]: unknown },
): void {
  sendJson(response, status, { error });
}

function completions(context: EngineContext): Route {
  return ({ body, response }) => {
    const { options, counts } = context;
    const life = context.life();
    const newStreamId = (): string => `${life.epoch}-${String(counts.requests)}`;
    const request = readEngineRequest(body, newStreamId);
    if (request === null) {
      sendError(response, Status.Invalid, {
        code: 'invalid_request',
        message: 'no prompt or model',
      });
      return;
    }
    if (isAway(life.ordered)) {
      const message = 'changing role';
      const retry_after_ms = options.roleChangeMs;
      sendError(response, Status.Unavailable, { code: 'not_serving', message, retry_after_ms });
      return;
    }
    const held = life.ordered.models.find((model) => model.name === request.model);
    if (held === undefined || !holdsAdapter(held.adapters, request.adapter)) {
      sendError(response, Status.NotFound, { code: 'model_unknown', message: request.model });
      return;
    }
    if (life.streams.has(request.streamId)) {
      const message = request.streamId;
      sendError(response, Status.Conflict, { code: 'stream_exists', message });
      return;
    }
    if (life.batch.waiting.length >= options.maxWaiting) {
      const message = 'too many requests waiting';
      const retry_after_ms = OVERLOAD_RETRY_MS;
      sendError(response, Status.TooMany, { code: 'overloaded', message, retry_after_ms });
      return;
    }
    const prompt = tokenize(request.prompt, request.model, request.adapter);
    if (prompt.tokens + request.maxTokens > options.kvCapacityTokens) {
      const message = 'prompt and answer are larger than the cache memory';
      sendError(response, Status.Invalid, { code: 'invalid_request', message });
      return;
    }
    counts.requests += 1;
    const imported = request.kvHandle === null ? undefined : life.kvHandles.get(request.kvHandle);
    const importedTokens = isSamePrompt(imported?.blocks, prompt.blocks) ? prompt.tokens : 0;
    enqueue(life.batch, request, prompt, importedTokens, options.answerVariant);
    const first = request.continueFrom.length;
    const stream = openStream(life.streams, request.streamId, request.model, first);
    attachReader(stream, response, first);
    context.wake();
  };
}

function holdsAdapter(adapters: readonly string[], adapter: string | null): boolean {
  return adapter === null || adapters.includes(adapter);
}

function isSamePrompt(imported: readonly string[] | undefined, own: readonly string[]): boolean {
  if (imported === undefined) return false;
  return imported.length === own.length && imported.at(-1) === own.at(-1);
}

function resume(context: EngineContext, streamId: string): Route {
  return ({ url, response }) => {
    const stream = context.life().streams.get(streamId);
    if (stream === undefined) sendStreamUnknown(response, streamId);
    else attachReader(stream, response, Number(url.searchParams.get('from') ?? 0));
  };
}

function listStreams(context: EngineContext): Route {
  return ({ response }) => {
    const streams = [...context.life().streams.values()];
    const running = streams.filter((stream) => !hasEnded(stream)).map((stream) => stream.id);
    sendJson(response, Status.Ok, { running });
  };
}

function cancel(context: EngineContext, streamId: string): Route {
  return ({ response }) => {
    const life = context.life();
    const stream = life.streams.get(streamId);
    if (stream === undefined) {
      sendStreamUnknown(response, streamId);
      return;
    }
    removeWork(life.batch, streamId);
    life.streams.delete(streamId);
    for (const reader of stream.readers) reader.response.destroy();
    sendJson(response, Status.Ok, { cancelled: true });
  };
}

function sendStreamUnknown(response: Parameters<typeof sendJson>[0], streamId: string): void {
  const message = 'no such stream';
  sendError(response, Status.NotFound, { code: 'stream_unknown', message, stream_id: streamId });
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
