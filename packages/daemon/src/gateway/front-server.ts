/**
 * The server that callers connect to. Reads each request completely and forwards it. Node's strict HTTP parser prevents request smuggling.
 */
import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerOptions, ServerResponse } from 'node:http';
import { setImmediate as nextLoopTurn } from 'node:timers/promises';
import { err } from 'neverthrow';
import {
  DeliveryKind,
  type RouteTable,
  chooseService,
  sharedPartsOf,
  type Address,
  createTurnVersions,
} from '@cassiamast/coordination';
import type { GatewayResponse } from '@cassiamast/ports';
import {
  type CloseOptions,
  type GracefulServer,
  createGracefulServer,
} from '../node/graceful-server.js';
import type { RequestHold } from '../node/client-guard.js';
import { BodyFault, readBody } from '../node/http-body.js';
import { listenExclusively } from '../node/control-server.js';
import type { Child } from '../supervisor/supervisor.js';
import { IdentityKind } from './caller-identity.js';
import { type Exchange, contentsOf, replaceRetries } from './exchange.js';
import type { ForwardingServices } from './forwarding-services.js';
import { type Destination, type ReceivedRequest, findDestination } from './find-destination.js';
import { OwnStatus, quarantinedAnswer, refuse, sendOwnAnswer } from './own-answer.js';
import { forwardPlain } from './plain-forwarding.js';
import { lazyContentHash } from './request-content.js';
import { forwardStream } from './stream-forwarding.js';

/** Larger than any header limit that operators set; the callers' side enforces their limits. */
const MAX_HEADER_BYTES = 65_536;
/** Maximum body size until a configuration is known. */
export const DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;
/** Idle timeout of connections until a configuration is known. */
const DEFAULT_IDLE_MS = 15_000;
/** Timeout of requests that state none. */
const DEFAULT_CALLER_TIMEOUT_MS = 30_000;
/** Retry-after time while the gateway stops. Short because the retry reaches another gateway. */
const STOPPING_RETRY_MS = 50;
/**
 * The abort reason of every exchange. Shared, because the default reason of an abort signal
 * captures a stack trace, which costs CPU time on each request.
 */
const EXCHANGE_ENDED = new Error('the caller left, was answered, or its time is over');
const GATEWAY_STOPS: GatewayResponse = {
  status: OwnStatus.Refused,
  reason: 'the gateway stops',
  retryAfterMs: STOPPING_RETRY_MS,
};
const TOO_LARGE: GatewayResponse = {
  status: OwnStatus.TooLarge,
  reason: 'the body is too large',
  retryAfterMs: null,
};
/** Time in which requests of other callers end, whose memory the retry may take. */
const MEMORY_RETRY_MS = 1000;
const OUT_OF_MEMORY: GatewayResponse = {
  status: OwnStatus.Refused,
  reason: 'callers send more than the gateway has memory for',
  retryAfterMs: MEMORY_RETRY_MS,
};
const FAILED_REASON = 'the gateway failed';
/** Time for a whole request; one that does not end in it is rejected as not run. */
const REQUEST_TIMEOUT_MS = DEFAULT_CALLER_TIMEOUT_MS;
/** Interval at which Node checks connections for slow requests. */
const CONNECTION_CHECK_MS = 1000;
const SERVER_OPTIONS: ServerOptions = {
  maxHeaderSize: MAX_HEADER_BYTES,
  keepAliveTimeout: DEFAULT_IDLE_MS,
  headersTimeout: DEFAULT_IDLE_MS,
  requestTimeout: REQUEST_TIMEOUT_MS,
  connectionsCheckingInterval: CONNECTION_CHECK_MS,
  noDelay: true,
};
/** Closes all connections immediately, as the exit of the process would. */
const IMMEDIATE_CLOSE: CloseOptions = { idleMs: 0, timeoutMs: 0 };

