/** Requests whose target leaves between its choice and the send, by the gateway's own view. */
import assert from 'node:assert/strict';
import type { ServerResponse } from 'node:http';
import { describe, it } from 'node:test';
import {
  DecisionKind,
  DeliveryKind,
  EnginePhase,
  type FleetChange,
  FleetChangeKind,
  type FleetView,
  type Plan,
  RequestedWork,
  type TargetEntry,
  applyChanges,
  createFleetView,
  servingTarget,
  servingTargets,
  createTurnVersions,
} from '@cassiamast/coordination';
import { type CallerWire, type HttpTransport, NOTHING_ANNOUNCED } from '@cassiamast/ports';
import type { Exchange } from '../../src/gateway/exchange.js';
import type { ForwardingServices } from '../../src/gateway/forwarding-services.js';
import { SendOutcomeKind, sendToTarget } from '../../src/gateway/send-to-target.js';
import { forwardStream } from '../../src/gateway/stream-forwarding.js';
import { ANY_VERSION, NO_CRASHES, NO_USAGE } from './forwarding-stand-ins.js';

function targetChange(id: string, draining: boolean, revision: number): FleetChange {
  return {
    kind: FleetChangeKind.Target,
    revision,
    target: {
      id,
      name: id,
      bornAtMs: 0,
      version: 'v1',
      service: 's',
      address: `${id}:80`,
      failureDomain: 'eros-hall',
      slots: 1,
      draining,
      phase: EnginePhase.Both,
    },
  };
}

function viewWith(states: Readonly<Record<string, boolean>>): FleetView {
  const view = createFleetView();
  const changes = Object.entries(states).map(([id, draining]) => targetChange(id, draining, 1));
  applyChanges(view, changes, 1, 0);
  return view;
}

const REQUEST = {
  attemptId: 'x',
  work: RequestedWork.Run,
  method: 'POST',
  retries: () => null,
  path: '/',
  headers: [],
  body: Buffer.alloc(0),
};

const EXCHANGE: Omit<Exchange, 'response'> = {
  id: 'x',
  head: {
    attemptId: 'x',
    remainingTimeMs: 1000,
    parts: [],
    outputTokens: 1,
    lastEventId: null,
    resumes: null,
    authorization: undefined,
  },
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
    maxAttempts: 2,
    hasPrompts: true,
    resumable: false,
    isOpen: false,
  },
  service: 's',
  usesEngines: true,
  caller: '10.9.0.1',
  method: 'POST',
  path: '/',
  rawHeaders: [],
  body: Buffer.alloc(0),
  receivedAtMs: 0,
  endsAtMs: 1000,
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

/** The services of a gateway whose scheduler grants these plans, and what it did. */
interface Scene {
  readonly services: ForwardingServices;
  readonly sentTo: string[];
  readonly avoided: (readonly string[])[];
}

