/** Tests the retry budget for retries that are sent long after they were decided on. */
import assert from 'node:assert/strict';
import type { IncomingHttpHeaders, ServerResponse } from 'node:http';
import { describe, it } from 'node:test';
import {
  DecisionKind,
  DeliveryKind,
  EnginePhase,
  FleetChangeKind,
  ShareState,
  applyChanges,
  createFleetView,
  createTurnVersions,
} from '@cassiamast/coordination';
import { type HttpRequest, type HttpStreamHandlers, NOTHING_ANNOUNCED } from '@cassiamast/ports';
import type { Exchange } from '../../src/gateway/exchange.js';
import type { ForwardingServices } from '../../src/gateway/forwarding-services.js';
import { createRetryBudgets } from '../../src/gateway/retry-budgets.js';
import { forwardStream } from '../../src/gateway/stream-forwarding.js';
import { ANY_VERSION, NO_CRASHES, NO_USAGE } from './forwarding-stand-ins.js';

const LIMITS = { windowMs: 10_000, ratio: 0.2, slack: 58 };
const SERVICE = 's';
const REQUESTS_PER_WINDOW = 300;
const NOT_RUN_STATUS = 503;
const SILENT_LOG = { info: () => undefined, warn: () => undefined, lifecycle: () => undefined };

const ROUTE: Exchange['route'] = {
  name: 'r',
  host: 'h',
  pathPrefix: '/',
  kind: DeliveryKind.Stream,
  timeoutMs: 60_000,
  targetLatencyMs: 15_000,
  targetGapMs: 300,
  priority: 0,
  shares: [],
  maxAttempts: 2,
  hasPrompts: true,
  resumable: false,
  isOpen: false,
};

/** Engines that run no stream of a first turn, and a scheduler that holds all later turns back. */
function createScene(): {
  readonly services: ForwardingServices;
  readonly clock: { nowMs: number };
  readonly furtherAtMs: readonly number[];
  readonly releaseTurns: () => void;
} {
  const clock = { nowMs: 0 };
  const view = createFleetView();
  for (const id of ['reader', 'streamer']) {
    const target = {
      id,
      name: id,
      bornAtMs: 0,
      version: 'v1',
      service: SERVICE,
      address: `${id}:80`,
      failureDomain: 'eros-hall',
      slots: 64,
      draining: false,
      phase: EnginePhase.Both,
    };
    applyChanges(view, [{ kind: FleetChangeKind.Target, revision: 1, target }], 1, 0);
  }
  const seen = new Set<string>();
  const furtherAtMs: number[] = [];
  const heldTurns: (() => void)[] = [];
  const plan = {
    readAt: 'reader',
    streamAt: 'streamer',
    fetchFrom: null,
    missingTokens: 0,
    predictedReadMs: 0,
    waitedMs: 0,
  };
  const services = {
    view,
    wire: {
      targetHeaders: () => [],
      readAnswer: (status: number, { answers }: IncomingHttpHeaders) => ({
        status,
        attemptId: answers,
        notRun: status === NOT_RUN_STATUS,
        encoded: false,
        ...NOTHING_ANNOUNCED,
        unknownHeaders: [],
      }),
      callerHeaders: () => [],
      gatewayResponseHeaders: () => ({}),
      readHandle: () => 'handle',
      handlePath: () => '/handle',
    },
    transport: {
      exchange: () => Promise.resolve({ status: 200, headers: {}, body: Buffer.alloc(0) }),
      stream: (request: HttpRequest, handlers: HttpStreamHandlers) => {
        const key = `${request.path} ${request.origin}`;
        const isFurther = seen.has(key);
        seen.add(key);
        const isFirstRun = request.origin.includes('streamer') && !isFurther;
        setImmediate(() => {
          handlers.onSent?.();
          if (isFurther) furtherAtMs.push(clock.nowMs);
          const headers = { answers: request.path.slice(1) };
          handlers.onStart(isFirstRun ? NOT_RUN_STATUS : 200, headers, []);
          handlers.onEnd();
        });
        return { stop: () => undefined, pause: () => undefined, resume: () => undefined };
      },
    },
    budgets: createRetryBudgets({
      limits: LIMITS,
      gateways: { share: () => ({ state: ShareState.Counted, fraction: 1, gateways: 1 }) },
      clocks: () => ({ monotonicMs: clock.nowMs, elapsedMs: clock.nowMs }),
      unreadSinceMs: () => clock.nowMs,
      log: SILENT_LOG,
      count: () => undefined,
    }),
    scheduling: {
      take: async (_: string, job: () => { id: string }) => {
        const { id } = job();
        if (!id.endsWith('/1')) await new Promise<void>((resolve) => heldTurns.push(resolve));
        return { decision: { kind: DecisionKind.Run, jobId: id, plan }, schedulerId: 'g' };
      },
      report: () => undefined,
    },
    crashes: NO_CRASHES,
    versions: ANY_VERSION,
    usage: NO_USAGE,
    pulse: { recordBytes: () => undefined, isInactive: () => false },
    onAnswerHead: () => undefined,
    elapsedMs: () => clock.nowMs,
    standstill: { catchUp: () => null, unreadSinceMs: () => clock.nowMs },
    withholdReason: () => null,
    availability: { unavailable: () => [], availableInMs: () => 0, callerRetryInMs: () => 0 },
    nowMs: () => clock.nowMs,
    log: SILENT_LOG,
    count: () => undefined,
    record: () => undefined,
  } as unknown as ForwardingServices;
  return {
    services,
    clock,
    furtherAtMs,
    releaseTurns: () => {
      for (const release of heldTurns.splice(0)) release();
    },
  };
}

