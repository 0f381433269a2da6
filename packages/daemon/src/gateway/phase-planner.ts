/**
 * Keeps the split of engines between reading prompts and making tokens. One gateway gives orders to
 * the engines of a service: the one that schedules it, while it holds the service's lease. It says
 * nothing while it is unsure: without a fresh lease, without fresh news of the fleet, or while the
 * answer to an earlier order to the same engine may still be on its way.
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
  shortByLimits,
} from '@cassiamast/coordination';
import { type EngineControlPort, type LeaseStore, OrderAnswer } from '@cassiamast/ports';
import { type LeaseDriver, createLeaseDriver } from '../planning/lease-driver.js';
import type { Child } from '../supervisor/supervisor.js';
import { createPeriodic } from '../node/timers.js';
import type { GatewayLog } from './gateway-log.js';
import type { SchedulingService } from './scheduling-service.js';

const TICK_MS = 250;
/** The fleet must have been confirmed so lately: two questions for changes. */
const MAX_NEWS_AGE_MS = 4000;
/** No calls for so long: engines can be changed without anybody waiting for them. */
const IDLE_MS = 1500;
/** An order and the change it starts take some seconds; until then its engine is left alone. */
const CHANGE_MS = 6000;
/** An order without an answer may be carried out so much later. */
const UNANSWERED_MS = 13_000;
/** Where the split is wrong for a moment only, it comes right by itself: a target restarts. */
const WRONG_FOR_MS = 2500;
/** Engines that name rate limits say so themselves, and callers are refused meanwhile. */
const SHORT_FOR_MS = 500;
/** Times that the peak of streams is remembered: one burst and the lull after it. */
const PEAK_MEMORY_MS = 10_000;

/**
 * The lease of a service's planner. A holder stops two seconds after its last renewal; its
 * successor gives no order until six seconds after it took the key. So even where the key was taken
 * away unseen, some four seconds lie between the last order of one and the first of the other, and
 * no engine ever sees two holders by turns.
 */
const PLANNER_LEASE: LeaseOptions = {
  ttlMs: 4000,
  renewIntervalMs: 1000,
  safetyMs: 2000,
  waitOutMs: 6000,
  retryMs: 1000,
  guards: { fencesItself: true, waitsOut: true },
};

/** What the planner needs. */
export interface PhasePlannerOptions {
  readonly selfId: string;
  readonly view: FleetView;
  readonly store: LeaseStore;
  readonly control: EngineControlPort;
  readonly schedulers: SchedulingService;
  readonly random: Random;
  /** Counts suspended time as well. */
  readonly elapsedMs: () => number;
  readonly nowMs: () => number;
  readonly isScheduler: (service: string) => boolean;
  /** Whether an engine names a rate limit that is used up. */
  readonly isLimited: (target: string) => boolean;
  readonly log: GatewayLog;
  readonly count: (name: string) => void;
}

/** Makes the planner of all services. */
export function createPhasePlanner(options: PhasePlannerOptions): Child {
  const services = new Map<string, ServicePhases>();

  function tick(): void {
    for (const spec of options.view.table?.servicesByName.values() ?? []) {
      if (spec.engine === null) continue;
      const known = services.get(spec.name) ?? createServicePhases(spec.name, options);
      services.set(spec.name, known);
      known.tick();
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

/** The phases of one service. */
interface ServicePhases {
  readonly tick: () => void;
  readonly giveUp: () => void;
}

function createServicePhases(service: string, options: PhasePlannerOptions): ServicePhases {
  const { view, control, schedulers, log, nowMs, elapsedMs } = options;
  const changingUntilMs = new Map<string, number>();
  let busyAtMs = nowMs();
  let rightAtMs = nowMs();
  let peak = { streams: 0, atMs: nowMs() };
  const lease: LeaseDriver = createLeaseDriver({
    selfId: options.selfId,
    service,
    nowMs: elapsedMs,
    random: options.random,
    keyValue: options.store,
    telemetry: { count: options.count },
    leaseOptions: PLANNER_LEASE,
    isCandidate: () => options.isScheduler(service) && hasFreshNews(),
    onGained: (fence) => {
      log.info('planner lease gained', { service, fence });
    },
    onLost: (fence, reason) => {
      log.warn('planner lease lost', { service, fence, reason });
    },
  });

  function hasFreshNews(): boolean {
    return view.table !== null && nowMs() - view.confirmedAtMs <= MAX_NEWS_AGE_MS;
  }

  function mayOrder(): boolean {
    return lease.mayOrder() && hasFreshNews();
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
    if (requests > 0) busyAtMs = now;
    if (requests >= peak.streams || now - peak.atMs > PEAK_MEMORY_MS) {
      peak = { streams: requests, atMs: now };
    }
  }

  function tick(): void {
    lease.tick();
    const now = nowMs();
    for (const [id, untilMs] of changingUntilMs) if (untilMs <= now) changingUntilMs.delete(id);
    const known = engines();
    noteLoad(known.reduce((sum, engine) => sum + engine.requests, 0));
    const isIdle = now - busyAtMs > IDLE_MS;
    const wanted = choosePhaseOrders(known, peak.streams, isIdle, PHASE_SPLIT_OPTIONS);
    if (wanted.length === 0) rightAtMs = now;
    const waitMs = isShortByLimits(known) ? SHORT_FOR_MS : WRONG_FOR_MS;
    if (now - rightAtMs < waitMs || !mayOrder()) return;
    for (const order of wanted) void give(order);
  }

  function isShortByLimits(known: readonly PhaseEngine[]): boolean {
    const wanted = decodeEnginesWanted(known.length, peak.streams, PHASE_SPLIT_OPTIONS);
    return shortByLimits(known, wanted) > 0;
  }

  async function give({ engineId, phase }: PhaseOrder): Promise<void> {
    const target = view.targets.get(engineId)?.entry;
    if (target === undefined) return;
    changingUntilMs.set(engineId, nowMs() + CHANGE_MS);
    const standing = await control.readStanding(target);
    if (standing.isErr()) {
      log.warn('engine not read', { target: engineId, cause: standing.error.message });
      return;
    }
    if (standing.value.busy || standing.value.phase === phase) return;
    // Asked again right before sending: the lease may have run out during the reading.
    if (!mayOrder() || !view.targets.has(engineId)) return;
    await send(target, phase, standing.value.ordersAccepted);
  }

  async function send(
    target: TargetEntry,
    phase: EnginePhase,
    ordersAccepted: number,
  ): Promise<void> {
    const authority = { holder: options.selfId, fence: lease.state.fence };
    const answer = await control.orderPhase(target, phase, authority, ordersAccepted);
    const outcome = answer.match(
      (said) => said as string,
      (failure) => failure.message,
    );
    options.count('phase_orders_total');
    log.info('phase ordered', { target: target.id, service, phase, ...authority, outcome });
    const accepted = answer.isOk() && answer.value === OrderAnswer.Accepted;
    const untilMs = nowMs() + (answer.isErr() ? UNANSWERED_MS : CHANGE_MS);
    changingUntilMs.set(target.id, untilMs);
    if (accepted) schedulers.suspend(service, target.id, nowMs() + CHANGE_MS);
  }

  return {
    tick,
    giveUp: () => {
      lease.giveUp();
    },
  };
}
