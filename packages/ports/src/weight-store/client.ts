/**
 * HTTP client for the weight store port. Reads `GET /status`.
 */
import type { Failure } from '@cassiamast/coordination';
import type { Result } from 'neverthrow';
import { err, ok, ResultAsync } from 'neverthrow';
import { asNumber, parseJsonObject } from '../http/json.js';
import type { HttpTransport } from '../http/transport.js';
import { createHttpTransport, isExchangeFailure } from '../http/transport.js';
import { WEIGHT_STORE_UNAVAILABLE } from './failures.js';
import type { WeightStorePort, WeightStoreStatus } from './port.js';

const DEFAULT_CALL_TIMEOUT_MS = 1_000;
const MAX_CONNECTIONS = 2;
const MAX_ANSWER_BYTES = 16_384;

/** Options of {@link createWeightStoreClient}. */
export interface WeightStoreClientOptions {
  /** Base address such as `http://10.0.0.4:9000`. */
  readonly address: string;
  readonly callTimeoutMs?: number;
}

/** The weight store port with a method that closes its connections. */
export interface WeightStoreClient extends WeightStorePort {
  readonly close: () => Promise<void>;
}

/** Creates a client for the weight store. */
export function createWeightStoreClient(options: WeightStoreClientOptions): WeightStoreClient {
  const callTimeoutMs = options.callTimeoutMs ?? DEFAULT_CALL_TIMEOUT_MS;
  const transport = createHttpTransport({
    connectTimeoutMs: callTimeoutMs,
    maxConnections: MAX_CONNECTIONS,
  });
  return {
    status: () => new ResultAsync(readStatus(transport, options.address, callTimeoutMs)),
    close: () => transport.close(),
  };
}

async function readStatus(
  transport: HttpTransport,
  address: string,
  timeoutMs: number,
): Promise<Result<WeightStoreStatus, Failure>> {
  const outcome = await transport.exchange(
    { origin: address, method: 'GET', path: '/status', headers: {}, body: null },
    { timeoutMs, maxAnswerBytes: MAX_ANSWER_BYTES },
  );
  const unavailable = (detail: string) =>
    err(WEIGHT_STORE_UNAVAILABLE.of({ address, mayHaveRun: false, detail }));
  if (isExchangeFailure(outcome)) return unavailable(outcome.detail);
  if (outcome.status !== 200) return unavailable(`status ${String(outcome.status)}`);
  const body = parseJsonObject(outcome.body.toString('utf8'));
  if (body === null) return unavailable('the body is not a JSON object');
  return ok({
    rateMbPerS: asNumber(body.rate_mb_per_s),
    activeFetches: asNumber(body.active_fetches),
    retryAfterMs: asNumber(body.retry_after_ms),
  });
}
