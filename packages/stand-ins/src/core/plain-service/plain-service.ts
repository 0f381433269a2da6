/**
 * Emulates a plain service. It counts the runs of each request id, so tests can check that a request
 * ran at most once. It can be slow, and can fail before, during or after a run.
 */
import type { IncomingHttpHeaders, IncomingMessage } from 'node:http';
import type { Exchange, Route } from '../http/http-server.js';
import { sendJson, startHttpServer } from '../http/http-server.js';
import type { RunCounts } from '../runs/run-counts.js';
import { countRun } from '../runs/run-counts.js';
import { delay } from '../time/delay.js';

/** Points of a run at which the service can fail. */
export enum DeathPoint {
  Before = 'before',
  During = 'during',
  After = 'after',
}

/** Faults of the service; also set by `POST /faults`. */
export interface PlainServiceFaults {
  /** Duration of each run. */
  slowMs: number;
  /** Point at which the next run fails and closes its connection; null for no failure. */
  dieNext: DeathPoint | null;
}

/** Options of {@link startPlainService}. */
export interface PlainServiceOptions {
  readonly host?: string;
  readonly port?: number;
  /** Service name in each answer. */
  readonly name?: string;
  readonly runMs?: number;
}

/** A running plain service. */
export interface PlainServiceStandIn {
  readonly address: string;
  readonly port: number;
  readonly setFaults: (change: Partial<PlainServiceFaults>) => void;
  /** Returns the number of started runs by call id, or by request id if there is none. */
  readonly runs: () => ReadonlyMap<string, number>;
  /** Returns the headers of the latest call, or an empty object before the first one. */
  readonly lastHeaders: () => IncomingHttpHeaders;
  readonly stop: () => Promise<void>;
}

const REQUEST_ID_HEADER = 'x-request-id';

/** Header with a call id chosen by the caller instead of the sidecar. Runs are counted by it if present. */
export const CALL_ID_HEADER = 'x-call-id';

/** Starts a plain service stand-in. It answers any path with an echo of the request and its run count. */
export async function startPlainService(
  options: PlainServiceOptions = {},
): Promise<PlainServiceStandIn> {
  const runs = new Map() as RunCounts;
  const faults: PlainServiceFaults = { slowMs: options.runMs ?? 0, dieNext: null };
  const setFaults = (change: Partial<PlainServiceFaults>): void => {
    Object.assign(faults, change);
  };
  let lastHeaders: IncomingHttpHeaders = {};
  const run: Route = async (exchange) => {
    lastHeaders = exchange.request.headers;
    const death = faults.dieNext;
    faults.dieNext = null;
    if (death === DeathPoint.Before) {
      exchange.response.destroy();
      return;
    }
    const requestId = requestIdOf(exchange.request);
    const count = countRun(runs, requestId);
    if (faults.slowMs > 0) await delay(faults.slowMs);
    if (death !== null) exchange.response.destroy();
    else answer(exchange, options.name ?? 'plain-service', requestId, count);
  };
  const server = await startHttpServer({
    host: options.host ?? '127.0.0.1',
    port: options.port ?? 0,
    route: (method, path) => {
      if (method === 'POST' && path === '/faults') {
        return ({ body, response }) => {
          setFaults(body as Partial<PlainServiceFaults>);
          sendJson(response, 200, faults);
        };
      }
      if (method === 'GET' && path === '/runs') {
        return ({ response }) => {
          sendJson(response, 200, Object.fromEntries(runs));
        };
      }
      return run;
    },
  });
  return {
    address: server.address,
    port: server.port,
    setFaults,
    runs: () => runs,
    lastHeaders: () => lastHeaders,
    stop: server.stop,
  };
}

function requestIdOf(request: IncomingMessage): string {
  const value = request.headers[CALL_ID_HEADER] ?? request.headers[REQUEST_ID_HEADER];
  return typeof value === 'string' ? value : 'unnamed';
}

function answer(exchange: Exchange, name: string, requestId: string, run: number): void {
  const { request, response, url, rawBody } = exchange;
  sendJson(response, 200, {
    service: name,
    requestId,
    run,
    method: request.method,
    path: url.pathname,
    echo: rawBody.toString('utf8'),
  });
}
