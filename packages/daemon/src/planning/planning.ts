/**
 * Runs planning in one entry. The entry is a candidate for the lease of each model service, plans
 * the services whose lease it holds, and reports the demand that it measures to the planner of each
 * service.
 */
import {
  type DemandReport,
  EventKind,
  type Member,
  MemberKind,
  MemberState,
  type Random,
  type ServiceSpec,
  TargetKind,
  takeDemandReport,
} from '@cassiamast/coordination';
import type { KeyValuePort, WeightStorePort } from '@cassiamast/ports';
import type { Policies } from '../entry/policies.js';
import type { TargetDirectory } from '../entry/target-directory.js';
import type { RpcClient } from '../node/rpc-client.js';
import type { Telemetry } from '../node/telemetry.js';
import { createPeriodic } from '../node/timers.js';
import type { ReceivedLoad } from '../protocol/load.js';
import { RpcMethod } from '../protocol/methods.js';
import type { Child } from '../supervisor/supervisor.js';
import { type LeaseDriver, createLeaseDriver } from './lease-driver.js';
import { plannerLeaseKey } from '../protocol/planning.js';
import { type ServicePlanner, createServicePlanner } from './service-planner.js';

const PLAN_INTERVAL_MS = 1_000;
const TICK_INTERVAL_MS = 200;

/** Dependencies of planning. */
export interface PlanningOptions {
  readonly selfId: string;
  readonly nowMs: () => number;
  readonly random: Random;
  readonly hash32: (text: string) => number;
  readonly keyValue: KeyValuePort;
  readonly weightStore: WeightStorePort | null;
  readonly rpc: RpcClient;
  readonly telemetry: Telemetry;
  readonly directory: TargetDirectory;
  readonly policies: Policies;
  readonly services: () => readonly ServiceSpec[];
  readonly present: () => readonly Member[];
  readonly sendDatagram: (member: string, method: RpcMethod, params: unknown) => void;
  readonly drainMs: () => number;
}

/** Planning of one entry with its periodic tasks. */
export interface Planning {
  readonly children: readonly Child[];
  readonly recordMissingLoad: (load: ReceivedLoad) => void;
  /** Accepts a demand report received in a datagram; ignores it if it is malformed. */
  readonly acceptDemandReport: (params: unknown) => void;
  /** Services for which this entry is the planner candidate and needs all load reports. */
  readonly plannedServices: () => readonly string[];
  readonly authorityOf: (service: string) => { readonly fence: number } | null;
  readonly roleChanges: (service: string) => number;
  readonly giveUp: () => void;
}

interface PlannedService {
  readonly lease: LeaseDriver;
  readonly planner: ServicePlanner;
}

