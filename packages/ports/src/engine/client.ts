/**
 * The engine port over HTTP. Nothing is repeated here; a lost answer is read back by `state` or
 * taken up by `resumeStream`.
 */
import type { Failure } from '@cassiamast/coordination';
import type { Result } from 'neverthrow';
import { err, ok, ResultAsync } from 'neverthrow';
import type { JsonObject } from '../http/json.js';
import { asText, parseJsonObject } from '../http/json.js';
import type { HttpRequest } from '../http/transport.js';
import { createHttpTransport, isTrouble } from '../http/transport.js';
import { statusFailure, troubleFailure } from './errors.js';
import { ENGINE_PROTOCOL } from './failures.js';
import type { EnginePort, EngineStream, EngineStreamHandlers } from './port.js';
import { openEngineStream } from './stream.js';
import * as wire from './wire.js';

const DEFAULT_CALL_TIMEOUT_MS = 2_000;
const DEFAULT_CONNECT_TIMEOUT_MS = 1_000;
/** One connection a stream; above an engine's batch and its waiting line. */
const DEFAULT_MAX_CONNECTIONS = 1_024;
const MAX_ANSWER_BYTES = 4 * 1024 * 1024;
const JSON_HEADERS = { 'content-type': 'application/json' };

/** Options of {@link createEngineClient}. */
export interface EngineClientOptions {
  /** Base address such as `http://10.0.0.7:8000`. */
  readonly address: string;
  /** How long a call other than a stream may take, in milliseconds. */
  readonly callTimeoutMs?: number;
  readonly connectTimeoutMs?: number;
  /** Most streams and calls at once. */
  readonly maxConnections?: number;
}

/** The port with the means to let go of its connections. */
export interface EngineClient extends EnginePort {
  readonly close: () => Promise<void>;
}

/** Makes a client of one engine. */
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

  async function exchange(sent: HttpRequest): Promise<Result<JsonObject, Failure>> {
    const place = { call: `${sent.method} ${sent.path}`, address };
    const outcome = await transport.exchange(sent, {
      timeoutMs: callTimeoutMs,
      maxAnswerBytes: MAX_ANSWER_BYTES,
    });
    if (isTrouble(outcome)) return err(troubleFailure(place, outcome));
    const text = outcome.body.toString('utf8');
    if (outcome.status >= 300) return err(statusFailure(place, outcome.status, text));
    const body = parseJsonObject(text);
    if (body !== null) return ok(body);
    const detail = 'the body is not a JSON object';
    return err(ENGINE_PROTOCOL.of({ ...place, mayHaveRun: true, detail }));
  }

  function readWith<T>(place: string, read: (body: JsonObject) => T | null) {
    return (body: JsonObject): Result<T, Failure> => {
      const value = read(body);
      if (value !== null) return ok(value);
      const detail = 'the body has no agreed form';
      return err(ENGINE_PROTOCOL.of({ call: place, address, mayHaveRun: true, detail }));
    };
  }

  function open(sent: HttpRequest, streamId: string, handlers: EngineStreamHandlers): EngineStream {
    const place = { call: `${sent.method} ${sent.path}`, address };
    const stream = openEngineStream(transport, place, sent, handlers);
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
    state: () => call('GET', '/state').andThen(readWith('GET /state', wire.readState)),
    load: () => call('GET', '/load').map(wire.readLoad),
    cacheEvents: (afterSequence) =>
      call('GET', `/cache-events?after=${String(afterSequence)}`).map(wire.readCacheEvents),
    order: (order) =>
      call('POST', '/orders', wire.orderBody(order)).andThen(
        readWith('POST /orders', wire.readState),
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