/** Starts a view with engines, and a scheduler that grants them in order; every send is answered. */
function createScene(
  view: FleetView,
  grants: readonly Pick<Plan, 'readAt' | 'streamAt'>[],
  onSent: () => void = () => undefined,
): Scene {
  const remainingGrants = [...grants];
  const avoided: (readonly string[])[] = [];
  const sentTo: string[] = [];
  const services = {
    view,
    wire: {
      targetHeaders: () => [],
      readAnswer: (status: number) => ({
        status,
        attemptId: 'x',
        notRun: false,
        encoded: false,
        ...NOTHING_ANNOUNCED,
        unknownHeaders: [],
      }),
      callerHeaders: () => [],
      gatewayResponseHeaders: () => ({}),
      readHandle: () => 'handle',
      handlePath: () => '/handle',
    } as unknown as CallerWire,
    transport: {
      exchange: () => Promise.resolve({ status: 200, headers: {}, body: Buffer.alloc(0) }),
      stream: (request: { origin: string }, handlers: Parameters<HttpTransport['stream']>[1]) => {
        sentTo.push(request.origin);
        setImmediate(() => {
          handlers.onSent?.();
          handlers.onStart(200, {}, []);
          onSent();
          handlers.onEnd();
        });
        return { stop: () => undefined, pause: () => undefined, resume: () => undefined };
      },
    },
    budgets: {
      noteRequest: () => undefined,
      reserve: () => ({ open: () => () => undefined, release: () => undefined }),
    },
    scheduling: {
      take: (_: string, job: () => { avoid: readonly string[]; id: string }) => {
        avoided.push(job().avoid);
        const grant = remainingGrants.shift() ?? { readAt: '', streamAt: null };
        const plan = {
          ...grant,
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
    crashes: NO_CRASHES,
    versions: ANY_VERSION,
    usage: NO_USAGE,
    pulse: { recordBytes: () => undefined, isInactive: () => false },
    onAnswerHead: () => undefined,
    elapsedMs: () => 0,
    standstill: { catchUp: () => null, whenCaughtUp: () => undefined },
    withholdReason: ({ id }: TargetEntry) =>
      servingTarget(view, id, 0) === null ? 'the target leaves' : null,
    availability: { unavailable: () => [], availableInMs: () => 0, callerRetryInMs: () => 0 },
    nowMs: () => 0,
    log: { info: () => undefined, warn: () => undefined },
    count: () => undefined,
    record: () => undefined,
  } as unknown as ForwardingServices;
  return { services, sentTo, avoided };
}

function createResponse(): ServerResponse {
  return {
    headersSent: false,
    destroyed: false,
    writeHead: () => undefined,
    end: () => undefined,
  } as unknown as ServerResponse;
}

describe('a grant of an engine', () => {
  // Otherwise, a leaving engine receives new work for seconds: the gateway that runs the scheduler
  // is cut off from the store and still grants the engine, while the one that forwards knows that
  // it leaves.
  it('that is leaving is rejected, and another engine is requested', async () => {
    const grants = ['leaving', 'staying'].map((readAt) => ({ readAt, streamAt: null }));
    const scene = createScene(viewWith({ leaving: true, staying: false }), grants);
    const exchange = { ...EXCHANGE, response: createResponse(), failedTargets: new Set<string>() };
    await forwardStream(exchange, scene.services);
    assert.deepEqual(scene.sentTo, ['http://staying:80']);
    assert.deepEqual(scene.avoided, [[], ['leaving']]);
  });

  // Otherwise, an engine that leaves while another one reads the prompt receives the stream seconds
  // after its departure was known.
  it('that leaves while the prompt is read does not receive the stream', async () => {
    const view = viewWith({ reader: false, leaving: false, staying: false });
    const leave = (): void => {
      applyChanges(view, [targetChange('leaving', true, 2)], 2, 0);
    };
    const grants = ['leaving', 'staying'].map((streamAt) => ({ readAt: 'reader', streamAt }));
    const scene = createScene(view, grants, leave);
    const exchange = { ...EXCHANGE, response: createResponse(), failedTargets: new Set<string>() };
    await forwardStream(exchange, scene.services);
    assert.deepEqual(scene.sentTo, ['http://reader:80', 'http://reader:80', 'http://staying:80']);
    assert.deepEqual(scene.avoided, [[], ['leaving']]);
  });
});

describe('a send to a target', () => {
  // Otherwise, a gateway that stalled sends to targets of whose departure it reads a moment later.
  it('that leaves while the gateway catches up after a stall is withheld', async () => {
    const view = viewWith({ leaving: false });
    const { services, sentTo } = createScene(view, []);
    const [target] = servingTargets(view, 's', 0);
    assert.ok(target !== undefined);
    const catchUp = (): Promise<void> => {
      applyChanges(view, [targetChange('leaving', true, 2)], 2, 0);
      return Promise.resolve();
    };
    const outcome = await sendToTarget(
      { ...services, standstill: { ...services.standstill, catchUp } },
      target,
      { ...REQUEST },
      { onHead: () => undefined, onBytes: () => null },
      EXCHANGE.signal,
    );
    assert.equal(outcome.kind, SendOutcomeKind.Withheld);
    assert.deepEqual(sentTo, []);
  });
});
