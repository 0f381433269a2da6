/**
 * The HTTP server for callers: OpenAI-compatible completions and chat completions, plain services
 * by path, the list of models, and the load balancer's health check. Every input is bounded in size
 * and time: slow readers are subject to backpressure, slow senders to the request timeout.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Address, Configuration, WorkspaceSpec } from '@cassiamast/coordination';
import {
  type GracefulServer,
  type CloseOptions,
  createGracefulServer,
} from '../node/graceful-server.js';
import { listenExclusively } from '../node/control-server.js';
import type { ClientGuard, RequestHold } from '../node/client-guard.js';
import { BodyFault, readBody } from '../node/http-body.js';
import type { Child } from '../supervisor/supervisor.js';
import { AnswerFormat, type ModelRequest } from './caller-request.js';
import type { Authenticate } from '../node/authenticate.js';
import {
  ENTRY_NOT_SERVING,
  NOT_SERVED,
  REQUEST_MALFORMED,
  REQUEST_TOO_LARGE,
  UNAUTHENTICATED,
} from './failures.js';
import { readIdempotencyKey } from './headers.js';
import { parseModelRequest } from './model-request.js';
import { parsePlainCall, type PlainCall, PLAIN_PATH_PREFIX } from './plain-call.js';
import { sendProblem } from './problem.js';
import { refuseNotRun, refuseWithoutLookup } from './refusals.js';
import { listModels } from './service-directory.js';

/** Long enough for a phone on a poor network to send a large prompt. */
const REQUEST_TIMEOUT_MS = 60_000;
const HEADERS_TIMEOUT_MS = 15_000;
const MAX_HEADER_BYTES = 16 * 1024;
/** Short, because the load balancer routes the retry to another entry immediately. */
const OTHER_ENTRY_RETRY_AFTER_MS = 1_000;

/**
 * Applies after the drain. Answers that are still open continue at other entries for callers that
 * reconnect.
 */
const CLOSE_OPTIONS: CloseOptions = { idleMs: 100, timeoutMs: 5_000 };

const MODEL_PATHS: ReadonlyMap<string, AnswerFormat> = new Map([
  ['/v1/completions', AnswerFormat.Completion],
  ['/v1/chat/completions', AnswerFormat.Chat],
]);

/** Options of the caller server. */
export interface CallerServerOptions {
  readonly address: Address;
  readonly guard: ClientGuard;
  readonly configuration: () => Configuration | null;
  readonly authenticate: () => Authenticate<WorkspaceSpec>;
  /** Why new work is rejected, or null while it is accepted. */
  readonly notServingReason: () => string | null;
  /** Whether the load balancer should stop routing here, although requests are still accepted. */
  readonly isLeaving: () => boolean;
  readonly makeKey: () => string;
  /** Called when a request is rejected before its body is read, with its key if it has one. */
  readonly onRejected: (idempotencyKey: string | null, reason: string) => void;
  readonly onModelRequest: (request: ModelRequest, response: ServerResponse) => void;
  readonly onPlainCall: (call: PlainCall, response: ServerResponse) => void;
}

/** The context of an exchange that was authenticated and may proceed. */
interface Admitted {
  readonly configuration: Configuration;
  readonly workspace: WorkspaceSpec;
  readonly path: string;
}

/** The HTTP server for callers. */
export interface CallerServer {
  readonly child: Child;
  /** Number of requests whose answer is not fully sent, including those still being received. */
  readonly open: () => number;
}

/** Creates the HTTP server for callers. */
export function createCallerServer(options: CallerServerOptions): CallerServer {
  let activeServer: GracefulServer | null = null;

  function start(): Promise<void> {
    const gracefulServer = createGracefulServer(
      {
        requestTimeout: REQUEST_TIMEOUT_MS,
        headersTimeout: HEADERS_TIMEOUT_MS,
        maxHeaderSize: MAX_HEADER_BYTES,
      },
      options.guard,
      (request, response, hold) => {
        // Keep-alive connections would bind callers to this entry while it leaves: callers that
        // retry as instructed would reach the same entry and be rejected again.
        if (options.isLeaving()) gracefulServer.disableKeepAlive();
        void serve(options, request, response, hold);
      },
    );
    activeServer = gracefulServer;
    return listenExclusively(gracefulServer.server, options.address);
  }

  async function stop(): Promise<void> {
    const closingServer = activeServer;
    activeServer = null;
    await closingServer?.close(CLOSE_OPTIONS);
  }

  return { child: { name: 'caller-server', start, stop }, open: () => activeServer?.open() ?? 0 };
}

