/**
 * Calling members. One pool of kept-alive connections for all calls; every call has a timeout, and
 * none is retried here: whether that is safe is the caller's decision.
 */
import type { Failure } from '@cassiamast/coordination';
import {
  type HttpRequest,
  type HttpTransport,
  type Trouble,
  createHttpTransport,
  isTrouble,
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
/** Streams between one entry and one sidecar; each stream has its own connection. */
const MAX_CONNECTIONS_PER_MEMBER = 256;
/** A configuration document of 1 MB as JSON in JSON, with room to spare. */
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;
const OK = 200;

/** Options of one call. */
export interface CallOptions {
  readonly timeoutMs: number;
}

/** What a stream of a member brings; `onEnd` or `onFailure` comes once, last. */
export interface MemberStreamHandlers {
  readonly onNotification: (method: string, params: unknown) => void;
  readonly onResult: (result: unknown) => void;
  readonly onFailure: (failure: Failure) => void;
}

/** A stream being read. */
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

/** Makes a client that proves its membership with every call; `clock` orders the time line. */
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
        if (isTrouble(outcome)) return errAsync(unreachable(member, method, outcome));
        clock.hear(outcome.headers[HYBRID_TIME_HEADER]);
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

/** Reads a stream's events until its result or error; an end before either is a broken stream. */
function readStream(
  transport: HttpTransport,
  request: HttpRequest,
  handlers: MemberStreamHandlers,
  clock: MessageClock,
  failureOf: (trouble: Pick<Trouble, 'mayHaveRun' | 'detail'>) => Failure,
): MemberStream {
  const refusal: Buffer[] = [];
  const decoder = new TextDecoder();
  let isRefused = false;
  let ended = false;
  const fail = (detail: string): void => {
    if (ended) return;
    ended = true;
    handlers.onFailure(failureOf({ mayHaveRun: true, detail }));
  };
  const parser = createParser({
    onEvent: (event: EventSourceMessage) => {
      if (!ended) ended = deliver(JSON.parse(event.data) as unknown, handlers);
    },
  });
  const running = transport.stream(request, {
    onStart: (status, headers) => {
      isRefused = status !== OK;
      clock.hear(headers[HYBRID_TIME_HEADER]);
    },
    onData: (chunk) => {
      if (isRefused) {
        refusal.push(chunk);
        return;
      }
      try {
        parser.feed(decoder.decode(chunk, { stream: true }));
      } catch (error) {
        running.stop();
        fail(String(error));
      }
    },
    onEnd: () => {
      if (!isRefused) {
        fail('the stream ended before its result');
        return;
      }
      ended = true;
      const failure = parseFailure(Buffer.concat(refusal));
      handlers.onFailure(failure ?? failureOf({ mayHaveRun: false, detail: 'refused' }));
    },
    onTrouble: (trouble) => {
      if (ended) return;
      ended = true;
      handlers.onFailure(failureOf(trouble));
    },
  });
  return {
    close: () => {
      ended = true;
      running.stop();
    },
    pause: running.pause,
    resume: running.resume,
  };
}

/** Hands one message on; says whether it was the last. */
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
  // A call that is turned away is answered by a bare failure.
  const detail = 'no JSON-RPC answer';
  return errAsync(parseFailure(body) ?? unreachable(member, method, { mayHaveRun: true, detail }));
}

function parseFailure(body: Buffer): Failure | null {
  return parseJsonObject(body.toString('utf8')) as Failure | null;
}

function unreachable(
  member: string,
  method: string,
  { mayHaveRun, detail }: Pick<Trouble, 'mayHaveRun' | 'detail'>,
): Failure {
  return MEMBER_UNREACHABLE.of({ member, method, cause: detail, mayHaveRun });
}
