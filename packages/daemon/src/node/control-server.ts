/**
 * The control port of a member. Serves JSON-RPC calls, streams and Prometheus metrics to other
 * members and to the command line only. The port is also the lock of the member's slot: the
 * operating system lets only one process bind the address, a paused process keeps it and a dead one
 * loses it.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { type Address, FailureError } from '@cassiamast/coordination';
import {
  JSONRPCErrorException,
  JSONRPCServer,
  type JSONRPCRequest,
  isJSONRPCRequest,
} from 'json-rpc-2.0';
import type { Child } from '../supervisor/supervisor.js';
import { METRICS_PATH, RPC_PATH, STREAM_PATH } from '../protocol/methods.js';
import { formatAddress } from './address.js';
import { type GracefulServer, type CloseOptions, createGracefulServer } from './graceful-server.js';
import { ADDRESS_TAKEN, MALFORMED_CALL, MEMBER_OVERLOADED, NOT_A_MEMBER } from './failures.js';
import type { ClientGuard, RequestHold } from './client-guard.js';
import { BodyFault, readBody } from './http-body.js';
import type { AllowsAddress } from './networks.js';
import type { MemberProof } from './secret.js';
import { HYBRID_TIME_HEADER, type MessageClock } from './timeline.js';

/** Fits a configuration document of 1 MB that is escaped as JSON within JSON. */
export const MAX_CALL_BYTES = 8 * 1024 * 1024;
const REQUEST_TIMEOUT_MS = 10_000;
/** Calls are answered within these times. A stream still open after them has no producer left. */
const CLOSE: CloseOptions = { idleMs: 50, timeoutMs: 1_000 };
/** JSON-RPC reserves the range from -32000 to -32099 for errors that the server defines. */
export const RPC_FAILURE_CODE = -32_000;

/** Handles one call. Throws a FailureError to answer with a typed failure. */
export type RpcHandler = (params: unknown) => unknown;

/** Handles one call by writing a stream to the response. */
export type StreamHandler = (request: JSONRPCRequest, response: ServerResponse) => void;

/** Options of the control port. */
export interface ControlServerOptions {
  readonly address: Address;
  readonly allows: AllowsAddress;
  readonly proof: MemberProof;
  readonly guard: ClientGuard;
  /** Orders events of different processes so that a cause precedes its effects on the time line. */
  readonly clock: MessageClock;
  /** By method name. */
  readonly handlers: Readonly<Record<string, RpcHandler>>;
  readonly streams: Readonly<Record<string, StreamHandler>>;
  readonly metricsText: () => Promise<string>;
}

/** Converts a FailureError to a JSON-RPC error with the whole failure; rethrows other errors. */
export function toRpcError(error: unknown): JSONRPCErrorException {
  if (!(error instanceof FailureError)) throw error;
  return new JSONRPCErrorException(error.failure.message, RPC_FAILURE_CODE, error.failure);
}

/** Creates the control port as a child of the supervisor tree. */
export function createControlServer(options: ControlServerOptions): Child {
  const rpc = new JSONRPCServer({ errorListener: () => undefined });
  for (const [method, handler] of Object.entries(options.handlers)) {
    rpc.addMethod(method, async (params: unknown) => {
      try {
        return await handler(params);
      } catch (error) {
        throw toRpcError(error);
      }
    });
  }
  let port: GracefulServer | null = null;
  return {
    name: 'control-server',
    start: async () => {
      port = createGracefulServer(
        { requestTimeout: REQUEST_TIMEOUT_MS },
        options.guard,
        (request, response, hold) => {
          serve(options, rpc, request, response, hold).catch((error: unknown) => {
            refuse(response, error);
          });
        },
      );
      const { server } = port;
      server.on('connection', (socket) => {
        if (!options.allows(socket.remoteAddress)) socket.destroy();
      });
      await listenExclusively(server, options.address);
    },
    stop: async () => {
      const closing = port;
      port = null;
      await closing?.close(CLOSE);
    },
  };
}

/** Binds an address exclusively; rejects with ADDRESS_TAKEN if it can't be bound. */
export function listenExclusively(server: Server, address: Address): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', (error) => {
      reject(
        new FailureError(
          ADDRESS_TAKEN.of({ address: formatAddress(address), cause: error.message }),
        ),
      );
    });
    server.listen({ host: address.host, port: address.port, exclusive: true }, resolve);
  });
}

async function serve(
  options: ControlServerOptions,
  rpc: JSONRPCServer,
  request: IncomingMessage,
  response: ServerResponse,
  hold: RequestHold,
): Promise<void> {
  if (!options.proof.isMember(request.headers.authorization)) {
    answerJson(response, 401, NOT_A_MEMBER.of(undefined));
    return;
  }
  options.clock.receiveTimestamp(request.headers[HYBRID_TIME_HEADER]);
  response.setHeader(HYBRID_TIME_HEADER, options.clock.now());
  if (request.method === 'GET' && request.url === METRICS_PATH) {
    if (!(await hold.turn())) return;
    response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' });
    response.end(await options.metricsText());
    return;
  }
  const body = await readBody(request, MAX_CALL_BYTES, hold);
  if (body.isErr() && body.error === BodyFault.Refused) {
    answerJson(response, 503, MEMBER_OVERLOADED.of(undefined));
    return;
  }
  const call = body.isErr() ? null : parseCall(body.value);
  if (call === null) {
    answerJson(response, 400, MALFORMED_CALL.of({ fault: 'no JSON-RPC request' }));
    return;
  }
  if (!(await hold.turn())) return;
  if (request.url === STREAM_PATH) openStream(options, call, response);
  else if (request.url === RPC_PATH) await answerCall(rpc, call, response);
  else answerJson(response, 404, MALFORMED_CALL.of({ fault: 'unknown path' }));
}

/** Answers a failed call with an error, or closes the connection if headers have been sent. */
function refuse(response: ServerResponse, error: unknown): void {
  if (response.headersSent) response.destroy();
  else answerJson(response, 500, MALFORMED_CALL.of({ fault: String(error) }));
}

function parseCall(body: Buffer): JSONRPCRequest | null {
  try {
    const call: unknown = JSON.parse(body.toString('utf8'));
    return isJSONRPCRequest(call) ? call : null;
  } catch {
    return null;
  }
}

function openStream(
  options: ControlServerOptions,
  call: JSONRPCRequest,
  response: ServerResponse,
): void {
  const handler = options.streams[call.method];
  if (handler === undefined) {
    answerJson(response, 404, MALFORMED_CALL.of({ fault: `no stream ${call.method}` }));
    return;
  }
  handler(call, response);
}

async function answerCall(
  rpc: JSONRPCServer,
  call: JSONRPCRequest,
  response: ServerResponse,
): Promise<void> {
  const answer = await rpc.receive(call);
  if (answer === null) {
    response.writeHead(204);
    response.end();
    return;
  }
  answerJson(response, 200, answer);
}

function answerJson(response: ServerResponse, status: number, body: unknown): void {
  if (response.destroyed) return;
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}
