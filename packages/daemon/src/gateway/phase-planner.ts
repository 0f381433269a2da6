/**
 * Maintains the split of a service's engines between prefill and decode. Only the gateway that
 * schedules the service and holds its planner lease sends orders to the engines. It sends none
 * without a fresh lease, without a recent view of the fleet, or while an earlier order to the same
 * engine may still be pending.
 */
import {
  type EnginePhase,
  type FleetView,
  type LeaseOptions,
  PHASE_SPLIT_OPTIONS,
  type PhaseEngine,
  type PhaseOrder,
  type Random,
  type TargetEntry,
  choosePhaseOrders,
  decodeEnginesWanted,
  servingTargets,
  limitedDecodeShortage,
} from '@cassiamast/coordination';
import { type EngineControlPort, type LeaseStore, OrderAnswer } from '@cassiamast/ports';
import { type LeaseDriver, createLeaseDriver } from '../planning/lease-driver.js';
import { plannerLeaseKey } from '../protocol/planning.js';
import type { Child } from '../supervisor/supervisor.js';
import { createPeriodic } from '../node/timers.js';
import type { GatewayLog } from './gateway-log.js';
import type { SchedulingService } from './scheduling-service.js';

const TICK_MS = 250;
/** Maximum age of the fleet view for sending orders: the time of two calls for changes. */
const MAX_VIEW_AGE_MS = 4000;
/** A service without requests for this long is idle: changing its engines delays no request. */
const IDLE_AFTER_MS = 1500;
/**
 * An order and the change it starts take some seconds; the engine gets no other order until then.
 */
const PHASE_CHANGE_MS = 6000;
/** An order that was not answered may still be executed within this time. */
const UNANSWERED_ORDER_MS = 13_000;
/**
 * How long the split must be wrong before it is changed; the restart of a target corrects itself.
 */
const WRONG_SPLIT_DELAY_MS = 2500;
/**
 * The same delay where engines are short because of rate limits. It is shorter because engines
 * report the limits themselves and callers are refused meanwhile.
 */
const RATE_LIMITED_DELAY_MS = 500;
/** How long the peak number of streams counts: one burst and the quiet time after it. */
const PEAK_WINDOW_MS = 10_000;

/**
 * The lease of a service's planner. A holder sends no orders later than two seconds after its last
 * renewal, and its successor sends none until six seconds after acquiring the key. Even if the
 * holder does not notice that it lost the key, about four seconds separate its last order from the
 * first order of its successor, so no engine receives orders from two holders alternately.
 */
const PLANNER_LEASE: LeaseOptions = {
  ttlMs: 4000,
  renewIntervalMs: 1000,
  safetyMs: 2000,
  takeoverDelayMs: 6000,
  retryMs: 1000,
  guards: { stopsBeforeExpiry: true, waitsForOldTickets: true },
};

/** Dependencies of the planner. */
export interface PhasePlannerOptions {
  readonly selfId: string;
  readonly view: FleetView;
  readonly store: LeaseStore;
  readonly control: EngineControlPort;
  readonly schedulers: SchedulingService;
  readonly random: Random;
  /** A clock that includes the time during which the VM is suspended. */
  readonly elapsedMs: () => number;
  readonly nowMs: () => number;
  readonly isScheduler: (service: string) => boolean;
  /** Whether an engine announced a rate limit that is used up, or that it leaves. */
  readonly isLimited: (target: string) => boolean;
  readonly log: GatewayLog;
  readonly count: (name: string) => void;
}

/** Creates the planner for all services. */
export function createPhasePlanner(options: PhasePlannerOptions): Child {
  const services = new Map<string, ServicePhases>();

  function tick(): void {
    for (const spec of options.view.table?.servicesByName.values() ?? []) {
      if (spec.engine === null) continue;
      const phases = services.get(spec.name) ?? createServicePhases(spec.name, options);
      services.set(spec.name, phases);
      phases.tick();
    }
  }

  const periodic = createPeriodic('phase-planner', () => TICK_MS, tick);
  return {
    ...periodic,
    stop: async () => {
      await periodic.stop();
      for (const service of services.values()) service.giveUp();
    },
  };
}

/** Plans the engine phases of one service. */
interface ServicePhases {
  readonly tick: () => void;
  readonly giveUp: () => void;
}

