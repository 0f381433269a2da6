/**
 * HTTP exchanges as the adapters need them: one buffered exchange, or one streamed answer with
 * back-pressure. Both say whether the request may have reached the other side, because a caller
 * that believes "it did not run" of a request that did would run it twice.
 */
import type { Socket } from 'node:net';
import type { Dispatcher } from 'undici';
import { Agent, buildConnector } from 'undici';

/** Connections to one origin that are kept open but idle, in milliseconds. */
const KEEP_ALIVE_MS = 30_000;
/** An idle connection is given up this long before the other side would close it. */
const KEEP_ALIVE_MARGIN_MS = 500;

/** How an exchange failed. */
export enum TroubleKind {
  /** No connection could be made. */
  Unreachable = 'unreachable',
  /** The connection broke before the answer was whole. */
  Broken = 'broken',
  /** No whole answer within the time allowed. */
  TimedOut = 'timed-out',
  /** The answer was larger than allowed. */
  TooLarge = 'too-large',
}

/** A failed exchange. `mayHaveRun` is false only when no byte of the request was sent. */
export interface Trouble {
  readonly kind: TroubleKind;
  readonly mayHaveRun: boolean;
  readonly detail: string;
}

/** One request. */
export interface HttpRequest {
  readonly origin: string;
  readonly method: Dispatcher.HttpMethod;
  readonly path: string;
  /** By name, or names and values in turn where their order and repeats matter. */
  readonly headers: Readonly<Record<string, string>> | readonly string[];
  readonly body: string | Buffer | null;
}

/** One whole answer. Header names are lower case. */
export interface HttpAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

/** What a streamed answer brings; exactly one of `onEnd` and `onTrouble` is called, once, last. */
export interface HttpStreamHandlers {
  /** The first byte is about to leave; before that nothing can have reached the other side. */
  readonly onSent?: () => void;
  /** Header names of `headers` are lower case; `rawHeaders` has names and values in turn, as sent. */
  readonly onStart: (
    status: number,
    headers: Readonly<Record<string, string>>,
    rawHeaders: readonly string[],
  ) => void;
  readonly onData: (chunk: Buffer) => void;
  readonly onEnd: () => void;
  readonly onTrouble: (trouble: Trouble) => void;
}

/** A running streamed answer. After `stop` no handler is called. */
export interface HttpStream {
  readonly stop: () => void;
  readonly pause: () => void;
  readonly resume: () => void;
}

/** Connections shared by the calls of one adapter. */
export interface HttpTransport {
  readonly exchange: (
    request: HttpRequest,
    limits: { readonly timeoutMs: number; readonly maxAnswerBytes: number },
  ) => Promise<HttpAnswer | Trouble>;
  readonly stream: (request: HttpRequest, handlers: HttpStreamHandlers) => HttpStream;
  /** Closes idle connections and fails running exchanges. */
  readonly close: () => Promise<void>;
}

/** Tells a failed exchange from an answer. */
export function isTrouble(outcome: HttpAnswer | Trouble): outcome is Trouble {
  return 'kind' in outcome;
}

/** Options of {@link createHttpTransport}. */
export interface HttpTransportOptions {
  /** How long to wait for a connection, in milliseconds. */
  readonly connectTimeoutMs: number;
  /** Most connections to one origin at once; more requests wait in line. */
  readonly maxConnections: number;
  /** How long an idle connection is kept where the other side does not say; 30 s if left out. */
  readonly keepAliveMs?: number;
  /** What is waited for before a new connection is used; null where nothing is. */
  readonly beforeUse?: () => Promise<void> | null;
}

