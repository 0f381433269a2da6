/**
 * An HTTP server with a graceful shutdown that answers every request it has read. Node's `close` is
 * not enough: it destroys connections whose response is ended but not yet sent, keeps accepting
 * requests on keep-alive connections that were busy at the time, and never finishes while a
 * connected peer sends nothing.
 */
import {
  type IncomingMessage,
  type Server,
  type ServerOptions,
  type ServerResponse,
  createServer,
} from 'node:http';
import { type Socket, Server as NetServer } from 'node:net';
import type { ClientGuard, RequestHold } from './client-guard.js';

/** Time limits of a shutdown. */
export interface CloseOptions {
  /** How long idle connections stay open, since a request may be in transit on them. */
  readonly idleMs: number;
  /** How long the shutdown may take; connections that are still open then are destroyed. */
  readonly timeoutMs: number;
}

/** A server that can be closed without losing requests. */
export interface GracefulServer {
  readonly server: Server;
  /** Number of requests whose response has not been handed to the operating system completely. */
  readonly open: () => number;
  /** Makes every response from now on ask its caller to open a new connection. */
  readonly disableKeepAlive: () => void;
  /**
   * Stops listening, answers the requests on open connections and closes each connection once it is
   * idle. Resolves when no connection is left, with the number of requests that were cut off.
   */
  readonly close: (options: CloseOptions) => Promise<number>;
}

/** Serves one request, whose body is not read yet. */
export type ServeRequest = (
  request: IncomingMessage,
  response: ServerResponse,
  hold: RequestHold,
) => void;

/** State of one connection. */
interface Connection {
  /** Open responses in the order of their requests, which a caller may pipeline. */
  readonly open: Set<ServerResponse>;
  /** The response that ends the connection. */
  last: ServerResponse | null;
  /** Bytes read from the connection when its latest response was complete. */
  readBytes: number;
}

/** Returns whether nothing was read from a connection since its latest response was complete. */
function isIdle(socket: Socket, { open, readBytes }: Connection): boolean {
  return open.size === 0 && socket.bytesRead === readBytes;
}

/** Ends the connection with this response, instead of an earlier one that has not been sent yet. */
function endWith(connection: Connection, response: ServerResponse): void {
  if (connection.last !== null) connection.last.shouldKeepAlive = true;
  connection.last = response;
  response.shouldKeepAlive = false;
}

/** Creates a server that does not listen yet, whose clients are held to the limits of the guard. */
export function createGracefulServer(
  options: ServerOptions,
  guard: ClientGuard,
  serve: ServeRequest,
): GracefulServer {
  const connections = new Map<Socket, Connection>();
  let endsKeepAlive = false;
  let idleMs: number | null = null;

  const server = createServer({ ...options, ...guard.messageClasses }, (request, response) => {
    const { socket } = request;
    const connection = connections.get(socket);
    if (connection === undefined) return;
    // An earlier response ends the connection, so this request could not be answered.
    if (connection.last?.headersSent === true) return;
    const hold = guard.begin(request, response);
    if (hold === null) return;
    connection.open.add(response);
    if (endsKeepAlive) endWith(connection, response);
    response.once('close', () => {
      connection.open.delete(response);
      connection.readBytes = socket.bytesRead;
      closeWhenIdle(socket, connection);
    });
    serve(request, response, hold);
  });
  guard.watch(server);
  server.on('timeout', (socket: Socket) => {
    // After an event loop stall, timers run before the requests that have arrived meanwhile are read.
    setImmediate(() => {
      const connection = connections.get(socket);
      if (connection === undefined || isIdle(socket, connection)) socket.destroy();
    });
  });
  server.on('connection', (socket: Socket) => {
    const connection: Connection = { open: new Set(), last: null, readBytes: 0 };
    connections.set(socket, connection);
    socket.once('close', () => connections.delete(socket));
    // The system may have accepted the connection before the server stopped listening.
    closeWhenIdle(socket, connection);
  });

  function openAnswers(): readonly ServerResponse[] {
    return [...connections.values()].flatMap(({ open }) => [...open]);
  }

  /** During a shutdown, closes the connection unless a request arrives on it within `idleMs`. */
  function closeWhenIdle(socket: Socket, connection: Connection): void {
    if (idleMs === null) return;
    setTimeout(() => {
      // Data that has already arrived is read first.
      setImmediate(() => {
        if (isIdle(socket, connection)) socket.destroy();
      });
    }, idleMs).unref();
  }

  function disableKeepAlive(): void {
    endsKeepAlive = true;
    for (const connection of connections.values()) {
      const newest = [...connection.open].at(-1);
      if (newest !== undefined && !newest.headersSent) endWith(connection, newest);
    }
  }

  async function close(limits: CloseOptions): Promise<number> {
    disableKeepAlive();
    idleMs = limits.idleMs;
    let cutRequests = 0;
    await new Promise<void>((resolve) => {
      const timer = setTimeout(() => {
        cutRequests = openAnswers().length;
        for (const socket of connections.keys()) socket.destroy();
      }, limits.timeoutMs);
      // The HTTP server's own `close` would destroy connections that look idle.
      NetServer.prototype.close.call(server, () => {
        clearTimeout(timer);
        resolve();
      });
      for (const [socket, connection] of connections) closeWhenIdle(socket, connection);
    });
    // Stops the HTTP server's periodic check for slow requests.
    server.close();
    return cutRequests;
  }

  return { server, open: () => openAnswers().length, disableKeepAlive, close };
}
