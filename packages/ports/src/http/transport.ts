/**
 * HTTP transport for the clients of outside systems: requests with a buffered response, and
 * requests with a streamed response and back-pressure. Every failure states whether the request may
 * have reached the server. A caller retries a request that has not run, so a wrong "has not run"
 * would run the request twice.
 */
import type { Socket } from 'node:net';
import { createByteBuffer } from '@cassiamast/coordination';
import type { Dispatcher } from 'undici';
import { Agent, buildConnector } from 'undici';
import { type ResponseBytes, trackResponseBytes } from './framing-bound.js';

/** How long an idle connection stays open when the server announces no keep-alive timeout. */
const KEEP_ALIVE_MS = 30_000;
/** An idle connection is closed this long before the server would close it. */
const KEEP_ALIVE_MARGIN_MS = 500;

/** The highest status of HTTP. */
const LAST_STATUS = 599;

/** Kinds of failed exchanges. */
export enum ExchangeFailureKind {
  /** No connection could be established. */
  Unreachable = 'unreachable',
  /** The connection failed before the response was complete. */
  Broken = 'broken',
  /** The response was not complete within the timeout. */
  TimedOut = 'timed-out',
  /** The response was larger than allowed. */
  TooLarge = 'too-large',
}

/**
 * A failed exchange. `mayHaveRun` is false only if no byte of the request was sent; otherwise the
 * server may have run the request.
 */
export interface ExchangeFailure {
  readonly kind: ExchangeFailureKind;
  readonly mayHaveRun: boolean;
  readonly detail: string;
}

/** An HTTP request. */
export interface HttpRequest {
  readonly origin: string;
  readonly method: Dispatcher.HttpMethod;
  readonly path: string;
  /** A map by name, or alternating names and values where order and repeated names matter. */
  readonly headers: Readonly<Record<string, string>> | readonly string[];
  readonly body: string | Buffer | null;
}

/** A complete, buffered response. Header names are lower case. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

/** Callbacks for a streamed response. The last call is either `onEnd` or `onFailure`, once. */
export interface HttpStreamHandlers {
  /** The first byte is about to be sent; before this call nothing can have reached the server. */
  readonly onSent?: () => void;
  /** `headers` has lower-case names; `rawHeaders` alternates names and values as received. */
  readonly onStart: (
    status: number,
    headers: Readonly<Record<string, string>>,
    rawHeaders: readonly string[],
  ) => void;
  readonly onData: (chunk: Buffer) => void;
  readonly onEnd: () => void;
  readonly onFailure: (trouble: ExchangeFailure) => void;
}

/** Controls a streamed response. No handler is called after `stop`. */
export interface HttpStream {
  readonly stop: () => void;
  readonly pause: () => void;
  readonly resume: () => void;
}

/** A connection pool that the calls of one client share. */
export interface HttpTransport {
  readonly exchange: (
    request: HttpRequest,
    limits: { readonly timeoutMs: number; readonly maxAnswerBytes: number },
  ) => Promise<HttpResponse | ExchangeFailure>;
  readonly stream: (request: HttpRequest, handlers: HttpStreamHandlers) => HttpStream;
  /**
   * Sends further requests on new connections only. A connection that went silent without a reset
   * looks like an idle one. Exchanges in flight keep their connections until they end.
   */
  readonly renewConnections: () => void;
  /** Closes all connections; exchanges in flight fail. */
  readonly close: () => Promise<void>;
}

/** Returns whether an exchange failed. */
export function isExchangeFailure(
  outcome: HttpResponse | ExchangeFailure,
): outcome is ExchangeFailure {
  return 'kind' in outcome;
}

/** Options of {@link createHttpTransport}. */
export interface HttpTransportOptions {
  /** Maximum time to establish a connection, in milliseconds. */
  readonly connectTimeoutMs: number;
  /** Maximum number of connections to one origin; further requests are queued. */
  readonly maxConnections: number;
  /** Lifetime of an idle connection if the server announces none; 30 s by default. */
  readonly keepAliveMs?: number;
  /** Returns a promise to wait for before a new connection is used, or null for no wait. */
  readonly beforeUse?: () => Promise<void> | null;
}