function createServicePhases(service: string, options: PhasePlannerOptions): ServicePhases {
  const { view, control, schedulers, log, nowMs, elapsedMs } = options;
  const changingUntilMs = new Map<string, number>();
  let lastBusyAtMs = nowMs();
  let lastCorrectAtMs = nowMs();
  let peak = { streams: 0, atMs: nowMs() };
  const lease: LeaseDriver = createLeaseDriver({
    selfId: options.selfId,
    key: plannerLeaseKey(service),
    nowMs: elapsedMs,
    random: options.random,
    keyValue: options.store,
    telemetry: { count: options.count },
    leaseOptions: PLANNER_LEASE,
    isCandidate: () => options.isScheduler(service) && hasFreshView(),
    onGained: (fence) => {
      log.info('planner lease gained', { service, fence });
    },
    onLost: (fence, reason) => {
      log.warn('planner lease lost', { service, fence, reason });
    },
  });

  function hasFreshView(): boolean {
    return view.table !== null && nowMs() - view.confirmedAtMs <= MAX_VIEW_AGE_MS;
  }

  function mayOrder(): boolean {
    return lease.mayOrder() && hasFreshView();
  }

  function engines(): readonly PhaseEngine[] {
    const now = nowMs();
    const requests = schedulers.engineRequests(service);
    return servingTargets(view, service, nowMs()).flatMap(({ id, failureDomain, phase }) => {
      if (phase === null) return [];
      const changing = (changingUntilMs.get(id) ?? 0) > now;
      return {
        id,
        failureDomain,
        phase,
        changing,
        usable: true,
        requests: requests.get(id) ?? 0,
        limited: options.isLimited(id),
      };
    });
  }

  function noteLoad(requests: number): void {
    const now = nowMs();
    if (requests > 0) lastBusyAtMs = now;
    if (requests >= peak.streams || now - peak.atMs > PEAK_WINDOW_MS) {
      peak = { streams: requests, atMs: now };
    }
  }

  /** Forgets what was seen of the load, which other gateways may have scheduled meanwhile. */
  function forgetLoad(): void {
    lastBusyAtMs = nowMs();
    lastCorrectAtMs = nowMs();
    peak = { streams: 0, atMs: nowMs() };
  }

  function tick(): void {
    lease.tick();
    // Most gateways order nothing; looking at all engines would cost each of them more than the rest.
    if (!lease.holds() && !options.isScheduler(service)) {
      forgetLoad();
      return;
    }
    const now = nowMs();
    for (const [id, untilMs] of changingUntilMs) if (untilMs <= now) changingUntilMs.delete(id);
    const phaseEngines = engines();
    noteLoad(phaseEngines.reduce((sum, engine) => sum + engine.requests, 0));
    const isIdle = now - lastBusyAtMs > IDLE_AFTER_MS;
    const orders = choosePhaseOrders(phaseEngines, peak.streams, isIdle, PHASE_SPLIT_OPTIONS);
    if (orders.length === 0) lastCorrectAtMs = now;
    const delayMs = isShortByLimits(phaseEngines) ? RATE_LIMITED_DELAY_MS : WRONG_SPLIT_DELAY_MS;
    if (now - lastCorrectAtMs < delayMs || !mayOrder()) return;
    for (const order of orders) void changePhase(order);
  }

  function isShortByLimits(phaseEngines: readonly PhaseEngine[]): boolean {
    const wantedEngines = decodeEnginesWanted(
      phaseEngines.length,
      peak.streams,
      PHASE_SPLIT_OPTIONS,
    );
    return limitedDecodeShortage(phaseEngines, wantedEngines) > 0;
  }

  async function changePhase({ engineId, phase }: PhaseOrder): Promise<void> {
    const target = view.targets.get(engineId)?.entry;
    if (target === undefined) return;
    changingUntilMs.set(engineId, nowMs() + PHASE_CHANGE_MS);
    const standing = await control.readStatus(target);
    if (standing.isErr()) {
      log.warn('engine status not read', { target: engineId, cause: standing.error.message });
      return;
    }
    if (standing.value.busy || standing.value.phase === phase) return;
    // Checked again right before sending: the lease may have expired while the engine was read.
    if (!mayOrder() || !view.targets.has(engineId)) return;
    await sendOrder(target, phase, standing.value.ordersAccepted);
  }

  async function sendOrder(
    target: TargetEntry,
    phase: EnginePhase,
    ordersAccepted: number,
  ): Promise<void> {
    const authority = { holder: options.selfId, fence: lease.state.fence };
    const answer = await control.orderPhase(target, phase, authority, ordersAccepted);
    const outcome = answer.match(
      (orderAnswer) => orderAnswer as string,
      (failure) => failure.message,
    );
    options.count('phase_orders_total');
    log.info('phase ordered', { target: target.id, service, phase, ...authority, outcome });
    const accepted = answer.isOk() && answer.value === OrderAnswer.Accepted;
    const untilMs = nowMs() + (answer.isErr() ? UNANSWERED_ORDER_MS : PHASE_CHANGE_MS);
    changingUntilMs.set(target.id, untilMs);
    if (accepted) schedulers.suspend(service, target.id, nowMs() + PHASE_CHANGE_MS);
  }

  return {
    tick,
    giveUp: () => {
      lease.giveUp();
    },
  };
}