/** The server for callers. */
export interface FrontServer {
  readonly child: Child;
  /** Returns the number of requests without a complete answer. */
  readonly open: () => number;
  /** Returns the number of requests whose head was read since the start. */
  readonly received: () => number;
  /** Applies the limits of the current configuration. */
  readonly applyLimits: () => void;
  /** Makes further answers close their connections, so that callers reconnect to other gateways. */
  readonly disableKeepAlive: () => void;
  /** Rejects all further requests whose deadline is later than the given time. */
  readonly acceptOnlyUntil: (endsAtMs: number) => void;
  /** Rejects all further requests without sending them to a target. */
  readonly refuseAll: () => void;
  /** Ends all requests in flight as if their deadlines had passed, with the matching answers. */
  readonly endAll: () => void;
  /** Ends the requests in flight with a content that crashes targets. */
  readonly stopQuarantined: (content: string) => void;
  /** Ends the requests that wait with a key that the current configuration does not hold. */
  readonly stopRevoked: () => void;
  /** Closes the server; resolves with the number of requests that were aborted. */
  readonly close: (options: CloseOptions) => Promise<number>;
}

/** Which requests the server accepts, and those that it has accepted. */
interface Admission {
  /** Requests with a later deadline are rejected; a time in the past rejects all requests. */
  acceptedUntilMs: number;
  readonly running: Set<RunningRequest>;
}

/** A request in flight. */
interface RunningRequest {
  /** Ends it with the matching failure answer. */
  readonly end: () => void;
  /** Null until the request has been read completely. */
  readonly exchange: Exchange | null;
}

/** Creates the server. */
export function createFrontServer(address: Address, services: ForwardingServices): FrontServer {
  const admission: Admission = { acceptedUntilMs: Infinity, running: new Set() };
  let received = 0;
  let server: GracefulServer | null = null;
  /** The configuration that the keys of all requests in flight were last compared with. */
  let checkedTable: RouteTable | null = null;

  function serve(request: IncomingMessage, response: ServerResponse, hold: RequestHold): void {
    received += 1;
    // Without a listener, a failed write to one caller would end the process.
    response.on('error', (error) => {
      services.log.warn('answer not written', { cause: error.message });
    });
    handleRequest({ request, response, hold }, services, admission).catch((error: unknown) => {
      services.count('request_faults_total');
      services.log.warn('request handling failed', { cause: String(error) });
      const answer = { status: OwnStatus.BadGateway, reason: FAILED_REASON, retryAfterMs: null };
      // A caller that has a part of the answer learns of its end by the closed connection only.
      if (!sendOwnAnswer(response, services.wire, answer)) response.destroy();
    });
  }

  async function close(options: CloseOptions): Promise<number> {
    const closing = server;
    server = null;
    return closing === null ? 0 : closing.close(options);
  }

  return {
    child: {
      name: 'front-server',
      start: async () => {
        server = createGracefulServer(SERVER_OPTIONS, services.guard, serve);
        await listenExclusively(server.server, address);
      },
      stop: async () => {
        await close(IMMEDIATE_CLOSE);
      },
    },
    open: () => server?.open() ?? 0,
    received: () => received,
    applyLimits: () => {
      const limits = services.view.table?.configuration.limits;
      if (server === null || limits === undefined || limits.idleTimeoutMs <= 0) return;
      // Answers announce the timeout to callers, who close idle connections before it expires.
      server.server.keepAliveTimeout = limits.idleTimeoutMs;
      // It also ends connections that have brought no request yet, which are idle as well.
      server.server.headersTimeout = Math.max(limits.headerTimeoutMs, limits.idleTimeoutMs);
    },
    disableKeepAlive: () => {
      server?.disableKeepAlive();
    },
    acceptOnlyUntil: (endsAtMs) => {
      admission.acceptedUntilMs = endsAtMs;
    },
    refuseAll: () => {
      admission.acceptedUntilMs = -Infinity;
    },
    endAll: () => {
      for (const { end } of [...admission.running]) end();
    },
    stopQuarantined: (content) => {
      for (const { exchange, end } of [...admission.running]) {
        if (exchange === null || !contentsOf(exchange).includes(content)) continue;
        exchange.isQuarantined = true;
        services.count('requests_convicted_total');
        services.log.warn('request stopped, it crashes targets', {
          request: exchange.id,
          content,
          sends: exchange.sends,
        });
        end();
      }
    },
    stopRevoked: () => {
      if (services.view.table === checkedTable) return;
      checkedTable = services.view.table;
      for (const { exchange, end } of [...admission.running]) {
        if (exchange === null || exchange.isRevoked || holdsKey(exchange, services)) continue;
        exchange.isRevoked = true;
        services.count('requests_revoked_total');
        services.log.info('key taken away', {
          request: exchange.id,
          workspace: exchange.workspace,
          sends: exchange.sends,
          prefills: exchange.prefills,
        });
        // A target that may have begun to run it brings its answer to an end.
        if (exchange.sends === 0) end();
      }
    },
    close,
  };
}