/** Creates a transport with its own connection pool. */
export function createHttpTransport(options: HttpTransportOptions): HttpTransport {
  const breakWatch = createBreakWatch(options.beforeUse ?? (() => null));
  const createAgent = (): Agent =>
    new Agent({
      connections: options.maxConnections,
      connect: breakWatch.wrapConnector(buildConnector({ timeout: options.connectTimeoutMs })),
      keepAliveTimeout: options.keepAliveMs ?? KEEP_ALIVE_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      // A stream can go without data for a long time, so each exchange sets its own timeout instead.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  let agent = createAgent();
  /** Earlier agents with exchanges in flight. */
  const retired = new Set<Agent>();

  let isClosed = false;

  async function retire(earlier: Agent): Promise<void> {
    retired.add(earlier);
    // Fails if the whole transport is closed meanwhile, which ends its exchanges as well.
    await earlier.close().catch(() => undefined);
    retired.delete(earlier);
  }

  return {
    exchange: (request, limits) => exchange(agent, breakWatch, request, limits),
    stream: (request, handlers) =>
      dispatch(agent, breakWatch, request, { onSent: () => undefined, ...handlers }),
    renewConnections: () => {
      if (isClosed) return;
      void retire(agent);
      agent = createAgent();
    },
    close: async () => {
      isClosed = true;
      await Promise.all([agent, ...retired].map((each) => each.destroy()));
    },
  };
}

/** Why a connection ended that may not have carried the whole of a response. */
enum BreakCause {
  Reset = 'the connection was reset before the answer was whole',
  Unread = 'the connection ended while the request was being written',
}

/** Detects whether the end of a response that is being reported was a break of its connection. */
interface BreakWatch {
  readonly wrapConnector: (connect: buildConnector.connector) => buildConnector.connector;
  /** Returns why the connection is breaking whose end is being reported; null if it ends in order. */
  readonly breaking: () => BreakCause | null;
}

/**
 * Prevents a truncated response without a content length from being reported as complete. undici
 * treats any end of the connection as the end of such a response, so a caller would receive part of a
 * body as the whole. The socket's listeners registered here run before undici's own, which end the
 * response synchronously. A reset that arrives together with the last bytes is reported as a regular
 * `end`; a reset socket no longer has a remote address, which is how it is recognized then. A server
 * that ends its side while it has yet to read the request resets the connection only afterwards.
 */
function createBreakWatch(beforeUse: () => Promise<void> | null): BreakWatch {
  let breaking: BreakCause | null = null;
  const markBreaking = (cause: BreakCause): void => {
    breaking = cause;
    queueMicrotask(() => {
      breaking = null;
    });
  };
  const watch = (socket: Socket): void => {
    socket.once('error', () => {
      markBreaking(BreakCause.Reset);
    });
    socket.once('end', () => {
      if (socket.remoteAddress === undefined) markBreaking(BreakCause.Reset);
      else if (socket.writableLength > 0) markBreaking(BreakCause.Unread);
    });
  };
  return {
    wrapConnector: (connect) => (options, callback) => {
      connect(options, (...result) => {
        const [, socket] = result;
        // Contrary to its type, the socket is missing when the connection attempt failed.
        if (socket) watch(socket);
        const ready = socket ? beforeUse() : null;
        if (ready === null) callback(...result);
        else
          void ready.then(() => {
            callback(...result);
          });
      });
    },
    breaking: () => breaking,
  };
}

function exchange(
  agent: Agent,
  breakWatch: BreakWatch,
  request: HttpRequest,
  limits: { readonly timeoutMs: number; readonly maxAnswerBytes: number },
): Promise<HttpResponse | ExchangeFailure> {
  return new Promise((resolve) => {
    const received = createByteBuffer();
    let status = 0;
    let headers: Readonly<Record<string, string>> = {};
    let sent = false;
    const finish = (outcome: HttpResponse | ExchangeFailure): void => {
      isOver = true;
      clearTimeout(timer);
      resolve(outcome);
    };
    const abort = (kind: ExchangeFailureKind, detail: string): void => {
      finish({ kind, mayHaveRun: sent, detail });
      running.stop();
    };
    let isOver = false;
    // After an event loop stall, late timers run before pending input is read. Failing directly in
    // the timer would time out dozens of calls at the peak of a burst although their responses have
    // already arrived, so the check is deferred until pending input has been read.
    const timer = setTimeout(() => {
      setImmediate(() => {
        if (isOver) return;
        abort(
          ExchangeFailureKind.TimedOut,
          `no whole answer within ${String(limits.timeoutMs)} ms`,
        );
      });
    }, limits.timeoutMs);
    const running = dispatch(agent, breakWatch, request, {
      onSent: () => {
        sent = true;
      },
      onStart: (receivedStatus, receivedHeaders) => {
        status = receivedStatus;
        headers = receivedHeaders;
      },
      onData: (chunk) => {
        const receivedBytes = received.length() + chunk.length;
        if (receivedBytes > limits.maxAnswerBytes)
          abort(ExchangeFailureKind.TooLarge, `over ${String(receivedBytes)} B`);
        else received.append(chunk);
      },
      onEnd: () => {
        finish({ status, headers, body: received.take() });
      },
      onFailure: finish,
    });
  });
}

interface DispatchHandlers {
  readonly onSent: () => void;
  readonly onStart: HttpStreamHandlers['onStart'];
  readonly onData: (chunk: Buffer) => void;
  readonly onEnd: () => void;
  readonly onFailure: (trouble: ExchangeFailure) => void;
}

function dispatch(
  agent: Agent,
  breakWatch: BreakWatch,
  request: HttpRequest,
  handlers: DispatchHandlers,
): HttpStream {
  let controller: Dispatcher.DispatchController | null = null;
  let bytes: ResponseBytes | null = null;
  let stopped = false;
  let paused = false;
  const fail = (error: Error): void => {
    if (stopped) return;
    stopped = true;
    // undici calls onRequestStart before it writes; without that call no byte has been sent.
    const mayHaveRun = controller !== null;
    const kind = mayHaveRun ? ExchangeFailureKind.Broken : ExchangeFailureKind.Unreachable;
    handlers.onFailure({ kind, mayHaveRun, detail: error.message });
  };
  agent.dispatch(
    {
      origin: request.origin,
      method: request.method,
      path: request.path,
      headers: request.headers as Record<string, string> | string[],
      body: request.body,
    },
    {
      onRequestStart: (started) => {
        controller = started;
        if (stopped) {
          started.abort(new Error('stopped by the caller'));
          return;
        }
        handlers.onSent();
        bytes = trackResponseBytes(() => {
          started.abort(new Error('the response has more framing than a sound one'));
        });
      },
      onResponseStart: (started, status, headers) => {
        if (stopped) return;
        if (status > LAST_STATUS) {
          started.abort(new Error(`status ${String(status)} is none of HTTP`));
          return;
        }
        if (paused) started.pause();
        handlers.onStart(status, joinHeaderValues(headers), rawHeadersOf(started));
      },
      onResponseData: (_started, chunk) => {
        bytes?.addBodyBytes(chunk.length);
        if (!stopped) handlers.onData(chunk);
      },
      onResponseEnd: () => {
        const breakCause = breakWatch.breaking();
        if (breakCause !== null) {
          fail(new Error(breakCause));
          return;
        }
        if (stopped) return;
        stopped = true;
        handlers.onEnd();
      },
      onResponseError: (_started, error) => {
        fail(error);
      },
    },
  );
  return {
    stop: () => {
      if (stopped) return;
      stopped = true;
      controller?.abort(new Error('stopped by the caller'));
    },
    pause: () => {
      paused = true;
      controller?.pause();
    },
    resume: () => {
      paused = false;
      controller?.resume();
    },
  };
}

function rawHeadersOf(controller: Dispatcher.DispatchController): readonly string[] {
  const raw = controller.rawHeaders;
  return Array.isArray(raw) ? raw.map((header) => header.toString('latin1')) : [];
}

function joinHeaderValues(headers: Record<string, string | string[] | undefined>) {
  const joined: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined) joined[name] = Array.isArray(value) ? value.join(', ') : value;
  }
  return joined;
}
