/**
 * Bounds what the clients of all servers of a process make it hold: bodies, requests sent ahead,
 * unfinished heads, answers that are not read, and descriptors. When they hold too much, the
 * connection that holds most is refused or closed; a request that runs is answered.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import {
  type BlockPool,
  type ClientLimits,
  ConnectionPhase,
  createBlockPool,
  isMemoryScarce,
  yieldsBytes,
  yieldsDescriptor,
} from '@cassiamast/coordination';
import { type MessageClasses, createMessageClasses, isDropped } from './dropped-messages.js';
import {
  type Connection,
  type GuardedRequest,
  RequestPhase,
  bytesOf,
  countRunning,
  find,
  headBytesOf,
  isReceiving,
  measure,
  newConnection,
  phaseOf,
} from './guarded-connection.js';
import { withResolvers } from './promises.js';

/**
 * Requests of one connection that run at once while few run in all; the client gets their answers one
 * after the other.
 */
const MAX_RUNNING = 8;
/** Requests of one connection without a whole answer; if more are sent ahead, it ends after these. */
const MAX_OPEN = 128;
/** The same while memory is scarce: one that is answered, and the one that follows it. */
const MAX_OPEN_IF_SCARCE = 2;
/** Connections are measured this often while their clients are active, and seldom otherwise. */
const CHECK_INTERVAL_MS = 250;
const IDLE_CHECK_INTERVAL_MS = 1000;
/** Time in which a client reads the last answers of a connection that ends. */
const LINGER_MS = 5000;

/** The limits of a process that its clients have met. */
export enum ClientLimit {
  Memory = 'memory',
  Connections = 'connections',
  RequestsAhead = 'requests-ahead',
  /** Requests of one connection that run at once; further ones wait. */
  Running = 'running',
}

/** What is done about a client over a limit. */
export enum YieldKind {
  /** Requests that were being received are refused. */
  Refused = 'refused',
  /** The connection closes, after the answers to what runs if any can be read. */
  Closed = 'closed',
  /** A request waits for others of its connection. */
  Waits = 'waits',
}

/** A client over a limit. */
export interface Yielded {
  readonly limit: ClientLimit;
  readonly kind: YieldKind;
  /** IP address of the client. */
  readonly client: string;
  /** Bytes that its connection held. */
  readonly bytes: number;
}

/** What the clients hold. */
export interface ClientUse {
  readonly heldBytes: number;
  readonly connections: number;
}

/** Options of {@link createClientGuard}. */
export interface ClientGuardOptions {
  readonly limits: () => ClientLimits;
  /** Monotonic clock. */
  readonly nowMs: () => number;
  readonly onYielded: (yielded: Yielded, use: ClientUse) => void;
}

/** What one request holds. */
export interface RequestHold {
  /** Memory for the body. */
  readonly blocks: BlockPool;
  /** Sets how much memory the body takes. */
  readonly setBodyBytes: (bytes: number) => void;
  /** Calls back if the request must be refused before it is whole, at once if it already must. */
  readonly onRefused: (refuse: () => void) => void;
  /** Tells that the body was read; from then on the request is not refused. */
  readonly noteWhole: () => void;
  /**
   * Waits until the request may run, whose body is read or not needed. Resolves with false if it must not
   * any more, since its connection ends.
   */
  readonly turn: () => Promise<boolean>;
  /** Accepts no further request of the connection, which closes after the open answers. */
  readonly endConnection: () => void;
}

/** Guards the servers of a process. */
export interface ClientGuard {
  /** Watches the connections of a server that does not listen yet. */
  readonly watch: (server: Server) => void;
  /** The classes of the messages of its servers. */
  readonly messageClasses: MessageClasses;
  /** Registers a request whose head was read; null if it must not be served. */
  readonly begin: (request: IncomingMessage, response: ServerResponse) => RequestHold | null;
  readonly use: () => ClientUse;
}

