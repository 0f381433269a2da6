/**
 * HTTP client for the plain service port. Forwards each call as one buffered exchange and never
 * retries it.
 */
import { err, ok, ResultAsync } from 'neverthrow';
import type { Failure } from '@cassiamast/coordination';
import type { Result } from 'neverthrow';
import type { HttpRequest, HttpTransport } from '../http/transport.js';
import { createHttpTransport, isExchangeFailure } from '../http/transport.js';
import { PLAIN_SERVICE_ANSWER_LOST, PLAIN_SERVICE_UNREACHABLE } from './failures.js';
import type { PlainRequest, PlainResponse, PlainServicePort } from './port.js';

const DEFAULT_CONNECT_TIMEOUT_MS = 1_000;
const DEFAULT_MAX_CONNECTIONS = 256;
const DEFAULT_MAX_ANSWER_BYTES = 8 * 1024 * 1024;

/** Header by which the service recognizes a retry: it has the same value in each attempt. */
export const REQUEST_ID_HEADER = 'x-request-id';

/** Headers that apply to a single connection and are not forwarded. */
const HOP_BY_HOP_HEADERS = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'content-length',
  'upgrade',
  'host',
]);

/** Options of {@link createPlainServiceClient}. */
export interface PlainServiceClientOptions {
  /** Base address such as `http://10.0.0.9:8080`. */
  readonly address: string;
  readonly connectTimeoutMs?: number;
  readonly maxConnections?: number;
  readonly maxAnswerBytes?: number;
}

/** The plain service port with a method that closes its connections. */
export interface PlainServiceClient extends PlainServicePort {
  readonly close: () => Promise<void>;
}

/** Creates a client for one plain service. */
export function createPlainServiceClient(options: PlainServiceClientOptions): PlainServiceClient {
  const transport = createHttpTransport({
    connectTimeoutMs: options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS,
    maxConnections: options.maxConnections ?? DEFAULT_MAX_CONNECTIONS,
  });
  const maxAnswerBytes = options.maxAnswerBytes ?? DEFAULT_MAX_ANSWER_BYTES;
  return {
    call: (request) =>
      new ResultAsync(callOnce(transport, options.address, maxAnswerBytes, request)),
    close: () => transport.close(),
  };
}

async function callOnce(
  transport: HttpTransport,
  address: string,
  maxAnswerBytes: number,
  request: PlainRequest,
): Promise<Result<PlainResponse, Failure>> {
  const outcome = await transport.exchange(toHttpRequest(address, request), {
    timeoutMs: request.timeoutMs,
    maxAnswerBytes,
  });
  if (isExchangeFailure(outcome)) {
    const { mayHaveRun, detail } = outcome;
    const failureKind = mayHaveRun ? PLAIN_SERVICE_ANSWER_LOST : PLAIN_SERVICE_UNREACHABLE;
    return err(failureKind.of({ requestId: request.requestId, address, mayHaveRun, detail }));
  }
  return ok({
    status: outcome.status,
    headers: withoutHopByHopHeaders(outcome.headers),
    bodyBase64: outcome.body.toString('base64'),
  });
}

function toHttpRequest(address: string, request: PlainRequest): HttpRequest {
  const body = Buffer.from(request.bodyBase64, 'base64');
  return {
    origin: address,
    method: request.method as HttpRequest['method'],
    path: request.path,
    headers: { ...withoutHopByHopHeaders(request.headers), [REQUEST_ID_HEADER]: request.requestId },
    body: body.length === 0 ? null : body,
  };
}

function withoutHopByHopHeaders(headers: Readonly<Record<string, string>>): Record<string, string> {
  const forwardedHeaders = Object.entries(headers).filter(
    ([name]) => !HOP_BY_HOP_HEADERS.has(name.toLowerCase()),
  );
  return Object.fromEntries(forwardedHeaders);
}
