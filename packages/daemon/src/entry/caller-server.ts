/**
 * The callers' port: the OpenAI-compatible completions and chat completions, plain services by
 * path, the list of models and the balancer's health check. Every input is bounded in size and
 * time; a slow reader is held by back-pressure, a slow sender by the request timeout.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Address, Configuration, WorkspaceSpec } from '@cassiamast/coordination';
import {
  type GracefulServer,
  type CloseOptions,
  createGracefulServer,
} from '../node/graceful-server.js';
import { listenExclusively } from '../node/control-server.js';
import { BodyFault, readBody } from '../node/http-body.js';
import type { Child } from '../supervisor/supervisor.js';
import { AnswerFormat, type ModelRequest } from './caller-request.js';
import type { Authenticate } from './authenticate.js';
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
import { refuseNotRun, refuseUnseen } from './refusals.js';
import { listModels } from './service-directory.js';

/** A phone on a poor network still sends a large prompt within this. */
const REQUEST_TIMEOUT_MS = 60_000;
const HEADERS_TIMEOUT_MS = 15_000;
const MAX_HEADER_BYTES = 16 * 1024;
/** A caller that is told that the entry leaves finds another at once through the balancer. */
const OTHER_ENTRY_RETRY_MS = 1_000;

/** After the drain: answers that are left go on elsewhere, for the callers that come back. */
const CLOSE: CloseOptions = { idleMs: 100, timeoutMs: 5_000 };

const MODEL_PATHS: ReadonlyMap<string, AnswerFormat> = new Map([
  ['/v1/completions', AnswerFormat.Completion],
  ['/v1/chat/completions', AnswerFormat.Chat],
]);

/** What the callers' port needs. */
export interface CallerServerOptions {
  readonly address: Address;
  readonly maxConnections: number;
  readonly configuration: () => Configuration | null;
  readonly authenticate: () => Authenticate;
  /** Why no new work is taken, or null while it is. */
  readonly notServingReason: () => string | null;
  /** Whether the balancer should send callers elsewhere, although what comes is still taken. */
  readonly isLeaving: () => boolean;
  readonly makeKey: () => string;
  /** Told of a request that is refused before it is read, with its key where it brings one. */
  readonly onTurnedAway: (idempotencyKey: string | null, reason: string) => void;
  readonly onModelRequest: (request: ModelRequest, response: ServerResponse) => void;
  readonly onPlainCall: (call: PlainCall, response: ServerResponse) => void;
}

/** What is known of an exchange once it may go on. */
interface Admitted {
  readonly configuration: Configuration;
  readonly workspace: WorkspaceSpec;
  readonly path: string;
}

/** The callers' port. */
export interface CallerServer {
  readonly child: Child;
  /** Requests, those that are still being read among them, whose answer was not sent as a whole. */
  readonly open: () => number;
}

/** Makes the callers' port. */
export function createCallerServer(options: CallerServerOptions): CallerServer {
  let port: GracefulServer | null = null;

  function start(): Promise<void> {
    const made = createGracefulServer(
      {
        requestTimeout: REQUEST_TIMEOUT_MS,
        headersTimeout: HEADERS_TIMEOUT_MS,
        maxHeaderSize: MAX_HEADER_BYTES,
      },
      (request, response) => {
        // Guards against callers who are held to this entry by a kept connection while it leaves: it
        // shows as callers who come back as they are told and are refused again.
        if (options.isLeaving()) made.disableKeepAlive();
        void serve(options, request, response);
      },
    );
    made.server.maxConnections = options.maxConnections;
    port = made;
    return listenExclusively(made.server, options.address);
  }

  async function stop(): Promise<void> {
    const closing = port;
    port = null;
    await closing?.close(CLOSE);
  }

  return { child: { name: 'caller-server', start, stop }, open: () => port?.open() ?? 0 };
}

async function serve(
  options: CallerServerOptions,
  request: IncomingMessage,
  response: ServerResponse,
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
  const body = await readBody(request, admitted.configuration.limits.maxBodyBytes);
  if (body.isErr()) {
    refuseBody(body.error, admitted.configuration, response);
    return;
  }
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
    options.onTurnedAway(readIdempotencyKey(request.headers) ?? null, failure.message);
    sendProblem(response, refuseUnseen(failure, 503, OTHER_ENTRY_RETRY_MS, isKeyed));
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
): void {
  const { maxBodyBytes } = configuration.limits;
  if (fault === BodyFault.TooLarge) {
    response.setHeader('connection', 'close');
    sendProblem(response, refuseNotRun(REQUEST_TOO_LARGE.of({ maxBytes: maxBodyBytes }), 413));
    return;
  }
  const failure = REQUEST_MALFORMED.of({ faults: ['body: ended early'] });
  sendProblem(response, refuseNotRun(failure, 400));
}

function answerHealth(options: CallerServerOptions, response: ServerResponse): void {
  const takesWork = options.configuration() !== null && options.notServingReason() === null;
  const serving = takesWork && !options.isLeaving();
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