/** Creates the planning of one entry. */
export function createPlanning(options: PlanningOptions): Planning {
  const { telemetry } = options;
  const planned = new Map<string, PlannedService>();
  let hasGivenUp = false;

  /**
   * Returns the entry that should hold a service's lease. Entries with the same view of the members
   * choose the same candidate.
   */
  function candidateOf(service: string): string | null {
    let best: { id: string; rank: number } | null = null;
    for (const { id, kind, state } of options.present()) {
      if (kind !== MemberKind.Entry || state !== MemberState.Alive) continue;
      const rank = options.hash32(`planner/${service}/${id}`);
      if (best === null || rank > best.rank) best = { id, rank };
    }
    return best?.id ?? null;
  }

  function isCandidate(service: string): boolean {
    return !hasGivenUp && candidateOf(service) === options.selfId;
  }

  function create(spec: ServiceSpec): PlannedService {
    const service = spec.name;
    const lease = createLeaseDriver({
      selfId: options.selfId,
      key: plannerLeaseKey(service),
      nowMs: options.nowMs,
      random: options.random,
      keyValue: options.keyValue,
      telemetry,
      isCandidate: () => isCandidate(service),
      onGained: (fence) => {
        telemetry.emit({ kind: EventKind.AuthorityGained, service, figures: { fence } });
      },
      onLost: (fence, reason) => {
        telemetry.emit({ kind: EventKind.AuthorityLost, service, reason, figures: { fence } });
      },
    });
    const planner = createServicePlanner({
      selfId: options.selfId,
      service,
      nowMs: options.nowMs,
      random: options.random,
      rpc: options.rpc,
      telemetry,
      lease,
      directory: options.directory,
      policy: () => options.policies.models().get(service) ?? null,
      entriesAlive: () =>
        options.present().filter((member) => member.kind === MemberKind.Entry).length,
      weightStore: options.weightStore,
      drainMs: options.drainMs,
    });
    return { lease, planner };
  }

  function syncServices(): void {
    const specs = options.services().filter((spec) => spec.kind === TargetKind.ModelEngine);
    const names = new Set(specs.map((spec) => spec.name));
    for (const [name, { lease }] of planned) {
      if (names.has(name)) continue;
      lease.giveUp();
      planned.delete(name);
    }
    for (const spec of specs) if (!planned.has(spec.name)) planned.set(spec.name, create(spec));
  }

  function tick(): void {
    syncServices();
    for (const [service, { lease, planner }] of planned) {
      // Only the candidate receives the demand of the other entries, so only it may keep the lease.
      if (lease.holds() && !isCandidate(service)) lease.giveUp();
      lease.tick();
      planner.tick();
    }
  }

  function sendDemand(): void {
    for (const [service, policy] of options.policies.models()) {
      const report = takeDemandReport(policy.meter, options.nowMs());
      const candidate = candidateOf(service);
      if (candidate === options.selfId) planned.get(service)?.planner.recordDemand(report);
      else if (candidate !== null) {
        options.sendDatagram(candidate, RpcMethod.DemandReport, encodeDemand(service, report));
      }
    }
  }

  async function plan(): Promise<void> {
    sendDemand();
    for (const { planner } of [...planned.values()]) await planner.plan();
  }

  return {
    children: [
      createPeriodic('leases', () => TICK_INTERVAL_MS, tick),
      createPeriodic('planning', () => PLAN_INTERVAL_MS, plan),
    ],
    recordMissingLoad: ({ report, missing }) => {
      for (const { planner } of planned.values()) planner.setMissingLoad(report.target, missing);
    },
    acceptDemandReport: (params) => {
      const received = decodeDemand(params, options.nowMs());
      if (received !== null) planned.get(received.service)?.planner.recordDemand(received.report);
    },
    plannedServices: () => [...planned.keys()].filter(isCandidate),
    authorityOf: (service) => {
      const lease = planned.get(service)?.lease;
      return lease?.holds() === true ? { fence: lease.state.fence } : null;
    },
    roleChanges: (service) => planned.get(service)?.planner.roleChanges() ?? 0,
    giveUp: () => {
      hasGivenUp = true;
      for (const { lease } of planned.values()) lease.giveUp();
    },
  };
}

function encodeDemand(service: string, report: DemandReport): readonly unknown[] {
  const { entry, sequence, spanMs, requests, prefillMs, savedMs, decodeMs } = report;
  return [
    service,
    entry,
    sequence,
    Math.round(spanMs),
    requests,
    Math.round(prefillMs),
    Math.round(savedMs),
    Math.round(decodeMs),
  ];
}

function decodeDemand(
  params: unknown,
  nowMs: number,
): { readonly service: string; readonly report: DemandReport } | null {
  if (!Array.isArray(params)) return null;
  const [service, entry, ...figures] = params as unknown[];
  if (typeof service !== 'string' || typeof entry !== 'string') return null;
  if (!figures.every((figure): figure is number => typeof figure === 'number')) return null;
  const [sequence = 0, spanMs = 0, requests = 0, prefillMs = 0, savedMs = 0] = figures;
  const decodeMs = figures[5] ?? 0;
  const work = { prefillMs, savedMs, decodeMs };
  const report = { entry, atMs: nowMs, sequence, spanMs, requests, ...work };
  return { service, report };
}
