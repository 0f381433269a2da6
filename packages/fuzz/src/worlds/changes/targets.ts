/** Simulated targets: work that arrives, drains, failures, loads. */
import type { ChangeRequest, DrainEffect } from '@cassiamast/coordination';
import {
  ChangeKind,
  DrainEffectKind,
  DrainPhase,
  LoadOutcome,
  acceptsWork,
  addChange,
  admitChanges,
  createDrain,
  endDrain,
  loadEnded,
  planLoads,
  startDrain,
  tickDrain,
} from '@cassiamast/coordination';
import { countFault } from '../../kit/faults.js';
import { schedule } from '../../kit/scheduler.js';
import { holds } from '../../kit/violation.js';
import type { Simulation, SimulatedTarget } from './simulation.js';
import { FLOOR_TARGETS, REFUSAL_WINDOW_MS, SENDER_COUNT } from './simulation.js';

/** Longest time until a sender has heard that a target leaves; membership needs two seconds. */
const NOTICE_SPREAD_MS = 3_500;
const ON_THE_WAY_MS = 500;
const MAX_WORK_MS = 60_000;
const MOVE_MS = 4_000;
const MODEL_MB = 400;
const STORE_MB_PER_S = 100;
/** More refusals than this within the window are a stampede. */
const MAX_REFUSALS = 12;

/** Whether a target takes new work. */
export function isServing(target: SimulatedTarget): boolean {
  return target.isAlive && target.drain.phase === DrainPhase.Serving;
}

/** A sender gives work to a target that it believes open. */
export function sendWork(simulation: Simulation, sender: number): void {
  const { scheduler, random, targets } = simulation;
  const open = targets.filter((target) => target.isAlive && target.believedOpen[sender]);
  const target = open[Math.floor(random() * open.length)];
  if (target === undefined) return;
  const { life } = target;
  schedule(scheduler, random() * ON_THE_WAY_MS, () => {
    if (target.life === life) receiveWork(simulation, target);
  });
}

function receiveWork(simulation: Simulation, target: SimulatedTarget): void {
  const { scheduler, random } = simulation;
  holds(acceptsWork(target.drain), 'work-on-its-way-is-taken', () => {
    return `${target.name} refused work at ${String(scheduler.nowMs)} ms`;
  });
  simulation.lastWork += 1;
  const work = simulation.lastWork;
  target.running.add(work);
  const { life } = target;
  schedule(scheduler, random() ** 3 * MAX_WORK_MS, () => {
    if (target.life === life) target.running.delete(work);
  });
}

/** Tells the senders, each after its own time. */
function tellSenders(simulation: Simulation, target: SimulatedTarget, isOpen: boolean): void {
  const { life } = target;
  for (let sender = 0; sender < SENDER_COUNT; sender += 1) {
    schedule(simulation.scheduler, simulation.random() * NOTICE_SPREAD_MS, () => {
      if (target.life !== life || isOpen !== isServing(target)) return;
      target.believedOpen[sender] = isOpen;
    });
  }
}

function perform(
  simulation: Simulation,
  target: SimulatedTarget,
  effects: readonly DrainEffect[],
): void {
  for (const effect of effects) {
    switch (effect.kind) {
      case DrainEffectKind.AnnounceLeaving:
        tellSenders(simulation, target, false);
        break;
      case DrainEffectKind.LimitAccepting:
      case DrainEffectKind.StopAccepting:
        break;
      case DrainEffectKind.HandOver:
        countFault(simulation.counts, 'work-handed-over');
        moveWork(simulation, target);
        break;
      case DrainEffectKind.Drained:
        holds(target.running.size === 0, 'planned-change-cuts-nothing', () => {
          return `${target.name} ended with ${String(target.running.size)} running`;
        });
        change(simulation, target);
    }
  }
}

function moveWork(simulation: Simulation, target: SimulatedTarget): void {
  for (const work of target.running) {
    schedule(simulation.scheduler, simulation.random() * MOVE_MS, () => {
      target.running.delete(work);
    });
  }
}

/** The change that the drain was for; then the target serves again. */
function change(simulation: Simulation, target: SimulatedTarget): void {
  const { life } = target;
  schedule(simulation.scheduler, 1_000 + simulation.random() * 4_000, () => {
    if (target.life !== life) return;
    endDrain(target.drain);
    tellSenders(simulation, target, true);
  });
}

function begin(simulation: Simulation, request: ChangeRequest): void {
  const target = simulation.targets.find(({ name }) => name === request.target);
  simulation.requests.delete(request.id);
  if (target === undefined) return;
  const { nowMs } = simulation.scheduler;
  perform(simulation, target, startDrain(target.drain, nowMs));
}

