/** Plays one policy on one service's trace and gives its figures. */
import { EngineRole, transferMs } from '@cassiamast/coordination';
import type { Hash32, PlannerTarget, PlannerView } from '@cassiamast/coordination';
import { changeRole, crash, isAccepting, moveOne, restart } from '../fake-engine/fake-engine.js';
import type { FakeEngine, FakeJob } from '../fake-engine/fake-engine.js';
import { runUntil, schedule } from '../fake-engine/virtual-clock.js';
import { announceEngine, announceTargets, createFleet, startReports } from './fleet.js';
import type { Fleet } from './fleet.js';
import type { PlanRoles, Policy } from './policy.js';
import { arrive, pumpEntry } from './request-flow.js';
import { POINT_MS, worstWaitRatio } from './statistics.js';
import type { Statistics } from './statistics.js';
import { FaultKind } from './trace.js';
import type { ServiceTrace, TraceFault } from './trace.js';

/** Figures of one run. */
export interface RunResult {
  readonly policy: string;
  readonly goodputPerS: number;
  readonly roleChanges: number;
  readonly ttftP95Ms: number;
  readonly interTokenP95Ms: number;
  readonly shedNotRun: number;
  readonly worstWorkspaceWaitRatio: number;
  readonly statistics: Statistics;
}

/** Time after the last arrival in which answers still end. */
const TAIL_MS = 120_000;

/** How often the planner looks. */
const PLAN_MS = 1000;

/** Plays the trace. */
export function runService(
  trace: ServiceTrace,
  policy: Policy,
  hash32: Hash32,
  seed: number,
): RunResult {
  const fleet = createFleet(trace, policy, hash32, seed);
  announceTargets(fleet);
  startReports(fleet, (entry) => {
    pumpEntry(fleet, entry);
  });
  scheduleArrivals(fleet);
  for (const fault of trace.faults) {
    schedule(fleet.clock, fault.atMs, () => {
      applyFault(fleet, fault);
    });
  }
  if (policy.makePlanner !== null) startPlanner(fleet, policy.makePlanner(trace.service));
  watchRoles(fleet);
  runUntil(fleet.clock, trace.durationMs + TAIL_MS);
  return resultOf(fleet);
}

function scheduleArrivals(fleet: Fleet): void {
  let next = 0;
  const tick = (): void => {
    const request = fleet.trace.requests[next];
    if (request === undefined) return;
    next += 1;
    arrive(fleet, request);
    const following = fleet.trace.requests[next];
    if (following !== undefined) schedule(fleet.clock, following.atMs, tick);
  };
  const first = fleet.trace.requests[0];
  if (first !== undefined) schedule(fleet.clock, first.atMs, tick);
}

function applyFault(fleet: Fleet, fault: TraceFault): void {
  const engine = fleet.engines[fault.engine];
  if (engine === undefined) return;
  switch (fault.kind) {
    case FaultKind.Crash:
      crash(engine);
      announceLater(fleet);
      return;
    case FaultKind.Restart:
      restart(engine);
      announceLater(fleet);
      return;
    case FaultKind.Withdraw:
      engine.draining = true;
      announceLater(fleet);
      return;
    case FaultKind.Slow:
      engine.slowness = 3;
  }
}

/** Time in which the membership finds that a process is dead or back. */
const MEMBERSHIP_MS = 3000;

function announceLater(fleet: Fleet): void {
  schedule(fleet.clock, fleet.clock.nowMs + MEMBERSHIP_MS, () => {
    announceTargets(fleet);
  });
}

function startPlanner(fleet: Fleet, plan: PlanRoles): void {
  const tick = (): void => {
    const nowMs = fleet.clock.nowMs;
    const away = fleet.trace.outages.some(
      (outage) => nowMs >= outage.fromMs && nowMs < outage.toMs,
    );
    // Without the key-value service there is no authority: the planner watches, but orders nothing.
    const orders = plan(plannerView(fleet), nowMs);
    if (!away) for (const order of orders) carryOut(fleet, order.target, order.role);
    if (nowMs < fleet.trace.durationMs) schedule(fleet.clock, nowMs + PLAN_MS, tick);
  };
  schedule(fleet.clock, PLAN_MS, tick);
}

function carryOut(fleet: Fleet, target: string, role: EngineRole): void {
  const engine = fleet.byName.get(target);
  if (engine === undefined || !isAccepting(engine)) return;
  changeRole(engine, role, () => {
    announceEngine(fleet, engine, () => undefined);
  });
  announceEngine(fleet, engine, () => undefined);
  if (fleet.policy.movesAnswers && role === EngineRole.Prefill) moveAnswers(fleet, engine);
}

/** Hands the running answers out one after the other, so that the link is never shared. */
function moveAnswers(fleet: Fleet, engine: FakeEngine): void {
  const move = (): void => {
    if (engine.changingTo === null) return;
    if (!moveOne(engine, isWorthMoving)) return;
    const meanTokens = engine.contextTokens / Math.max(1, engine.running.size);
    schedule(fleet.clock, fleet.clock.nowMs + transferMs(engine.profile, meanTokens), move);
  };
  // Entries hear of the drain first, or they would send new work here while it empties.
  schedule(fleet.clock, fleet.clock.nowMs + DRAIN_NEWS_MS, move);
}

/** Time in which entries hear that a target drains. */
const DRAIN_NEWS_MS = 500;

/** An answer that ends within this many tokens ends here sooner than the drain is over. */
const WORTH_MOVING_TOKENS = 30;

function isWorthMoving(job: FakeJob): boolean {
  return job.leftTokens > WORTH_MOVING_TOKENS;
}

function plannerView(fleet: Fleet): PlannerView {
  return {
    targets: fleet.engines
      .filter((engine) => engine.alive)
      .map((engine) => plannerTarget(fleet, engine)),
    demand: [...fleet.plannerDemand.values()],
    entriesAlive: fleet.entries.length,
  };
}

function plannerTarget(fleet: Fleet, engine: FakeEngine): PlannerTarget {
  return {
    name: engine.name,
    failureDomain: engine.failureDomain,
    role: engine.role,
    accepting: isAccepting(engine),
    changingTo: engine.changingTo,
    report: fleet.plannerReports.get(engine.name) ?? null,
  };
}

function watchRoles(fleet: Fleet): void {
  fleet.statistics.timeline.forEach((point, index) => {
    schedule(fleet.clock, index * POINT_MS, () => {
      point.readers = fleet.engines.filter(
        (engine) => isAccepting(engine) && engine.role === EngineRole.Prefill,
      ).length;
    });
  });
}

function resultOf(fleet: Fleet): RunResult {
  const { statistics, trace } = fleet;
  return {
    policy: fleet.policy.name,
    goodputPerS: statistics.good / (trace.durationMs / 1000),
    roleChanges: fleet.engines.reduce((sum, engine) => sum + engine.roleChanges, 0),
    ttftP95Ms: statistics.firstToken.getValueAtPercentile(95),
    interTokenP95Ms: statistics.interToken.getValueAtPercentile(95),
    shedNotRun: statistics.shedNotRun,
    worstWorkspaceWaitRatio: worstWaitRatio(statistics, trace.hog),
    statistics,
  };
}