/** Creates a guard without connections. */
export function createClientGuard(options: ClientGuardOptions): ClientGuard {
  const { limits, nowMs, onYielded } = options;
  const connections = new Map<Socket, Connection>();
  const blocks = createBlockPool();
  let heldBytes = 0;
  /** Memory of connections that are being closed. */
  let closingBytes = 0;
  let runningRequests = 0;
  let checkedAtMs = -Infinity;
  let timer: NodeJS.Timeout | null = null;

  /** Brings the totals up to date after a change of a connection. */
  function update(connection: Connection): void {
    if (!connections.has(connection.socket)) return;
    const bytes = bytesOf(connection);
    heldBytes += bytes - connection.bytes;
    connection.bytes = bytes;
    connection.phase = phaseOf(connection);
    const running = countRunning(connection);
    runningRequests += running - connection.running;
    connection.running = running;
    connection.isRunning = running > 0;
  }

  function enforce(): void {
    for (;;) {
      const largest = yieldsBytes(connections.values(), heldBytes, limits());
      if (largest === null) return;
      yieldMemory(largest);
    }
  }

  function report(connection: Connection, limit: ClientLimit, kind: YieldKind): void {
    const { socket, bytes } = connection;
    const use = { heldBytes, connections: connections.size };
    onYielded({ limit, kind, client: socket.remoteAddress ?? '', bytes }, use);
  }

  function yieldMemory(connection: Connection): void {
    const receiving = [...connection.requests].filter(isReceiving);
    const kind = receiving.length > 0 ? YieldKind.Refused : YieldKind.Closed;
    report(connection, ClientLimit.Memory, kind);
    if (connection.phase === ConnectionPhase.Unread) {
      close(connection);
      return;
    }
    if (receiving.length === 0) {
      stopReading(connection);
      dropWaiting(connection);
    }
    end(connection);
    for (const request of receiving) refuse(connection, request);
  }

  function refuse(connection: Connection, request: GuardedRequest): void {
    request.isRefused = true;
    request.bodyBytes = 0;
    request.phase = RequestPhase.Running;
    update(connection);
    request.refuse?.();
  }

  /**
   * Drops the first request that waits and all after it, which are answered in their order. They have
   * not run, and the end of the connection tells so.
   */
  function dropWaiting(connection: Connection): void {
    let isDropping = false;
    for (const request of [...connection.requests]) {
      isDropping ||= request.phase === RequestPhase.Waiting;
      if (!isDropping) continue;
      connection.requests.delete(request);
      request.start?.(false);
      emitClose(request.response);
    }
    update(connection);
  }

  /** Accepts no further request. */
  function end(connection: Connection): void {
    if (connection.endsSinceMs !== null) return;
    connection.endsSinceMs = nowMs();
    const last = [...connection.requests].at(-1);
    if (last?.response.headersSent === false) last.response.shouldKeepAlive = false;
    update(connection);
    closeIfDone(connection);
  }

  function closeIfDone(connection: Connection): void {
    if (connection.endsSinceMs === null || connection.requests.size > 0) return;
    connection.socket.destroySoon();
    if (connection.socket.writableLength === 0) close(connection);
  }

  function close({ socket, bytes }: Connection): void {
    if (!connections.has(socket)) return;
    forget(socket);
    // The runtime keeps what it has for a connection until it tells of its end.
    closingBytes += bytes;
    socket.once('close', () => {
      closingBytes -= bytes;
    });
    socket.destroy();
  }

  function forget(socket: Socket): void {
    const connection = connections.get(socket);
    if (connection === undefined) return;
    connections.delete(socket);
    heldBytes -= connection.bytes;
    runningRequests -= connection.running;
    for (const request of connection.requests) {
      request.start?.(false);
      // Node tells only the response that is being written of the end of its connection.
      if (request.response.socket === null) emitClose(request.response);
    }
    if (connections.size === 0 && timer !== null) {
      clearInterval(timer);
      timer = null;
    }
  }

  function accept(socket: Socket): void {
    const connection = newConnection(socket, nowMs());
    connections.set(socket, connection);
    timer ??= setInterval(check, IDLE_CHECK_INTERVAL_MS).unref();
    socket.once('close', () => {
      forget(socket);
    });
    update(connection);
    const yielding = yieldsDescriptor(connections.values(), connections.size, limits());
    if (yielding !== null) {
      report(yielding, ClientLimit.Connections, YieldKind.Closed);
      close(yielding);
    }
    checkIfDue();
  }

  /** Measures what can't be counted as it comes, and closes connections that have ended. */
  function check(): void {
    checkedAtMs = nowMs();
    for (const connection of connections.values()) {
      measure(connection);
      update(connection);
    }
    for (const connection of [...connections.values()]) {
      const { endsSinceMs, requests, isUnread } = connection;
      if (endsSinceMs === null || checkedAtMs - endsSinceMs < LINGER_MS) continue;
      if (isUnread || requests.size === 0) close(connection);
    }
    enforce();
    blocks.trim();
  }

  function checkIfDue(): void {
    // A busy process runs its timers late.
    if (nowMs() - checkedAtMs >= CHECK_INTERVAL_MS) check();
  }

  /**
   * Returns whether the next request of a connection is kept. From the first one on that is not, none
   * is: the runtime expects answers in the order of the requests.
   */
  function keepsNext(socket: Socket): boolean {
    const connection = connections.get(socket);
    if (connection === undefined) return false;
    if (connection.endsSinceMs === null) {
      const isScarce = isMemoryScarce(heldBytes + closingBytes, limits());
      if (connection.responses < (isScarce ? MAX_OPEN_IF_SCARCE : MAX_OPEN)) return true;
      report(connection, ClientLimit.RequestsAhead, YieldKind.Closed);
      end(connection);
    }
    stopReading(connection);
    return false;
  }

  function begin(request: IncomingMessage, response: ServerResponse): RequestHold | null {
    const { socket } = request;
    const connection = isDropped(request) ? undefined : connections.get(socket);
    if (connection === undefined) return null;
    const guarded: GuardedRequest = {
      response,
      headBytes: headBytesOf(request),
      phase: RequestPhase.Receiving,
      bodyBytes: 0,
      isRefused: false,
      refuse: null,
      start: null,
    };
    connection.requests.add(guarded);
    response.once('close', () => {
      finish(connection, guarded);
    });
    connection.activeAtMs = nowMs();
    update(connection);
    enforce();
    checkIfDue();
    return holdOf(connection, guarded);
  }

  function holdOf(connection: Connection, request: GuardedRequest): RequestHold {
    return {
      blocks,
      setBodyBytes: (bytes) => {
        const hasGrown = bytes > request.bodyBytes;
        request.bodyBytes = request.isRefused ? 0 : bytes;
        update(connection);
        if (!hasGrown) return;
        enforce();
        checkIfDue();
      },
      onRefused: (refuseRequest) => {
        request.refuse = refuseRequest;
        if (request.isRefused) refuseRequest();
      },
      noteWhole: () => {
        wait(connection, request);
      },
      turn: async () => {
        wait(connection, request);
        if (request.phase === RequestPhase.Running) return !request.isRefused;
        if (!connection.requests.has(request)) return false;
        const { promise, resolve } = withResolvers<boolean>();
        request.start = resolve;
        return promise;
      },
      endConnection: () => {
        end(connection);
      },
    };
  }

  function mayRunFurther(connection: Connection): boolean {
    const running = countRunning(connection);
    if (running === 0) return true;
    return running < MAX_RUNNING && runningRequests < limits().maxRunning;
  }

  /** Lets a request that was received run, or wait until fewer of its connection run. */
  function wait(connection: Connection, request: GuardedRequest): void {
    if (request.phase !== RequestPhase.Receiving) return;
    connection.wholeBytes = connection.socket.bytesRead;
    request.refuse = null;
    const mayRun = mayRunFurther(connection);
    request.phase = mayRun ? RequestPhase.Running : RequestPhase.Waiting;
    if (!mayRun) report(connection, ClientLimit.Running, YieldKind.Waits);
    update(connection);
  }

  /** Forgets an answered request and lets the next one run. */
  function finish(connection: Connection, request: GuardedRequest): void {
    if (!connection.requests.delete(request)) return;
    connection.responses -= 1;
    connection.activeAtMs = nowMs();
    connection.hasBeenServed ||= request.response.writableFinished && !request.isRefused;
    const next = find(connection, RequestPhase.Waiting);
    if (next !== null && mayRunFurther(connection)) {
      next.phase = RequestPhase.Running;
      next.start?.(true);
      next.start = null;
    }
    update(connection);
    closeIfDone(connection);
  }

  return {
    watch: (server) => {
      server.on('connection', accept);
    },
    messageClasses: createMessageClasses({
      keepsNext,
      onResponse: (socket) => {
        const connection = connections.get(socket);
        if (connection !== undefined) connection.responses += 1;
      },
    }),
    begin,
    use: () => ({ heldBytes, connections: connections.size }),
  };
}

/** Stops to read from a connection once the bytes that were read are parsed. */
function stopReading(connection: Connection): void {
  if (connection.isStopping) return;
  connection.isStopping = true;
  process.nextTick(() => {
    connection.isStopping = false;
    connection.socket.pause();
  });
}

/** Tells the listeners of a response that was never written to its connection. */
function emitClose(response: ServerResponse): void {
  response.destroy();
  response.emit('close');
}
