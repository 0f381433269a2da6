/**
 * The port that callers connect to: reads each request whole, finds its route and sends it on its
 * way. Requests are read by Node's strict parser, so that nothing can hide inside another request.
 */
import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerOptions, ServerResponse } from 'node:http';
import {
  DeliveryKind,
  type RouteTable,
  chooseService,
  findRoute,
  type Address,
} from '@cassiamast/coordination';
import {
  type CloseOptions,
  type GracefulServer,
  createGracefulServer,
} from '../node/graceful-server.js';
import { BodyFault, readBody } from '../node/http-body.js';
import { listenExclusively } from '../node/control-server.js';
import type { Child } from '../supervisor/supervisor.js';
import { CRASH_MEMORY_MS } from './crash-reports.js';
import type { Exchange } from './exchange.js';
import { type ForwardingServices, newsAgeMs } from './forwarding-services.js';
import { OwnStatus, sendOwnAnswer } from './own-answer.js';
import { forwardPlain } from './plain-forwarding.js';
import { forwardStream } from './stream-forwarding.js';

/** Larger than any bound that operators set on headers: theirs is checked by the callers' side. */
const MAX_HEADER_BYTES = 65_536;
/** Body bound before a configuration is known. */
const DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;
/** Idle limit before a configuration is known. */
const DEFAULT_IDLE_MS = 15_000;
/** A caller that says nothing is waited for so long. */
const DEFAULT_PATIENCE_MS = 30_000;
/** When callers are asked back while this gateway knows no configuration. */
const STARTING_RETRY_MS = 500;
/** When callers are asked back by a gateway that stops: at once, they reach another one. */
const STOPPING_RETRY_MS = 50;
/**
 * Why an exchange ended. One object for all: the reason that a signal makes by itself carries a
 * stack, which costs processor time with each request.
 */
const EXCHANGE_OVER = new Error('the caller left, was answered, or its time is over');
const STOPS = 'the gateway stops';
const CRASHES_TARGETS = 'each target that ran this request broke off';
/** Sockets that are looked at for slow requests so often. */
const CONNECTION_CHECK_MS = 1000;
const SERVER_OPTIONS: ServerOptions = {
  maxHeaderSize: MAX_HEADER_BYTES,
  keepAliveTimeout: DEFAULT_IDLE_MS,
  connectionsCheckingInterval: CONNECTION_CHECK_MS,
  noDelay: true,
};
/** Closes the port as the end of the process would. */
const AT_ONCE: CloseOptions = { idleMs: 0, timeoutMs: 0 };

/** The callers' port. */
export interface FrontServer {
  readonly child: Child;
  /** Requests that have no whole answer yet. */
  readonly open: () => number;
  /** Requests whose head was read since the start. */
  readonly received: () => number;
  /** Follows the limits of the configuration in force. */
  readonly follow: () => void;
  /** From now on each answer asks its caller to connect anew, which leads to another gateway. */
  readonly disableKeepAlive: () => void;
  /** From now on only requests are taken that end by then, whatever happens to them. */
  readonly takeOnlyUntil: (endsAtMs: number) => void;
  /** From now on every request is refused; none reaches a target any more. */
  readonly refuseAll: () => void;
  /** Ends the exchanges under way as if their time were over: each gets the answer that is true. */
  readonly endAll: () => void;
  /** Closes the port; resolves with the number of requests that were cut. */
  readonly close: (options: CloseOptions) => Promise<number>;
}

/** Which requests the port takes, and those that it has taken. */
interface Admission {
  /** Requests are taken that end by then; none, where it is in the past. */
  takenUntilMs: number;
  /** One for each request under way; ends it with the answer that is true. */
  readonly running: Set<() => void>;
}

/** Makes the port. */
export function createFrontServer(address: Address, services: ForwardingServices): FrontServer {
  const admission: Admission = { takenUntilMs: Infinity, running: new Set() };
  let received = 0;
  let server: GracefulServer | null = null;

  function serve(request: IncomingMessage, response: ServerResponse): void {
    received += 1;
    handle(request, response, services, admission).catch((error: unknown) => {
      services.count('request_faults_total');
      services.log.warn('request handling failed', { cause: String(error) });
      response.destroy();
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
        server = createGracefulServer(SERVER_OPTIONS, serve);
        await listenExclusively(server.server, address);
      },
      stop: async () => {
        await close(AT_ONCE);
      },
    },
    open: () => server?.open() ?? 0,
    received: () => received,
    follow: () => {
      const idleMs = services.view.table?.configuration.limits.idleTimeoutMs ?? 0;
      // Answers tell callers of it, who close before it is over.
      if (server !== null && idleMs > 0) server.server.keepAliveTimeout = idleMs;
    },
    disableKeepAlive: () => {
      server?.disableKeepAlive();
    },
    takeOnlyUntil: (endsAtMs) => {
      admission.takenUntilMs = endsAtMs;
    },
    refuseAll: () => {
      admission.takenUntilMs = -Infinity;
    },
    endAll: () => {
      for (const end of [...admission.running]) end();
    },
    close,
  };
}

