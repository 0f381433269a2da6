/**
 * Plans one service: decides once a second which engines change their role and which models they
 * load. Only the entry that holds the lease of the service decides; the others just collect reports.
 */
import {
  ChangeKind,
  DEFAULT_ENGINE_PROFILE,
  DEFAULT_PLANNER_OPTIONS,
  type DemandReport,
  type EngineRole,
  EventKind,
  type Failure,
  LOAD_OPTIONS,
  LoadOutcome,
  type LoadState,
  type LoadRequest,
  type PlannerTarget,
  type Random,
  type RolePlanner,
  type ServiceSpec,
  type TargetSpec,
  admitChanges,
  createLoads,
  createRolePlanner,
  loadEnded,
  planLoads,
  planRoles,
} from '@cassiamast/coordination';
import { OrderKind, type WeightStorePort } from '@cassiamast/ports';
import type { ModelPolicy } from '../entry/model-policy.js';
import type { TargetDirectory } from '../entry/target-directory.js';
import { formatAddress } from '../node/address.js';
import type { RpcClient } from '../node/rpc-client.js';
import type { Telemetry } from '../node/telemetry.js';
import type { MissingLoad } from '../protocol/load.js';
import type { LeaseDriver } from './lease-driver.js';
import { type OrderDriver, createOrderDriver } from './order-driver.js';

/** Exceeds the number of entries of a fleet of the intended size. */
const MAX_DEMAND_REPORTS = 1_024;

/** Dependencies of the planner. */
export interface ServicePlannerOptions {
  readonly selfId: string;
  readonly service: string;
  readonly nowMs: () => number;
  readonly random: Random;
  readonly rpc: RpcClient;
  readonly telemetry: Telemetry;
  readonly lease: LeaseDriver;
  readonly directory: TargetDirectory;
  readonly policy: () => ModelPolicy | null;
  readonly entriesAlive: () => number;
  readonly weightStore: WeightStorePort | null;
  readonly drainMs: () => number;
}

/** Planner of one service. */
export interface ServicePlanner {
  readonly recordDemand: (report: DemandReport) => void;
  readonly setMissingLoad: (target: string, missing: MissingLoad | null) => void;
  /** Makes the next decisions; to be called once a second. */
  readonly plan: () => Promise<void>;
  /** Advances the orders in progress; to be called a few times a second. */
  readonly tick: () => void;
  readonly roleChanges: () => number;
}

interface ActiveOrder {
  readonly driver: OrderDriver;
  readonly role: EngineRole | null;
}