/** Asks for a change. */
export function wish(simulation: Simulation, target: SimulatedTarget, forced: boolean): void {
  countFault(simulation.counts, forced ? 'target-leaves-anyway' : 'change-asked-for');
  const kind = forced ? ChangeKind.Replacement : ChangeKind.RoleChange;
  addChange(simulation.requests, {
    id: `${target.name}/${kind}`,
    kind,
    service: 'service',
    target: target.name,
    forced,
    requestedAtMs: simulation.scheduler.nowMs,
  });
}

/** The planner decides which changes begin now. */
export function planChanges(simulation: Simulation): void {
  const { targets, requests, options } = simulation;
  const standing = {
    name: 'service',
    dependsOn: [],
    floorTargets: FLOOR_TARGETS,
    removed: false,
    targets: targets.map((target) => ({
      name: target.name,
      failureDomain: target.failureDomain,
      serving: isServing(target),
    })),
  };
  const underWay = new Set(
    targets.filter(({ drain }) => drain.phase !== DrainPhase.Serving).map(({ name }) => name),
  );
  const before = targets.filter(isServing).length;
  const all = [...requests.values()];
  const { admitted } = admitChanges([standing], all, underWay, options.keepsFloor);
  for (const request of admitted) begin(simulation, request);
  const after = targets.filter(isServing).length;
  const forced = admitted.filter((request) => request.forced).length;
  holds(after >= Math.min(before, FLOOR_TARGETS) - forced, 'floor-is-kept', () => {
    return `${String(before)} served, then ${String(after)}`;
  });
}

/** Moves all drains on. */
export function tickDrains(simulation: Simulation): void {
  for (const target of simulation.targets) {
    if (!target.isAlive) continue;
    const { nowMs } = simulation.scheduler;
    perform(simulation, target, tickDrain(target.drain, target.running.size, nowMs));
  }
}

/** A target fails: its work is lost here, which is not what a planned change may do. */
export function fail(simulation: Simulation, target: SimulatedTarget): void {
  if (!target.isAlive) return;
  countFault(simulation.counts, 'target-failed');
  target.isAlive = false;
  target.isLoaded = false;
  target.life += 1;
  target.running.clear();
  target.drain = createDrain(simulation.options.drain);
  target.believedOpen.fill(false);
}

/** A target comes back, its engine empty. */
export function comeBack(simulation: Simulation, target: SimulatedTarget): void {
  if (target.isAlive) return;
  target.isAlive = true;
  tellSenders(simulation, target, true);
}

/** The planner loads models where they are missing. */
export function planLoading(simulation: Simulation): void {
  const { targets, loads, scheduler, random, store } = simulation;
  const holders = targets.filter((target) => target.isLoaded).length;
  const wishes = targets
    .filter((target) => target.isAlive && !target.isLoaded)
    .map((target) => ({
      target: target.name,
      service: 'service',
      failureDomain: target.failureDomain,
      model: 'model',
      version: '1',
      adapter: null,
      sizeMb: MODEL_MB,
      holders,
    }));
  const status = { rateMbPerS: STORE_MB_PER_S, activeFetches: store.active, retryAfterMs: 0 };
  const context = { nowMs: scheduler.nowMs, random };
  for (const started of planLoads(loads, wishes, status, context))
    fetch(simulation, started.target);
}

function fetch(simulation: Simulation, name: string): void {
  const { scheduler, random, store, loads, targets } = simulation;
  const end = (outcome: LoadOutcome): void => {
    loadEnded(loads, name, outcome, { nowMs: scheduler.nowMs, random });
  };
  if (store.active >= store.capacity) {
    countFault(simulation.counts, 'store-says-slow-down');
    noteRefusal(simulation);
    schedule(scheduler, 5, () => {
      end(LoadOutcome.SlowDown);
    });
    return;
  }
  store.active += 1;
  const target = targets.find((other) => other.name === name);
  const life = target?.life;
  schedule(scheduler, (MODEL_MB / STORE_MB_PER_S) * 1_000, () => {
    store.active -= 1;
    const isThere = target !== undefined && target.isAlive && target.life === life;
    if (isThere) target.isLoaded = true;
    end(isThere ? LoadOutcome.Done : LoadOutcome.Failed);
  });
}

function noteRefusal(simulation: Simulation): void {
  const { store, scheduler } = simulation;
  store.refusedAtMs.push(scheduler.nowMs);
  const sinceMs = scheduler.nowMs - REFUSAL_WINDOW_MS;
  store.refusedAtMs = store.refusedAtMs.filter((atMs) => atMs > sinceMs);
  holds(store.refusedAtMs.length <= MAX_REFUSALS, 'no-stampede-on-the-store', () => {
    return `${String(store.refusedAtMs.length)} refusals within ${String(REFUSAL_WINDOW_MS)} ms`;
  });
}