function holdsKey(exchange: Exchange, { callers }: ForwardingServices): boolean {
  const identity = callers.find(exchange.route, exchange.head.authorization);
  return (
    identity?.kind === IdentityKind.Known &&
    (identity.workspace?.name ?? null) === exchange.workspace
  );
}

/** A request whose head was read. */
interface BegunRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly hold: RequestHold;
}

async function handleRequest(
  begun: BegunRequest,
  services: ForwardingServices,
  admission: Admission,
): Promise<void> {
  const receivedAtMs = services.nowMs();
  const { request, response, hold } = begun;
  const limits = services.view.table?.configuration.limits;
  const maxBytes = limits?.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES;
  const body = await readRequestBody(begun, services, admission, maxBytes);
  // The request was rejected while its body was being read.
  if (response.headersSent) return;
  if (body.isErr()) {
    refuseBody(response, services, body.error);
    return;
  }
  const wholeAtMs = services.nowMs();
  if (!(await hold.turn())) return;
  const received = { request, response, body: body.value, receivedAtMs, wholeAtMs };
  try {
    await forwardReceived(received, services, admission);
  } finally {
    // The answer may wait for long to be read.
    hold.setBodyBytes(0);
  }
}

function refuseBody(
  response: ServerResponse,
  services: ForwardingServices,
  fault: BodyFault,
): void {
  if (fault === BodyFault.Broken) return;
  response.shouldKeepAlive = false;
  refuse(response, services, fault === BodyFault.TooLarge ? TOO_LARGE : OUT_OF_MEMORY);
}

async function forwardReceived(
  received: ReceivedRequest,
  services: ForwardingServices,
  admission: Admission,
): Promise<void> {
  const { response } = received;
  services.count('requests_total');
  const destination = await findDestination(received, services);
  if (destination === null) return;
  const exchange = createExchange(received, destination, services, admission);
  // The load balancer may route callers here long after this gateway became unready.
  if (exchange.endsAtMs > admission.acceptedUntilMs) {
    services.log.info('request rejected, the gateway stops', { request: exchange.id });
    refuse(response, services, GATEWAY_STOPS);
    return;
  }
  const isTrial = await services.crashes.tryAgain(exchange);
  if (!isTrial && services.crashes.rejects(exchange)) {
    refuse(response, services, quarantinedAnswer(exchange));
    return;
  }
  await forward(exchange, services);
}

/** Reads a body. If the gateway stops before it is complete, the request is rejected as not run. */
async function readRequestBody(
  { request, response, hold }: BegunRequest,
  services: ForwardingServices,
  admission: Admission,
  maxBytes: number,
): ReturnType<typeof readBody> {
  const end = (): void => {
    refuse(response, services, GATEWAY_STOPS);
  };
  const running: RunningRequest = { end, exchange: null };
  admission.running.add(running);
  const body = await readBody(request, maxBytes, hold);
  const hasLeft = await hasLeftMeanwhile(request);
  admission.running.delete(running);
  if (!hasLeft) return body;
  services.count('requests_left_unread_total');
  services.log.info('caller left before its request was read', { path: request.url });
  response.destroy();
  return err(BodyFault.Broken);
}