async function handle(
  request: IncomingMessage,
  response: ServerResponse,
  services: ForwardingServices,
  admission: Admission,
): Promise<void> {
  const receivedAtMs = services.nowMs();
  const { table } = services.view;
  const maxBytes = table?.configuration.limits.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES;
  const body = await readWhole(request, response, services, admission, maxBytes);
  // It was refused meanwhile.
  if (response.headersSent) return;
  if (body.isErr()) {
    if (body.error === BodyFault.Broken) return;
    response.shouldKeepAlive = false;
    refuse(response, services, OwnStatus.TooLarge, 'the body is too large', null);
    return;
  }
  services.count('requests_total');
  if (table === null) {
    refuse(response, services, OwnStatus.Refused, 'no configuration yet', STARTING_RETRY_MS);
    return;
  }
  const exchange = open(request, response, table, body.value, receivedAtMs, services, admission);
  if (exchange === null) {
    services.log.info('no route', {
      host: request.headers.host,
      path: request.url,
      version: table.configuration.version,
      newsAgeMs: newsAgeMs(services),
    });
    refuse(response, services, OwnStatus.NoRoute, 'no route', null);
    return;
  }
  // Callers may still be sent here long after the balancer was told to stop.
  if (exchange.endsAtMs > admission.takenUntilMs) {
    services.log.info('not taken, the gateway stops', { request: exchange.id });
    refuse(response, services, OwnStatus.Refused, STOPS, STOPPING_RETRY_MS);
    return;
  }
  if (services.crashes.isConvicted(exchange)) {
    services.log.warn('not taken, it crashes targets', { request: exchange.id });
    refuse(response, services, OwnStatus.Refused, CRASHES_TARGETS, CRASH_MEMORY_MS);
    return;
  }
  await forward(exchange, services);
}

/** Reads a body; a request whose body still comes when the gateway ends has run nowhere. */
async function readWhole(
  request: IncomingMessage,
  response: ServerResponse,
  services: ForwardingServices,
  { running }: Admission,
  maxBytes: number,
): ReturnType<typeof readBody> {
  const end = (): void => {
    refuse(response, services, OwnStatus.Refused, STOPS, STOPPING_RETRY_MS);
  };
  running.add(end);
  const body = await readBody(request, maxBytes);
  running.delete(end);
  return body;
}

function refuse(
  response: ServerResponse,
  services: ForwardingServices,
  status: OwnStatus,
  reason: string,
  retryAfterMs: number | null,
): void {
  services.count(`answers_${String(status)}_total`);
  sendOwnAnswer(response, services.wire, { status, reason, retryAfterMs });
}

function open(
  request: IncomingMessage,
  response: ServerResponse,
  table: RouteTable,
  body: Buffer,
  receivedAtMs: number,
  services: ForwardingServices,
  { running }: Admission,
): Exchange | null {
  const path = request.url ?? '/';
  const route = findRoute(table, request.headers.host ?? '', path);
  if (route === null) return null;
  const head = services.wire.readRequest(request.headers);
  const id = head.attemptId ?? randomUUID();
  const patienceMs = Math.min(head.patienceMs ?? DEFAULT_PATIENCE_MS, route.timeoutMs);
  const endsAtMs = receivedAtMs + patienceMs;
  const over = new AbortController();
  const end = (): void => {
    over.abort(EXCHANGE_OVER);
  };
  running.add(end);
  const timer = setTimeout(() => {
    services.standstill.whenCaughtUp(end);
  }, endsAtMs - services.nowMs());
  response.once('close', () => {
    clearTimeout(timer);
    running.delete(end);
    end();
  });
  return {
    id,
    head,
    route,
    service: chooseService(route, services.hash32(id)),
    caller: request.socket.remoteAddress ?? '',
    method: request.method ?? 'GET',
    path,
    rawHeaders: request.rawHeaders,
    body,
    receivedAtMs,
    endsAtMs,
    response,
    signal: over.signal,
    mayHaveRun: false,
    sends: 0,
    failedTargets: new Set(),
    firstEventMs: null,
    lastTarget: '',
  };
}

async function forward(exchange: Exchange, services: ForwardingServices): Promise<void> {
  const { route, service, response } = exchange;
  const spec = services.view.table?.servicesByName.get(service);
  const usesEngines = route.kind === DeliveryKind.Stream && spec?.engine != null;
  await (usesEngines ? forwardStream : forwardPlain)(exchange, services);
  const tookMs = services.nowMs() - exchange.receivedAtMs;
  services.record('request_ms', tookMs);
  services.count(`answers_${String(response.headersSent ? response.statusCode : 0)}_total`);
  services.log.info('request ended', {
    request: exchange.id,
    route: route.name,
    service,
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
