/** HTTP server for short questions without a body, such as readiness checks and metrics. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Address } from '@cassiamast/coordination';
import type { ClientGuard, RequestHold } from '../node/client-guard.js';
import { listenExclusively } from '../node/control-server.js';
import {
  type CloseOptions,
  type GracefulServer,
  createGracefulServer,
} from '../node/graceful-server.js';
import type { Child } from '../supervisor/supervisor.js';

/** Closes all connections immediately. */
const IMMEDIATE_CLOSE: CloseOptions = { idleMs: 0, timeoutMs: 0 };
const FAILED_STATUS = 500;

/** The answer to one question. */
export interface ProbeAnswer {
  readonly status: number;
  /** Null for an empty body. */
  readonly body: string | null;
}

/** Options of {@link createProbeServer}. */
export interface ProbeServerOptions {
  readonly name: string;
  readonly address: Address;
  readonly guard: ClientGuard;
  /** Answers a question by its path; a rejection is answered with status 500. */
  readonly answer: (path: string) => ProbeAnswer | Promise<ProbeAnswer>;
}

/** Creates the server. */
export function createProbeServer({ name, address, guard, answer }: ProbeServerOptions): Child {
  let server: GracefulServer | null = null;

  async function serve(
    request: IncomingMessage,
    response: ServerResponse,
    hold: RequestHold,
  ): Promise<void> {
    request.resume();
    if (!(await hold.turn())) return;
    try {
      send(response, await answer(request.url ?? '/'));
    } catch {
      send(response, { status: FAILED_STATUS, body: null });
    }
  }

  return {
    name,
    start: async () => {
      server = createGracefulServer({}, guard, (request, response, hold) => {
        void serve(request, response, hold);
      });
      await listenExclusively(server.server, address);
    },
    stop: async () => {
      const closing = server;
      server = null;
      await closing?.close(IMMEDIATE_CLOSE);
    },
  };
}

function send(response: ServerResponse, { status, body }: ProbeAnswer): void {
  if (response.destroyed || response.headersSent) return;
  response.writeHead(status, {
    ...(body === null ? {} : { 'content-type': 'text/plain; version=0.0.4' }),
    'content-length': Buffer.byteLength(body ?? ''),
  });
  response.end(body ?? '');
}
