/**
 * HTTP server shared by all stand-ins: routes by method and path, JSON bodies, and a stop that closes
 * all open connections at once, like a process crash.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

/** Leaves room for prompts of tens of thousands of words and for values of up to a megabyte. */
const MAX_BODY_BYTES = 8 * 1024 * 1024;

/** A JSON object with unknown fields. */
export type JsonBody = Record<string, unknown>;

/** A request and its response, as passed to a route. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly url: URL;
  /** The parsed body; empty when there is none. */
  readonly body: JsonBody;
  readonly rawBody: Buffer;
}

/** Answers one request, possibly after it returns. */
export type Route = (exchange: Exchange) => void | Promise<void>;

/** Options of {@link startHttpServer}. */
export interface HttpServerOptions {
  readonly host: string;
  /** 0 selects any free port. */
  readonly port: number;
  /** Finds the route of a request, or null for 404. */
  readonly route: (method: string, path: string) => Route | null;
  /** Called with each new connection. */
  readonly onConnection?: (socket: Socket) => void;
}

/** A listening server. */
export interface HttpServer {
  readonly host: string;
  readonly port: number;
  /** Base address such as `http://127.0.0.1:21000`. */
  readonly address: string;
  /** Closes every open connection and keeps listening. */
  readonly breakConnections: () => void;
  /** Closes every connection and stops listening. */
  readonly stop: () => Promise<void>;
}

/** Starts a server. Rejects with Node's error if the port is in use. */
export async function startHttpServer(options: HttpServerOptions): Promise<HttpServer> {
  const server = createServer((request, response) => {
    void serve(options, request, response);
  });
  server.keepAliveTimeout = 0;
  if (options.onConnection !== undefined) server.on('connection', options.onConnection);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.port, options.host, resolve);
  });
  const { port } = server.address() as AddressInfo;
  return {
    host: options.host,
    port,
    address: `http://${options.host}:${String(port)}`,
    breakConnections: () => {
      server.closeAllConnections();
    },
    stop: () =>
      new Promise((resolve) => {
        server.close(() => {
          resolve();
        });
        server.closeAllConnections();
      }),
  };
}

async function serve(
  options: HttpServerOptions,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const url = new URL(request.url ?? '/', 'http://stand-in');
  const route = options.route(request.method ?? 'GET', url.pathname);
  const rawBody = await readBody(request);
  if (rawBody === null) return;
  if (route === null) {
    sendJson(response, 404, { error: { code: 'no_such_path', message: url.pathname } });
    return;
  }
  await route({ request, response, url, body: parseBody(rawBody), rawBody });
}

/** Reads the whole body. Returns null if the connection closes first or the body is too large. */
function readBody(request: IncomingMessage): Promise<Buffer | null> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > MAX_BODY_BYTES) request.destroy();
      else chunks.push(chunk);
    });
    request.on('end', () => {
      resolve(Buffer.concat(chunks));
    });
    request.on('close', () => {
      resolve(null);
    });
  });
}

function parseBody(raw: Buffer): JsonBody {
  try {
    const value: unknown = JSON.parse(raw.toString('utf8'));
    if (typeof value === 'object' && value !== null) return value as JsonBody;
  } catch {
    // Not JSON. Routes that need JSON answer 400 for the missing fields.
  }
  return {};
}

/** Sends a JSON response. Does nothing if a response has started or the connection is closed. */
export function sendJson(response: ServerResponse, status: number, body: unknown): void {
  if (response.headersSent || response.destroyed) return;
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': String(Buffer.byteLength(text)),
  });
  response.end(text);
}
