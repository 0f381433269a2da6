/**
 * An HTTP server that ends without cutting what it has read. Node's own `close` is not enough: it
 * destroys connections whose answer has been ended but not sent, goes on taking requests from kept
 * connections that were busy at the time, and never ends while a connected peer says nothing.
 */
import {
  type RequestListener,
  type Server,
  type ServerOptions,
  type ServerResponse,
  createServer,
} from 'node:http';
import { type Socket, Server as NetServer } from 'node:net';

/** How a server is closed. */
export interface CloseOptions {
  /** Connections that ask nothing stay open for so long: a request may be on its way to them. */
  readonly idleMs: number;
  /** How long all of it may take; what is open then is cut. */
  readonly timeoutMs: number;
}

/** A server that can be closed without a cut. */
export interface GracefulServer {
  readonly server: Server;
  /** Requests whose answer is not yet with the operating system as a whole. */
  readonly open: () => number;
  /** From now on each answer asks its caller to connect anew. */
  readonly disableKeepAlive: () => void;
  /**
   * Stops listening, answers what was sent on open connections and closes each of them once it is
   * idle. Resolves, when no connection is left, with the number of requests that were cut.
   */
  readonly close: (options: CloseOptions) => Promise<number>;
}

/** What is known of one connection. */
interface Connection {
  /** In the order of their requests, which a caller may send without waiting for answers. */
  readonly open: Set<ServerResponse>;
  /** The answer that ends the connection. */
  last: ServerResponse | null;
  /** Bytes read of it when its last answer was whole. */
  readBytes: number;
}

/** Ends a connection with this answer, in place of an earlier one that is not out yet. */
function endWith(connection: Connection, response: ServerResponse): void {
  if (connection.last !== null) connection.last.shouldKeepAlive = true;
  connection.last = response;
  response.shouldKeepAlive = false;
}

/** Makes a server that does not listen yet. */
export function createGracefulServer(
  options: ServerOptions,
  serve: RequestListener,
): GracefulServer {
  const connections = new Map<Socket, Connection>();
  let endsKeepAlive = false;
  let idleMs: number | null = null;

  const server = createServer(options, (request, response) => {
    const { socket } = request;
    const connection = connections.get(socket);
    if (connection === undefined) return;
    // The connection ends with an answer before this one, so nobody would hear of it.
    if (connection.last?.headersSent === true) return;
    connection.open.add(response);
    if (endsKeepAlive) endWith(connection, response);
    response.once('close', () => {
      connection.open.delete(response);
      connection.readBytes = socket.bytesRead;
      closeWhenIdle(socket, connection);
    });
    serve(request, response);
  });
  server.on('connection', (socket: Socket) => {
    const connection: Connection = { open: new Set(), last: null, readBytes: 0 };
    connections.set(socket, connection);
    socket.once('close', () => connections.delete(socket));
    // Accepted by the system before the server stopped to listen.
    closeWhenIdle(socket, connection);
  });

  function openAnswers(): readonly ServerResponse[] {
    return [...connections.values()].flatMap(({ open }) => [...open]);
  }

  /** Closes a connection of a server that closes, unless it asks something in the meantime. */
  function closeWhenIdle(socket: Socket, connection: Connection): void {
    if (idleMs === null) return;
    setTimeout(() => {
      // What has arrived by now is read first.
      setImmediate(() => {
        const isIdle = connection.open.size === 0 && socket.bytesRead === connection.readBytes;
        if (isIdle) socket.destroy();
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

  async function close(how: CloseOptions): Promise<number> {
    disableKeepAlive();
    idleMs = how.idleMs;
    let cut = 0;
    await new Promise<void>((resolve) => {
      const timer = setTimeout(() => {
        cut = openAnswers().length;
        for (const socket of connections.keys()) socket.destroy();
      }, how.timeoutMs);
      // The HTTP server's own method would destroy connections that look idle.
      NetServer.prototype.close.call(server, () => {
        clearTimeout(timer);
        resolve();
      });
      for (const [socket, connection] of connections) closeWhenIdle(socket, connection);
    });
    // Ends the HTTP server's periodic check for slow requests.
    server.close();
    return cut;
  }

  return { server, open: () => openAnswers().length, disableKeepAlive, close };
}