/**
 * Resolves with whether the caller has closed its connection behind the request. A request that lay
 * in the kernel's queue is read before that end, which comes with the next turn of the event loop.
 */
async function hasLeftMeanwhile({ socket }: IncomingMessage): Promise<boolean> {
  await nextLoopTurn();
  await nextLoopTurn();
  return socket.destroyed || socket.readableEnded;
}

function createExchange(
  { request, response, body, receivedAtMs, wholeAtMs }: ReceivedRequest,
  { table, route, caller }: Destination,
  services: ForwardingServices,
  admission: Admission,
): Exchange {
  const path = request.url ?? '/';
  const head = services.wire.readRequest(request.headers);
  const id = head.attemptId ?? randomUUID();
  const callerWaitMs = head.remainingTimeMs ?? DEFAULT_CALLER_TIMEOUT_MS;
  // A caller waits for the system only once its request was received.
  const endsAtMs = Math.min(receivedAtMs + callerWaitMs, wholeAtMs + route.timeoutMs);
  const abortController = new AbortController();
  const end = (): void => {
    abortController.abort(EXCHANGE_ENDED);
  };
  const method = request.method ?? 'GET';
  const service = chooseService(route, services.hash32(id));
  const exchange: Exchange = {
    id,
    head,
    route,
    service,
    usesEngines: table.servicesByName.get(service)?.engine != null,
    caller: request.socket.remoteAddress ?? '',
    workspace: caller?.name ?? null,
    hidesKey: table.configuration.workspaces !== null,
    priority: caller?.priority ?? route.priority,
    method,
    path,
    rawHeaders: request.rawHeaders,
    body,
    content: lazyContentHash({ host: route.host, method, path, body }),
    sharedParts: sharedPartsOf(head.parts),
    receivedAtMs,
    endsAtMs,
    response,
    signal: abortController.signal,
    isQuarantined: false,
    isRevoked: false,
    isTrial: false,
    version: null,
    sentVersion: null,
    turnVersions: createTurnVersions(),
    mayHaveRun: false,
    isCounted: false,
    sends: 0,
    prefills: 0,
    rejections: 0,
    retries: null,
    failedTargets: new Set(),
    firstEventMs: null,
    lastEventAtMs: null,
    lastTarget: '',
  };
  const running: RunningRequest = { end, exchange };
  admission.running.add(running);
  const timer = setTimeout(() => {
    services.standstill.whenCaughtUp(end);
  }, endsAtMs - services.nowMs());
  response.once('close', () => {
    clearTimeout(timer);
    admission.running.delete(running);
    end();
  });
  return exchange;
}

async function forward(exchange: Exchange, services: ForwardingServices): Promise<void> {
  const { route, service, response, usesEngines } = exchange;
  const isStream = usesEngines && route.kind === DeliveryKind.Stream;
  await (isStream ? forwardStream : forwardPlain)(exchange, services);
  replaceRetries(exchange, null);
  const tookMs = services.nowMs() - exchange.receivedAtMs;
  services.record('request_ms', tookMs);
  services.count(`answers_${String(response.headersSent ? response.statusCode : 0)}_total`);
  services.log.info('request ended', {
    request: exchange.id,
    route: route.name,
    service,
    workspace: exchange.workspace,
    version: services.view.table?.configuration.version,
    status: response.headersSent ? response.statusCode : 0,
    whole: response.writableEnded,
    callerLeft: response.destroyed && !response.writableEnded,
    sends: exchange.sends,
    target: exchange.lastTarget,
    firstEventMs: exchange.firstEventMs,
    tookMs: Math.round(tookMs),
  });
}
