/** Tests that a scheduler follows the priorities of the routes in the configuration in force. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  Activation,
  DecisionKind,
  DeliveryKind,
  EnginePhase,
  FleetChangeKind,
  type Route,
  SCHEDULER_OPTIONS,
  UNLIMITED,
  applyChanges,
  createFleetView,
} from '@cassiamast/coordination';
import type { EngineControlPort } from '@cassiamast/ports';
import { okAsync } from 'neverthrow';
import {
  type JobRequest,
  type SchedulingService,
  createSchedulingService,
} from '../../src/gateway/scheduling-service.js';

const SERVICE = 's';
const ENGINE_ID = 'engine-1';
const WAIT_MS = 1;

function route(pathPrefix: string, priority: number): Route {
  return {
    name: pathPrefix,
    host: 'h',
    pathPrefix,
    kind: DeliveryKind.Stream,
    timeoutMs: 4000,
    targetLatencyMs: 500,
    targetGapMs: 0,
    priority,
    shares: [{ service: SERVICE, weight: 1 }],
    maxAttempts: 1,
    hasPrompts: true,
    resumable: false,
    isOpen: true,
  };
}

/** Returns a job that cannot be on time and can be answered before its deadline. */
function lateJob(id: string): JobRequest {
  return {
    id,
    route: '/a/',
    priority: 0,
    parts: [{ id, tokens: 9000 }],
    outputTokens: 10,
    failureDomain: 'd',
    gateway: 'g',
    aimInMs: 1,
    deadlineInMs: 4000,
    avoid: [],
  };
}

/** Returns a service with one engine, and changes the priority of its second route. */
function startService(): {
  readonly service: SchedulingService;
  readonly configure: (version: number, secondPriority: number) => void;
} {
  const view = createFleetView();
  const engine = {
    slots: 64,
    kvCapacityTokens: 400_000,
    kvTokenBytes: 18_432,
    linkMbps: 370_000,
    kvRetentionMs: 5000,
  };
  const service = createSchedulingService({
    view,
    control: { readCache: () => okAsync([]) } as unknown as EngineControlPort,
    permits: UNLIMITED,
    scheduler: { ...SCHEDULER_OPTIONS, lateJobsWait: Activation.WhenPrioritiesDiffer },
    nowMs: () => 0,
    log: { info: () => undefined, warn: () => undefined, lifecycle: () => undefined },
    onGranted: () => undefined,
  });
  const target = {
    id: ENGINE_ID,
    name: ENGINE_ID,
    bornAtMs: 0,
    version: 'v1',
    service: SERVICE,
    address: `${ENGINE_ID}:80`,
    failureDomain: 'd',
    slots: 64,
    draining: false,
    phase: EnginePhase.Both,
  };
  applyChanges(view, [{ kind: FleetChangeKind.Target, revision: 1, target }], 1, 0);
  const configure = (version: number, secondPriority: number): void => {
    const configuration = {
      version,
      routes: [route('/a/', 0), route('/b/', secondPriority)],
      services: [{ name: SERVICE, maxConnections: 100, engine }],
      workspaces: null,
      limits: { maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    };
    const revision = version + 1;
    const kind = FleetChangeKind.Configuration;
    applyChanges(view, [{ kind, revision, configuration }], revision, 0);
    service.refresh();
  };
  return { service, configure };
}

describe('a scheduler of a gateway', () => {
  // Services with one priority are served as before; the rules for several apply only to others.
  it('lets late jobs wait only while the routes of its service differ in priority', async (context) => {
    const { service, configure } = startService();
    context.after(service.stop);
    configure(1, 0);
    const first = await service.take(SERVICE, lateJob('1'), WAIT_MS);
    assert.equal(first?.kind, DecisionKind.Run);
    const refused = await service.take(SERVICE, lateJob('2'), WAIT_MS);
    assert.equal(refused?.kind, DecisionKind.Refuse);
    configure(2, 1);
    assert.equal(await service.take(SERVICE, lateJob('3'), WAIT_MS), null);
    configure(3, 0);
    const refusedAgain = await service.take(SERVICE, lateJob('4'), WAIT_MS);
    assert.equal(refusedAgain?.kind, DecisionKind.Refuse);
  });
});