async function serve(
  options: CallerServerOptions,
  request: IncomingMessage,
  response: ServerResponse,
  hold: RequestHold,
): Promise<void> {
  response.on('error', () => undefined);
  const path = (request.url ?? '/').split('?')[0] ?? '/';
  if (path === '/healthz') {
    answerHealth(options, response);
    return;
  }
  const admitted = admit(options, request, response, path);
  if (admitted === null) return;
  if (request.method === 'GET' && path === '/v1/models') {
    answerModels(admitted.configuration, response);
    return;
  }
  const body = await readBody(request, admitted.configuration.limits.maxBodyBytes, hold);
  if (body.isErr()) {
    const isKeyed = request.headers['idempotency-key'] !== undefined;
    refuseBody(body.error, admitted.configuration, response, isKeyed);
    return;
  }
  if (!(await hold.turn())) return;
  dispatch(options, request, response, admitted, body.value);
}

function admit(
  options: CallerServerOptions,
  request: IncomingMessage,
  response: ServerResponse,
  path: string,
): Admitted | null {
  const configuration = options.configuration();
  const reason =
    configuration === null ? 'it has no configuration yet' : options.notServingReason();
  if (configuration === null || reason !== null) {
    const failure = ENTRY_NOT_SERVING.of({ reason: reason ?? '' });
    const isKeyed = request.headers['idempotency-key'] !== undefined;
    options.onRejected(readIdempotencyKey(request.headers) ?? null, failure.message);
    sendProblem(response, refuseWithoutLookup(failure, 503, OTHER_ENTRY_RETRY_AFTER_MS, isKeyed));
    return null;
  }
  const workspace = options.authenticate()(request.headers.authorization);
  if (workspace === null) {
    sendProblem(response, refuseNotRun(UNAUTHENTICATED.of(undefined), 401));
    return null;
  }
  return { configuration, workspace, path };
}

function dispatch(
  options: CallerServerOptions,
  request: IncomingMessage,
  response: ServerResponse,
  admitted: Admitted,
  body: Buffer,
): void {
  const { configuration, workspace, path } = admitted;
  const input = {
    headers: request.headers,
    body,
    workspace,
    configuration,
    makeKey: options.makeKey,
  };
  const format = MODEL_PATHS.get(path);
  if (format !== undefined && request.method === 'POST') {
    parseModelRequest({ ...input, format }).match(
      (parsed) => {
        options.onModelRequest(parsed, response);
      },
      (refusal) => {
        sendProblem(response, refusal);
      },
    );
    return;
  }
  if (path.startsWith(PLAIN_PATH_PREFIX)) {
    parsePlainCall({ ...input, method: request.method ?? 'GET', url: request.url ?? '/' }).match(
      (parsed) => {
        options.onPlainCall(parsed, response);
      },
      (refusal) => {
        sendProblem(response, refusal);
      },
    );
    return;
  }
  sendProblem(response, refuseNotRun(NOT_SERVED.of({ what: path }), 404));
}

function refuseBody(
  fault: BodyFault,
  configuration: Configuration,
  response: ServerResponse,
  isKeyed: boolean,
): void {
  const { maxBodyBytes } = configuration.limits;
  if (fault === BodyFault.TooLarge) {
    response.setHeader('connection', 'close');
    sendProblem(response, refuseNotRun(REQUEST_TOO_LARGE.of({ maxBytes: maxBodyBytes }), 413));
    return;
  }
  if (fault === BodyFault.Refused) {
    response.setHeader('connection', 'close');
    const failure = ENTRY_NOT_SERVING.of({
      reason: 'its callers send more than it has memory for',
    });
    sendProblem(response, refuseWithoutLookup(failure, 503, OTHER_ENTRY_RETRY_AFTER_MS, isKeyed));
    return;
  }
  const failure = REQUEST_MALFORMED.of({ faults: ['body: ended early'] });
  sendProblem(response, refuseNotRun(failure, 400));
}

function answerHealth(options: CallerServerOptions, response: ServerResponse): void {
  const acceptsWork = options.configuration() !== null && options.notServingReason() === null;
  const serving = acceptsWork && !options.isLeaving();
  response.writeHead(serving ? 200 : 503, { 'content-type': 'text/plain' });
  response.end(serving ? 'serving\n' : 'not serving\n');
}

function answerModels(configuration: Configuration, response: ServerResponse): void {
  const data = listModels(configuration).map((id) => ({
    id,
    object: 'model',
    created: 0,
    owned_by: 'cassiamast',
  }));
  response.writeHead(200, { 'content-type': 'application/json' });
  response.end(JSON.stringify({ object: 'list', data }));
}
