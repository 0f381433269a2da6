/** Tests a grant of an engine that is leaving according to the gateway's own view of the fleet. */
import assert from 'node:assert/strict';
import type { ServerResponse } from 'node:http';
import { describe, it } from 'node:test';
import {
  DecisionKind,
  DeliveryKind,
  EnginePhase,
  FleetChangeKind,
  applyChanges,
  createFleetView,
} from '@cassiamast/coordination';
import type { CallerWire, HttpTransport } from '@cassiamast/ports';
import type { Exchange } from '../../src/gateway/exchange.js';
import type { ForwardingServices } from '../../src/gateway/forwarding-services.js';
import { forwardStream } from '../../src/gateway/stream-forwarding.js';

function viewWith(states: Readonly<Record<string, boolean>>): ReturnType<typeof createFleetView> {
  const view = createFleetView();
  const changes = Object.entries(states).map(([id, draining]) => ({
    kind: FleetChangeKind.Target as const,
    revision: 1,
    target: {
      id,
      name: id,
      bornAtMs: 0,
      service: 's',
      address: `${id}:80`,
      failureDomain: 'eros-hall',
      slots: 1,
      draining,
      phase: EnginePhase.Both,
    },
  }));
  applyChanges(view, changes, 1, 0);
  return view;
}

const EXCHANGE: Omit<Exchange, 'response'> = {
  id: 'x',
  head: { attemptId: 'x', remainingTimeMs: 1000, parts: [], outputTokens: 1, lastEventId: null },
  route: {
    name: 'r',
    host: 'h',
    pathPrefix: '/',
    kind: DeliveryKind.Stream,
    timeoutMs: 1000,
    targetLatencyMs: 500,
    targetGapMs: 300,
    priority: 0,
    shares: [],
    maxAttempts: 1,
    hasPrompts: true,
    resumable: false,
  },
  service: 's',
  caller: '10.9.0.1',
  method: 'POST',
  path: '/',
  rawHeaders: [],
  body: Buffer.alloc(0),
  receivedAtMs: 0,
  endsAtMs: 1000,
  signal: new AbortController().signal,
  mayHaveRun: false,
  sends: 0,
  failedTargets: new Set(),
  firstEventMs: null,
  lastTarget: '',
};

describe('a grant of an engine', () => {
  // Otherwise, a leaving engine receives new work for seconds: the gateway that runs the scheduler
  // is cut off from the store and still grants the engine, while the one that forwards knows that
  // it leaves.
  it('that is leaving is rejected, and another engine is requested', async () => {
    const granted = ['leaving', 'staying'];
    const avoided: (readonly string[])[] = [];
    const sentTo: string[] = [];
    const response = {
      headersSent: false,
      destroyed: false,
      writeHead: () => undefined,
      end: () => undefined,
    } as unknown as ServerResponse;
    const services = {
      view: viewWith({ leaving: true, staying: false }),
      wire: {
        targetHeaders: () => [],
        readAnswer: (status: number) => ({
          status,
          attemptId: null,
          notRun: false,
          encoded: false,
          limitPerS: null,
          unknownHeaders: [],
        }),
        callerHeaders: () => [],
        gatewayResponseHeaders: () => ({}),
      } as unknown as CallerWire,
      transport: {
        stream: (request: { origin: string }, handlers: Parameters<HttpTransport['stream']>[1]) => {
          sentTo.push(request.origin);
          setImmediate(() => {
            handlers.onSent?.();
            handlers.onStart(200, {}, []);
            handlers.onEnd();
          });
          return { stop: () => undefined, pause: () => undefined, resume: () => undefined };
        },
      },
      budgets: { noteRequest: () => undefined, take: () => false },
      scheduling: {
        take: (_: string, job: () => { avoid: readonly string[]; id: string }) => {
          avoided.push(job().avoid);
          const plan = {
            readAt: granted.shift() ?? '',
            streamAt: null,
            fetchFrom: null,
            missingTokens: 0,
            predictedReadMs: 0,
            waitedMs: 0,
          };
          const decision = { kind: DecisionKind.Run, jobId: job().id, plan };
          return Promise.resolve({ decision, schedulerId: 'g' });
        },
        report: () => undefined,
      },
      crashes: { recordCompletion: () => undefined },
      pulse: { recordBytes: () => undefined, isInactive: () => false },
      onAnswerHead: () => undefined,
      elapsedMs: () => 0,
      standstill: { catchUp: () => null },
      nowMs: () => 0,
      log: { info: () => undefined, warn: () => undefined },
      count: () => undefined,
      record: () => undefined,
    } as unknown as ForwardingServices;
    await forwardStream({ ...EXCHANGE, response, failedTargets: new Set() }, services);
    assert.deepEqual(sentTo, ['http://staying:80']);
    assert.deepEqual(avoided, [[], ['leaving']]);
  });
});