/** Creates the planner of one service. */
export function createServicePlanner(options: ServicePlannerOptions): ServicePlanner {
  const { telemetry, lease, directory } = options;
  const demand = new Map<string, DemandReport>();
  const missing = new Map<string, MissingLoad>();
  const inFlight = new Map<string, ActiveOrder>();
  let planner: RolePlanner | null = null;
  let loads: LoadState | null = null;
  let roleChanges = 0;

  function plannerOf(spec: ServiceSpec): RolePlanner {
    planner ??= createRolePlanner({
      ...DEFAULT_PLANNER_OPTIONS,
      service: spec.name,
      profile: DEFAULT_ENGINE_PROFILE,
      floorTargets: spec.floorTargets,
    });
    return planner;
  }

  function createTargetViews(spec: ServiceSpec, policy: ModelPolicy): readonly PlannerTarget[] {
    return spec.targets.flatMap((target) => {
      const view = policy.router.views.get(target.name);
      if (view === undefined) return [];
      return {
        name: target.name,
        failureDomain: target.failureDomain,
        role: view.role,
        accepting: view.accepting,
        changingTo: inFlight.get(target.name)?.role ?? null,
        report: view.report,
      };
    });
  }

  function planRoleChanges(spec: ServiceSpec): void {
    const policy = options.policy();
    if (policy === null || !spec.rolesMayChange) return;
    const view = {
      targets: createTargetViews(spec, policy),
      demand: [...demand.values()],
      entriesAlive: options.entriesAlive(),
    };
    const { orders, events } = planRoles(plannerOf(spec), view, options.nowMs());
    for (const event of events) telemetry.emit(event);
    for (const { target, role } of orders) {
      if (mayStartChange(spec, target, ChangeKind.RoleChange)) issueRoleOrder(spec, target, role);
    }
  }

  /**
   * Checks the minimum number of targets and the rule that only one failure domain changes at a
   * time, with regard to the orders in progress.
   */
  function mayStartChange(spec: ServiceSpec, target: string, kind: ChangeKind): boolean {
    const snapshot = {
      name: spec.name,
      dependsOn: spec.dependsOn,
      floorTargets: spec.floorTargets,
      removed: false,
      targets: spec.targets.map((one) => ({
        name: one.name,
        failureDomain: one.failureDomain,
        serving: directory.isOpen(one),
      })),
    };
    const request = {
      id: `${target}/${kind}`,
      kind,
      service: spec.name,
      target,
      forced: false,
      requestedAtMs: options.nowMs(),
    };
    return admitChanges([snapshot], [request], new Set(inFlight.keys())).admitted.length > 0;
  }

  function issueRoleOrder(spec: ServiceSpec, target: string, role: EngineRole): void {
    const found = spec.targets.find((one) => one.name === target);
    if (found === undefined) return;
    issueOrder(found, role, true, { kind: OrderKind.SetRole, role }, (failure) => {
      if (failure === null) roleChanges += 1;
    });
  }

  function issueOrder(
    target: TargetSpec,
    role: EngineRole | null,
    drains: boolean,
    body: Readonly<Record<string, unknown>>,
    onEnded: (failure: Failure | null) => void,
  ): void {
    const service = options.service;
    const driver = createOrderDriver({
      planner: options.selfId,
      fence: lease.state.fence,
      sidecar: formatAddress(target.sidecar),
      body,
      drains,
      drainGiveUpMs: options.drainMs(),
      nowMs: options.nowMs,
      rpc: options.rpc,
      mayOrder: lease.mayOrder,
      onSent: () => {
        const figures = { ...stringifyValues(body), fence: lease.state.fence };
        telemetry.emit({ kind: EventKind.OrderGiven, service, target: target.name, figures });
      },
      onEnded: (failure) => {
        inFlight.delete(target.name);
        onEnded(failure);
      },
    });
    inFlight.set(target.name, { driver, role });
  }

  async function planLoading(spec: ServiceSpec): Promise<void> {
    const { weightStore } = options;
    const requests = findRequestedLoads(spec);
    if (weightStore === null || requests.length === 0) return;
    const status = await weightStore.status();
    if (status.isErr() || !lease.mayOrder()) return;
    loads ??= createLoads(LOAD_OPTIONS, options.nowMs());
    const context = { nowMs: options.nowMs(), random: options.random };
    for (const load of planLoads(loads, requests, status.value, context)) issueLoad(spec, load);
  }

  function findRequestedLoads(spec: ServiceSpec): readonly LoadRequest[] {
    return spec.targets.flatMap((target) => {
      const load = missing.get(target.name);
      if (load === undefined || inFlight.has(target.name) || !directory.isOpen(target)) return [];
      const sizeMb = spec.models.find((model) => model.name === load.model)?.sizeMb ?? 0;
      return {
        ...load,
        target: target.name,
        service: spec.name,
        failureDomain: target.failureDomain,
        sizeMb,
        holders: spec.targets.length - missing.size,
      };
    });
  }

  function issueLoad(spec: ServiceSpec, load: LoadRequest): void {
    const target = spec.targets.find((one) => one.name === load.target);
    if (target === undefined) return;
    const { model, version, adapter } = load;
    const figures = { model, version, adapter: adapter ?? '', holders: load.holders };
    const reason = 'the engine lacks it and the weight store has room';
    telemetry.emit({
      kind: EventKind.LoadDecision,
      service: spec.name,
      target: load.target,
      reason,
      figures,
    });
    const body = { kind: OrderKind.LoadModel, model, version, adapter };
    issueOrder(target, null, false, body, (failure) => {
      if (loads === null) return;
      const outcome = failure === null ? LoadOutcome.Done : LoadOutcome.Failed;
      loadEnded(loads, load.target, outcome, {
        nowMs: options.nowMs(),
        random: options.random,
      });
      if (failure === null) missing.delete(load.target);
    });
  }

  return {
    recordDemand: (report) => {
      if (demand.size >= MAX_DEMAND_REPORTS && !demand.has(report.entry)) return;
      demand.set(report.entry, report);
    },
    setMissingLoad: (target, load) => {
      if (load === null) missing.delete(target);
      else missing.set(target, load);
    },
    plan: async () => {
      const spec = directory.service(options.service);
      if (spec === null || !lease.mayOrder()) return;
      planRoleChanges(spec);
      await planLoading(spec);
    },
    tick: () => {
      for (const { driver } of [...inFlight.values()]) driver.tick();
    },
    roleChanges: () => roleChanges,
  };
}

function stringifyValues(body: Readonly<Record<string, unknown>>): Record<string, string> {
  return Object.fromEntries(Object.entries(body).map(([name, value]) => [name, String(value)]));
}
