/**
 * Calling members. One pool of kept-alive connections for all calls; every call has a timeout, and
 * none is retried here: whether that is safe is the caller's decision.
 */
import { type Failure, FailureError } from '@cassiamast/coordination';
import { createParser, type EventSourceMessage } from 'eventsource-parser';
import { createJSONRPCRequest, isJSONRPCResponse, type JSONRPCResponse } from 'json-rpc-2.0';
import { ResultAsync, errAsync, okAsync } from 'neverthrow';
import { Agent, request as httpRequest } from 'undici';
import { RPC_PATH, STREAM_PATH } from '../protocol/methods.js';
import { MEMBER_UNREACHABLE } from './failures.js';
import type { MemberProof } from './secret.js';
import { HYBRID_TIME_HEADER, type MessageClock } from './timeline.js';

const CONNECT_TIMEOUT_MS = 1_000;
const KEEP_ALIVE_MS = 30_000;
/** Streams between one entry and one sidecar; each stream has its own connection. */
const MAX_CONNECTIONS_PER_MEMBER = 256;
/** Errors of undici and the operating system after which no byte can have been sent. */
const NEVER_SENT_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH']);

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
  const agent = new Agent({
    connections: MAX_CONNECTIONS_PER_MEMBER,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    keepAliveTimeout: KEEP_ALIVE_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  const headers = (): Record<string, string> => ({
    authorization: proof.header,
    'content-type': 'application/json',
    [HYBRID_TIME_HEADER]: clock.now(),
  });
  let lastId = 0;

  function encode(method: string, params: unknown): string {
    lastId += 1;
    return JSON.stringify(createJSONRPCRequest(lastId, method, params));
  }

  return {
    call: <Answer>(member: string, method: string, params: unknown, options: CallOptions) => {
      const exchange = async (): Promise<JSONRPCResponse> => {
        const answer = await httpRequest(`http://${member}${RPC_PATH}`, {
          dispatcher: agent,
          method: 'POST',
          headers: headers(),
          body: encode(method, params),
          signal: AbortSignal.timeout(options.timeoutMs),
        });
        clock.hear(answer.headers[HYBRID_TIME_HEADER]);
        const body: unknown = await answer.body.json();
        if (!isJSONRPCResponse(body)) throw new FailureError(body as Failure);
        return body;
      };
      return ResultAsync.fromPromise(exchange(), (error) =>
        toFailure(error, member, method),
      ).andThen((response) => unwrap<Answer>(response));
    },
    stream: (member, method, params, handlers) => {
      const abort = new AbortController();
      let body: { pause: () => unknown; resume: () => unknown } | null = null;
      let paused = false;
      const read = async (): Promise<void> => {
        const answer = await httpRequest(`http://${member}${STREAM_PATH}`, {
          dispatcher: agent,
          method: 'POST',
          headers: headers(),
          body: encode(method, params),
          signal: abort.signal,
        });
        if (answer.statusCode !== 200)
          throw new FailureError((await answer.body.json()) as Failure);
        clock.hear(answer.headers[HYBRID_TIME_HEADER]);
        body = answer.body;
        await readEvents(answer.body, handlers, () => paused);
      };
      read().catch((error: unknown) => {
        if (!abort.signal.aborted) handlers.onFailure(toFailure(error, member, method));
      });
      return {
        close: () => {
          abort.abort();
        },
        pause: () => {
          paused = true;
          body?.pause();
        },
        resume: () => {
          paused = false;
          body?.resume();
        },
      };
    },
    close: () => agent.destroy(),
  };
}

/** Reads events until the result or error; an end before either is a broken stream. */
function readEvents(
  body: NodeJS.ReadableStream,
  handlers: MemberStreamHandlers,
  isPaused: () => boolean,
): Promise<void> {
  return new Promise((resolve, reject) => {
    let ended = false;
    const parser = createParser({
      onEvent: (event: EventSourceMessage) => {
        if (ended) return;
        ended = deliver(JSON.parse(event.data) as unknown, handlers);
      },
    });
    const decoder = new TextDecoder();
    body.on('data', (bytes: Uint8Array) => {
      try {
        parser.feed(decoder.decode(bytes, { stream: true }));
      } catch (error) {
        reject(error as Error);
      }
    });
    body.on('error', reject);
    body.on('end', () => {
      if (ended) resolve();
      else reject(new Error('the stream ended before its result'));
    });
    if (isPaused()) body.pause();
  });
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

function unwrap<Answer>(response: JSONRPCResponse): ResultAsync<Answer, Failure> {
  if (!response.error) return okAsync(response.result as Answer);
  const failure = response.error.data as Failure | undefined;
  return errAsync(failure ?? toFailure(new Error(response.error.message), 'member', 'call'));
}

function toFailure(error: unknown, member: string, method: string): Failure {
  if (error instanceof FailureError) return error.failure;
  const { code, message } = error as NodeJS.ErrnoException;
  const mayHaveRun = !(code !== undefined && NEVER_SENT_CODES.has(code));
  return MEMBER_UNREACHABLE.of({ member, method, cause: message, mayHaveRun });
}
