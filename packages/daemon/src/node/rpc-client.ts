/**
 * Calls other members over one pool of keep-alive connections. Every call has a timeout. Calls are
 * not retried here, since only the calling code knows whether a retry is safe.
 */
import type { Failure } from '@cassiamast/coordination';
import {
  type HttpRequest,
  type HttpTransport,
  type ExchangeFailure,
  createHttpTransport,
  isExchangeFailure,
  parseJsonObject,
} from '@cassiamast/ports';
import { createParser, type EventSourceMessage } from 'eventsource-parser';
import { createJSONRPCRequest, isJSONRPCResponse } from 'json-rpc-2.0';
import { ResultAsync, errAsync, okAsync } from 'neverthrow';
import { RPC_PATH, STREAM_PATH } from '../protocol/methods.js';
import { MEMBER_UNREACHABLE } from './failures.js';
import type { MemberProof } from './secret.js';
import { HYBRID_TIME_HEADER, type MessageClock } from './timeline.js';

const CONNECT_TIMEOUT_MS = 1_000;
const KEEP_ALIVE_MS = 30_000;
/** Limits the streams between one entry and one sidecar; each stream has its own connection. */
const MAX_CONNECTIONS_PER_MEMBER = 256;
/** Fits a configuration document of 1 MB that is escaped as JSON within JSON. */
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;
const OK = 200;

/** Options of one call. */
export interface CallOptions {
  readonly timeoutMs: number;
}

/** Callbacks for the messages of a stream. The last call is one of `onResult` or `onFailure`. */
export interface MemberStreamHandlers {
  readonly onNotification: (method: string, params: unknown) => void;
  readonly onResult: (result: unknown) => void;
  readonly onFailure: (failure: Failure) => void;
}

/** An open stream. */
export interface MemberStream {
  readonly close: () => void;
  /** Stops reading, so that the peer's socket fills and it stops sending. */
  readonly pause: () => void;
  readonly resume: () => void;
}

/** Calls members. */
export interface RpcClient {
  readonly call: <Answer>(
    member: string,
    method: string,
    params: unknown,
    options: CallOptions,
  ) => ResultAsync<Answer, Failure>;
  readonly stream: (
    member: string,
    method: string,
    params: unknown,
    handlers: MemberStreamHandlers,
  ) => MemberStream;
  readonly close: () => Promise<void>;
}

/** Creates a client that authenticates every call; `clock` orders events on the time line. */
export function createRpcClient(proof: MemberProof, clock: MessageClock): RpcClient {
  const transport = createHttpTransport({
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    maxConnections: MAX_CONNECTIONS_PER_MEMBER,
    keepAliveMs: KEEP_ALIVE_MS,
  });
  let lastId = 0;

  function requestOf(member: string, path: string, method: string, params: unknown): HttpRequest {
    lastId += 1;
    return {
      origin: `http://${member}`,
      method: 'POST',
      path,
      headers: {
        authorization: proof.header,
        'content-type': 'application/json',
        [HYBRID_TIME_HEADER]: clock.now(),
      },
      body: JSON.stringify(createJSONRPCRequest(lastId, method, params)),
    };
  }

  return {
    call: <Answer>(member: string, method: string, params: unknown, options: CallOptions) => {
      const request = requestOf(member, RPC_PATH, method, params);
      const limits = { timeoutMs: options.timeoutMs, maxAnswerBytes: MAX_ANSWER_BYTES };
      return ResultAsync.fromSafePromise(transport.exchange(request, limits)).andThen((outcome) => {
        if (isExchangeFailure(outcome)) return errAsync(unreachable(member, method, outcome));
        clock.receiveTimestamp(outcome.headers[HYBRID_TIME_HEADER]);
        return unwrap<Answer>(outcome.body, member, method);
      });
    },
    stream: (member, method, params, handlers) => {
      const request = requestOf(member, STREAM_PATH, method, params);
      return readStream(transport, request, handlers, clock, (trouble) =>
        unreachable(member, method, trouble),
      );
    },
    close: () => transport.close(),
  };
}