function createExchange(number: number, receivedAtMs: number): Exchange {
  const id = `request-${String(number)}`;
  const response = {
    headersSent: false,
    destroyed: false,
    writeHead: () => undefined,
    end: () => undefined,
    destroy: () => undefined,
  };
  return {
    id,
    head: {
      attemptId: id,
      remainingTimeMs: 60_000,
      parts: [],
      outputTokens: 1,
      lastEventId: null,
      resumes: null,
      authorization: undefined,
    },
    route: ROUTE,
    service: SERVICE,
    usesEngines: true,
    caller: '10.9.0.1',
    method: 'POST',
    path: `/${id}`,
    rawHeaders: [],
    body: Buffer.alloc(0),
    receivedAtMs,
    endsAtMs: receivedAtMs + 60_000,
    response: response as unknown as ServerResponse,
    signal: new AbortController().signal,
    mayHaveRun: false,
    isQuarantined: false,
    isTrial: false,
    isCounted: false,
    isRevoked: false,
    workspace: null,
    hidesKey: false,
    priority: 0,
    version: null,
    sentVersion: null,
    turnVersions: createTurnVersions(),
    content: () => 'content',
    sharedParts: [],
    sends: 0,
    prefills: 0,
    rejections: 0,
    retries: null,
    failedTargets: new Set(),
    firstEventMs: null,
    lastEventAtMs: null,
    lastTarget: '',
  };
}

describe('a further turn that waits for an engine', () => {
  // Otherwise, retries decided on in two windows reach the targets in one.
  it('counts against the retry budget when it is sent', async () => {
    const { services, clock, furtherAtMs, releaseTurns } = createScene();
    const answered: Promise<void>[] = [];
    const requests = 2 * REQUESTS_PER_WINDOW;
    for (let number = 0; number < requests; number += 1) {
      clock.nowMs = (number * LIMITS.windowMs) / REQUESTS_PER_WINDOW;
      answered.push(forwardStream(createExchange(number, clock.nowMs), services));
      await new Promise((resolve) => setImmediate(resolve));
    }
    // Lets the first turns end.
    for (let turn = 0; turn < 10; turn += 1) await new Promise((resolve) => setImmediate(resolve));
    assert.deepEqual([...furtherAtMs], []);
    releaseTurns();
    await Promise.all(answered);
    const allowed = REQUESTS_PER_WINDOW * LIMITS.ratio + LIMITS.slack;
    assert.ok(furtherAtMs.length > 0);
    assert.ok(furtherAtMs.length <= allowed, `${String(furtherAtMs.length)} of ${String(allowed)}`);
  });
});
