/**
 * Emulates the rate-limited weight store. Engines fetch weights with `POST /fetches`. Fetches beyond the
 * limit on concurrent fetches are rejected with a retry delay.
 */
import type { Route } from '../http/http-server.js';
import { sendJson, startHttpServer } from '../http/http-server.js';

/** Options of {@link startWeightStore}. */
export interface WeightStoreOptions {
  readonly host?: string;
  readonly port?: number;
  /** Total rate, divided equally among `maxFetches` fetches. */
  readonly rateMbPerS?: number;
  /** Maximum number of concurrent fetches. Further ones are rejected. */
  readonly maxFetches?: number;
  readonly retryAfterMs?: number;
}

/** A running weight store. */
export interface WeightStoreStandIn {
  readonly address: string;
  readonly port: number;
  readonly activeFetches: () => number;
  /** Returns the number of fetches rejected so far. */
  readonly rejectedFetches: () => number;
  readonly stop: () => Promise<void>;
}

const DEFAULT_RATE_MB_PER_S = 2_000;
const DEFAULT_MAX_FETCHES = 2;
const DEFAULT_RETRY_AFTER_MS = 500;
const MS_PER_S = 1_000;
const TOO_MANY_REQUESTS = 429;

/** Starts a weight store stand-in. */
export async function startWeightStore(
  options: WeightStoreOptions = {},
): Promise<WeightStoreStandIn> {
  const rateMbPerS = options.rateMbPerS ?? DEFAULT_RATE_MB_PER_S;
  const maxFetches = options.maxFetches ?? DEFAULT_MAX_FETCHES;
  const retryAfterMs = options.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS;
  let active = 0;
  let rejected = 0;
  let lastRejectedAtMs = Number.NEGATIVE_INFINITY;

  const status: Route = ({ response }) => {
    const sinceMs = performance.now() - lastRejectedAtMs;
    sendJson(response, 200, {
      rate_mb_per_s: rateMbPerS,
      active_fetches: active,
      retry_after_ms: Math.max(0, Math.ceil(retryAfterMs - sinceMs)),
    });
  };
  const fetchWeights: Route = ({ body, response }) => {
    if (active >= maxFetches) {
      rejected += 1;
      lastRejectedAtMs = performance.now();
      sendJson(response, TOO_MANY_REQUESTS, { retry_after_ms: retryAfterMs });
      return;
    }
    active += 1;
    // A single fetch also gets only an equal share of the rate, which is a simple worst case.
    const sizeMb = typeof body.size_mb === 'number' ? body.size_mb : 0;
    const durationMs = (sizeMb / (rateMbPerS / maxFetches)) * MS_PER_S;
    const timer = setTimeout(() => {
      sendJson(response, 200, { size_mb: sizeMb });
    }, durationMs);
    response.on('close', () => {
      clearTimeout(timer);
      active -= 1;
    });
  };
  const server = await startHttpServer({
    host: options.host ?? '127.0.0.1',
    port: options.port ?? 0,
    route: (method, path) => {
      if (method === 'GET' && path === '/status') return status;
      if (method === 'POST' && path === '/fetches') return fetchWeights;
      return null;
    },
  });
  return {
    address: server.address,
    port: server.port,
    activeFetches: () => active,
    rejectedFetches: () => rejected,
    stop: server.stop,
  };
}
