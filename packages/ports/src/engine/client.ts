/**
 * HTTP client for the engine port. It never retries a call: after a lost response, the caller reads
 * the engine's state with `state` or continues the answer with `resumeStream`.
 */
import type { Failure } from '@cassiamast/coordination';
import type { Result } from 'neverthrow';
import { err, ok, ResultAsync } from 'neverthrow';
import type { JsonObject } from '../http/json.js';
import { asText, parseJsonObject } from '../http/json.js';
import type { HttpRequest } from '../http/transport.js';
import { createHttpTransport, isExchangeFailure } from '../http/transport.js';
import { statusFailure, troubleFailure } from './errors.js';
import { ENGINE_PROTOCOL } from './failures.js';
import type { EnginePort, EngineStream, EngineStreamHandlers } from './port.js';
import { openEngineStream } from './stream.js';
import * as wire from './wire.js';

const DEFAULT_CALL_TIMEOUT_MS = 2_000;
const DEFAULT_CONNECT_TIMEOUT_MS = 1_000;
/** Each stream occupies one connection; exceeds an engine's batch and queue together. */
const DEFAULT_MAX_CONNECTIONS = 1_024;
const MAX_ANSWER_BYTES = 4 * 1024 * 1024;
const JSON_HEADERS = { 'content-type': 'application/json' };

/** Options of {@link createEngineClient}. */
export interface EngineClientOptions {
  /** Base address such as `http://10.0.0.7:8000`. */
  readonly address: string;
  /** Timeout of a call other than a stream, in milliseconds. */
  readonly callTimeoutMs?: number;
  readonly connectTimeoutMs?: number;
  /** Maximum number of concurrent streams and calls. */
  readonly maxConnections?: number;
}

/** The engine port with a method that closes its connections. */
export interface EngineClient extends EnginePort {
  readonly close: () => Promise<void>;
}

/** Creates a client for one engine. */
export function createEngineClient(options: EngineClientOptions): EngineClient {
  const { address } = options;
  const callTimeoutMs = options.callTimeoutMs ?? DEFAULT_CALL_TIMEOUT_MS;
  const transport = createHttpTransport({
    connectTimeoutMs: options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS,
    maxConnections: options.maxConnections ?? DEFAULT_MAX_CONNECTIONS,
  });
  const request = (
    method: HttpRequest['method'],
    path: string,
    body?: JsonObject,
  ): HttpRequest => ({
    origin: address,
    method,
    path,
    headers: body === undefined ? {} : JSON_HEADERS,
    body: body === undefined ? null : JSON.stringify(body),
  });
  const call = (method: HttpRequest['method'], path: string, body?: JsonObject) =>
    new ResultAsync(exchange(request(method, path, body)));

  async function exchange(httpRequest: HttpRequest): Promise<Result<JsonObject, Failure>> {
    const context = { call: `${httpRequest.method} ${httpRequest.path}`, address };
    const outcome = await transport.exchange(httpRequest, {
      timeoutMs: callTimeoutMs,
      maxAnswerBytes: MAX_ANSWER_BYTES,
    });
    if (isExchangeFailure(outcome)) return err(troubleFailure(context, outcome));
    const text = outcome.body.toString('utf8');
    if (outcome.status >= 300) return err(statusFailure(context, outcome.status, text));
    const body = parseJsonObject(text);
    if (body !== null) return ok(body);
    const detail = 'the body is not a JSON object';
    return err(ENGINE_PROTOCOL.of({ ...context, mayHaveRun: true, detail }));
  }

  function parseWith<T>(callName: string, parse: (body: JsonObject) => T | null) {
    return (body: JsonObject): Result<T, Failure> => {
      const value = parse(body);
      if (value !== null) return ok(value);
      const detail = 'the body has no agreed form';
      return err(ENGINE_PROTOCOL.of({ call: callName, address, mayHaveRun: true, detail }));
    };
  }

  function open(
    httpRequest: HttpRequest,
    streamId: string,
    handlers: EngineStreamHandlers,
  ): EngineStream {
    const context = { call: `${httpRequest.method} ${httpRequest.path}`, address };
    const stream = openEngineStream(transport, context, httpRequest, handlers);
    return {
      cancel: () => {
        stream.stop();
        void cancel(streamId);
      },
      pause: stream.pause,
      resume: stream.resume,
    };
  }

  const cancel = (streamId: string): ResultAsync<null, Failure> =>
    call('DELETE', streamPath(streamId)).map(() => null);

  return {
    generate: (work, handlers) =>
      open(request('POST', '/v1/completions', wire.completionBody(work)), work.streamId, handlers),
    resumeStream: (streamId, fromIndex, handlers) =>
      open(request('GET', `${streamPath(streamId)}?from=${String(fromIndex)}`), streamId, handlers),
    cancel,
    runningStreams: () => call('GET', '/v1/streams').map(wire.readStreamIds),
    state: () => call('GET', '/state').andThen(parseWith('GET /state', wire.readState)),
    load: () => call('GET', '/load').map(wire.readLoad),
    cacheEvents: (afterSequence) =>
      call('GET', `/cache-events?after=${String(afterSequence)}`).map(wire.readCacheEvents),
    order: (order) =>
      call('POST', '/orders', wire.orderBody(order)).andThen(
        parseWith('POST /orders', wire.readState),
      ),
    exportKv: (streamId) =>
      call('POST', '/kv/export', { stream_id: streamId }).map((body) => asText(body.kv_handle)),
    importKv: (kvHandle, from) =>
      call('POST', '/kv/import', { kv_handle: kvHandle, from }).map(() => null),
    close: () => transport.close(),
  };
}

function streamPath(streamId: string): string {
  return `/v1/streams/${encodeURIComponent(streamId)}`;
}