/** Makes a transport with its own connections. */
export function createHttpTransport(options: HttpTransportOptions): HttpTransport {
  const resets = createResetWatch(options.beforeUse ?? (() => null));
  const agent = new Agent({
    connections: options.maxConnections,
    connect: resets.watched(buildConnector({ timeout: options.connectTimeoutMs })),
    keepAliveTimeout: options.keepAliveMs ?? KEEP_ALIVE_MS,
    keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
    // Streams may be silent for long; each call bounds its own time instead.
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  return {
    exchange: (request, limits) => exchange(agent, resets, request, limits),
    stream: (request, handlers) =>
      dispatch(agent, resets, request, { onSent: () => undefined, ...handlers }),
    close: () => agent.destroy(),
  };
}

/** Tells whether the end of an answer that is being handed over is a connection's reset. */
interface ResetWatch {
  readonly watched: (connect: buildConnector.connector) => buildConnector.connector;
  readonly isResetting: () => boolean;
}

/**
 * Guards against an answer without a length that was cut: the library takes a reset for the end of
 * such an answer, and it shows as a caller who gets a part of a body as the whole. The socket's
 * error is heard here before the library hears it, and the library ends the answer while it does.
 * A reset that arrives together with the last bytes is reported as an ordinary end; only the
 * address of the other side, which a reset connection no longer has, tells it then.
 */
function createResetWatch(beforeUse: () => Promise<void> | null): ResetWatch {
  let resetting = false;
  const noteReset = (): void => {
    resetting = true;
    queueMicrotask(() => {
      resetting = false;
    });
  };
  const watch = (socket: Socket): void => {
    socket.once('error', noteReset);
    socket.once('end', () => {
      if (socket.remoteAddress === undefined) noteReset();
    });
  };
  return {
    watched: (connect) => (options, callback) => {
      connect(options, (...result) => {
        const [, socket] = result;
        // Left out, against its type, where the connection failed.
        if (socket) watch(socket);
        const waiting = socket ? beforeUse() : null;
        if (waiting === null) callback(...result);
        else
          void waiting.then(() => {
            callback(...result);
          });
      });
    },
    isResetting: () => resetting,
  };
}

function exchange(
  agent: Agent,
  resets: ResetWatch,
  request: HttpRequest,
  limits: { readonly timeoutMs: number; readonly maxAnswerBytes: number },
): Promise<HttpAnswer | Trouble> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    let status = 0;
    let headers: Readonly<Record<string, string>> = {};
    let sent = false;
    const finish = (outcome: HttpAnswer | Trouble): void => {
      isOver = true;
      clearTimeout(timer);
      resolve(outcome);
    };
    const giveUp = (kind: TroubleKind, detail: string): void => {
      finish({ kind, mayHaveRun: sent, detail });
      running.stop();
    };
    let isOver = false;
    // Guards against taking an own standstill for the other side's: a process that had no processor
    // runs its late timers before it reads what has come in. It shows as calls that time out by the
    // dozen at the height of a burst, though their answers lie there.
    const timer = setTimeout(() => {
      setImmediate(() => {
        if (isOver) return;
        giveUp(TroubleKind.TimedOut, `no whole answer within ${String(limits.timeoutMs)} ms`);
      });
    }, limits.timeoutMs);
    const running = dispatch(agent, resets, request, {
      onSent: () => {
        sent = true;
      },
      onStart: (code, received) => {
        status = code;
        headers = received;
      },
      onData: (chunk) => {
        bytes += chunk.length;
        if (bytes > limits.maxAnswerBytes) giveUp(TroubleKind.TooLarge, `over ${String(bytes)} B`);
        else chunks.push(chunk);
      },
      onEnd: () => {
        finish({ status, headers, body: Buffer.concat(chunks) });
      },
      onTrouble: finish,
    });
  });
}

interface DispatchHandlers {
  readonly onSent: () => void;
  readonly onStart: HttpStreamHandlers['onStart'];
  readonly onData: (chunk: Buffer) => void;
  readonly onEnd: () => void;
  readonly onTrouble: (trouble: Trouble) => void;
}

function dispatch(
  agent: Agent,
  resets: ResetWatch,
  request: HttpRequest,
  handlers: DispatchHandlers,
): HttpStream {
  let controller: Dispatcher.DispatchController | null = null;
  let stopped = false;
  let paused = false;
  const fail = (error: Error): void => {
    if (stopped) return;
    stopped = true;
    // The library calls onRequestStart before it writes; without it no byte has left.
    const mayHaveRun = controller !== null;
    const kind = mayHaveRun ? TroubleKind.Broken : TroubleKind.Unreachable;
    handlers.onTrouble({ kind, mayHaveRun, detail: error.message });
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
        if (stopped) started.abort(new Error('stopped by the caller'));
        else handlers.onSent();
      },
      onResponseStart: (started, status, headers) => {
        if (stopped) return;
        if (paused) started.pause();
        handlers.onStart(status, plainHeaders(headers), rawHeadersOf(started));
      },
      onResponseData: (_started, chunk) => {
        if (!stopped) handlers.onData(chunk);
      },
      onResponseEnd: () => {
        if (resets.isResetting()) {
          fail(new Error('the connection was reset before the answer was whole'));
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
  return Array.isArray(raw) ? raw.map((each) => each.toString('latin1')) : [];
}

function plainHeaders(headers: Record<string, string | string[] | undefined>) {
  const plain: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined) plain[name] = Array.isArray(value) ? value.join(', ') : value;
  }
  return plain;
}
