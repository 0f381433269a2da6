/**
 * Client for the key-value port over the etcd v3 JSON gateway. It never retries a call, because
 * only the caller knows whether a second one is safe. After a call fails to connect, the next call
 * uses the next endpoint.
 */
import type { Failure } from '@cassiamast/coordination';
import type { Result } from 'neverthrow';
import { err, ok, ResultAsync } from 'neverthrow';
import type { JsonObject } from '../http/json.js';
import { asNumber, asObject, asText, parseJsonObject } from '../http/json.js';
import type { HttpRequest, ExchangeFailure } from '../http/transport.js';
import { createHttpTransport, isExchangeFailure } from '../http/transport.js';
import {
  KEY_VALUE_ANSWER_LOST,
  KEY_VALUE_LEASE_GONE,
  KEY_VALUE_PROTOCOL,
  KEY_VALUE_REFUSED,
  KEY_VALUE_UNREACHABLE,
} from './failures.js';
import type { KeyValueLease, KeyValuePort } from './port.js';
import { startWatch } from './watch.js';
import * as wire from './wire.js';

/** A value has up to 1 MB; a list of base64-encoded values needs more. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
const DEFAULT_CALL_TIMEOUT_MS = 1_500;
/** A slow service answers within this time; after it, an inactive connection is closed. */
const LATE_CALL_TIMEOUT_MS = 6_000;
const DEFAULT_MAX_CONNECTIONS = 16;
const MS_PER_S = 1_000;
const NOT_FOUND_STATUS = 404;

/** Options of {@link createKeyValueClient}. */
export interface KeyValueClientOptions {
  /** Base addresses of one service, such as `http://10.0.0.5:2379`; at least one. */
  readonly endpoints: readonly string[];
  /** Timeout of one call, in milliseconds. */
  readonly callTimeoutMs?: number;
  /** Maximum number of connections to one endpoint; each open watch occupies one. */
  readonly maxConnections?: number;
}

/** The key-value port with a method that closes its connections. */
export interface KeyValueClient extends KeyValuePort {
  readonly close: () => Promise<void>;
}

type Call = (
  path: string,
  body: JsonObject,
  timeoutMs?: number,
) => ResultAsync<JsonObject, Failure>;

/** Creates a client for the key-value service. */
export function createKeyValueClient(options: KeyValueClientOptions): KeyValueClient {
  const callTimeoutMs = options.callTimeoutMs ?? DEFAULT_CALL_TIMEOUT_MS;
  const transport = createHttpTransport({
    connectTimeoutMs: callTimeoutMs,
    maxConnections: options.maxConnections ?? DEFAULT_MAX_CONNECTIONS,
  });
  let endpointIndex = 0;
  const currentEndpoint = (): string =>
    options.endpoints[endpointIndex % options.endpoints.length] ?? '';
  const useNextEndpoint = (): void => {
    endpointIndex += 1;
  };
  const call: Call = (path, body, timeoutMs = callTimeoutMs) =>
    new ResultAsync(post(path, body, timeoutMs));

  async function post(
    path: string,
    body: JsonObject,
    timeoutMs: number,
  ): Promise<Result<JsonObject, Failure>> {
    const origin = currentEndpoint();
    const outcome = await transport.exchange(jsonPost(origin, path, body), {
      timeoutMs,
      maxAnswerBytes: MAX_ANSWER_BYTES,
    });
    if (isExchangeFailure(outcome)) {
      if (!outcome.mayHaveRun) useNextEndpoint();
      return err(troubleFailure(path, origin, outcome));
    }
    return readAnswer(path, origin, outcome.status, outcome.body.toString('utf8'));
  }

  const getWithin =
    (timeoutMs: number): KeyValueClient['get'] =>
    (key) =>
      call('/v3/kv/range', { key: wire.encode(key) }, timeoutMs).map(
        (answer) => wire.readEntries(answer)[0] ?? null,
      );
  const listWithin =
    (timeoutMs: number): KeyValueClient['list'] =>
    (prefix, limit) => {
      const range = { key: wire.encode(prefix), range_end: wire.rangeEnd(prefix) };
      const body = { ...range, limit: String(limit) };
      return call('/v3/kv/range', body, timeoutMs).map(wire.readEntries);
    };
  const lateTimeoutMs = Math.max(callTimeoutMs, LATE_CALL_TIMEOUT_MS);

  return {
    get: getWithin(callTimeoutMs),
    list: listWithin(callTimeoutMs),
    getWithLongTimeout: getWithin(lateTimeoutMs),
    listWithLongTimeout: listWithin(lateTimeoutMs),
    transact: (compares, writes) =>
      call('/v3/kv/txn', wire.transactionBody(compares, writes)).map((answer) => ({
        succeeded: answer.succeeded === true,
        revision: wire.readRevision(answer),
        current: wire.readTransactionEntries(answer),
      })),
    grantLease: (ttlMs) =>
      // The protocol uses whole seconds. Rounded up, the granted lease is never shorter than
      // `ttlMs`.
      call('/v3/lease/grant', { TTL: String(Math.ceil(ttlMs / MS_PER_S)) }).map(readLease),
    keepLeaseAlive: (leaseId) =>
      call('/v3/lease/keepalive', { ID: leaseId }).andThen((answer) => {
        const lease = readLease(asObject(answer.result) ?? {});
        return lease.ttlMs > 0
          ? ok(lease)
          : err(KEY_VALUE_LEASE_GONE.of({ leaseId, mayHaveRun: false }));
      }),
    revokeLease: (leaseId) =>
      call('/v3/lease/revoke', { ID: leaseId })
        .map(() => null)
        .mapErr((failure) =>
          isNotFound(failure) ? KEY_VALUE_LEASE_GONE.of({ leaseId, mayHaveRun: false }) : failure,
        ),
    watch: (key, fromRevision, onChange, onEnd) =>
      startWatch(transport, currentEndpoint(), {
        key,
        fromRevision,
        onChange,
        onEnd,
        useNextEndpoint,
      }),
    close: () => transport.close(),
  };
}

function jsonPost(origin: string, path: string, body: JsonObject): HttpRequest {
  return {
    origin,
    path,
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(body),
  };
}

function troubleFailure(call: string, endpoint: string, trouble: ExchangeFailure): Failure {
  const { mayHaveRun, detail } = trouble;
  const failureKind = mayHaveRun ? KEY_VALUE_ANSWER_LOST : KEY_VALUE_UNREACHABLE;
  return failureKind.of({ call, endpoint, mayHaveRun, detail });
}

function readAnswer(
  call: string,
  endpoint: string,
  status: number,
  text: string,
): Result<JsonObject, Failure> {
  const body = parseJsonObject(text);
  if (status !== 200) {
    // The JSON gateway can answer "unavailable" for a write that its etcd member still commits. A
    // 4xx results from a check before anything is written.
    const detail = asText(body?.message, 'no reason given');
    const data = { call, endpoint, status, detail, mayHaveRun: status >= 500 };
    return err(KEY_VALUE_REFUSED.of(data));
  }
  if (body !== null) return ok(body);
  const detail = 'the body is not a JSON object';
  return err(KEY_VALUE_PROTOCOL.of({ call, endpoint, mayHaveRun: true, detail }));
}

function readLease(answer: JsonObject): KeyValueLease {
  return { leaseId: asText(answer.ID, '0'), ttlMs: asNumber(answer.TTL) * MS_PER_S, era: 0 };
}

function isNotFound(failure: Failure): boolean {
  if (!KEY_VALUE_REFUSED.is(failure)) return false;
  return failure.data.status === NOT_FOUND_STATUS;
}