/** Reads the events of a stream until its result or error; an earlier end is a failure. */
function readStream(
  transport: HttpTransport,
  request: HttpRequest,
  handlers: MemberStreamHandlers,
  clock: MessageClock,
  failureOf: (trouble: Pick<ExchangeFailure, 'mayHaveRun' | 'detail'>) => Failure,
): MemberStream {
  const rejectionBody: Buffer[] = [];
  let bytesWithoutMessage = 0;
  const decoder = new TextDecoder();
  let isRejected = false;
  let ended = false;
  const fail = (detail: string): void => {
    if (ended) return;
    ended = true;
    handlers.onFailure(failureOf({ mayHaveRun: true, detail }));
  };
  const parser = createParser({
    onEvent: (event: EventSourceMessage) => {
      bytesWithoutMessage = 0;
      if (!ended) ended = deliver(JSON.parse(event.data) as unknown, handlers);
    },
  });
  const openStream = transport.stream(request, {
    onStart: (status, headers) => {
      isRejected = status !== OK;
      clock.receiveTimestamp(headers[HYBRID_TIME_HEADER]);
    },
    onData: (chunk) => {
      bytesWithoutMessage += chunk.length;
      if (bytesWithoutMessage > MAX_ANSWER_BYTES) {
        openStream.stop();
        fail('the stream brings no message');
        return;
      }
      if (isRejected) {
        rejectionBody.push(chunk);
        return;
      }
      try {
        parser.feed(decoder.decode(chunk, { stream: true }));
      } catch (error) {
        openStream.stop();
        fail(String(error));
      }
    },
    onEnd: () => {
      if (!isRejected) {
        fail('the stream ended before its result');
        return;
      }
      ended = true;
      const failure = parseFailure(Buffer.concat(rejectionBody));
      handlers.onFailure(failure ?? failureOf({ mayHaveRun: false, detail: 'refused' }));
    },
    onFailure: (trouble) => {
      if (ended) return;
      ended = true;
      handlers.onFailure(failureOf(trouble));
    },
  });
  return {
    close: () => {
      ended = true;
      openStream.stop();
    },
    pause: openStream.pause,
    resume: openStream.resume,
  };
}

/** Passes one message to its handler; returns whether it was the last one. */
function deliver(message: unknown, handlers: MemberStreamHandlers): boolean {
  if (!isJSONRPCResponse(message)) {
    const { method, params } = message as { method: string; params: unknown };
    handlers.onNotification(method, params);
    return false;
  }
  if (message.error) handlers.onFailure(message.error.data as Failure);
  else handlers.onResult(message.result);
  return true;
}

function unwrap<Answer>(
  body: Buffer,
  member: string,
  method: string,
): ResultAsync<Answer, Failure> {
  const response = parseJsonObject(body.toString('utf8'));
  if (response !== null && isJSONRPCResponse(response)) {
    if (!response.error) return okAsync(response.result as Answer);
    const { data, message } = response.error;
    const failure = data as Failure | undefined;
    return errAsync(failure ?? unreachable(member, method, { mayHaveRun: true, detail: message }));
  }
  // The server answers a rejected call with a failure instead of a JSON-RPC response.
  const detail = 'no JSON-RPC answer';
  return errAsync(parseFailure(body) ?? unreachable(member, method, { mayHaveRun: true, detail }));
}

function parseFailure(body: Buffer): Failure | null {
  return parseJsonObject(body.toString('utf8')) as Failure | null;
}

function unreachable(
  member: string,
  method: string,
  { mayHaveRun, detail }: Pick<ExchangeFailure, 'mayHaveRun' | 'detail'>,
): Failure {
  return MEMBER_UNREACHABLE.of({ member, method, cause: detail, mayHaveRun });
}
