/** Simulated processes: starting, ticking, killing, pausing. */
import {
  MemberKind,
  MemberState,
  createConfigState,
  createGate,
  createLease,
  createMembership,
  giveUpLease,
} from '@cassiamast/coordination';
import { countFault } from '../../kit/faults.js';
import {
  ProcessStatus,
  createProcess,
  killProcess,
  pauseProcess,
  replaceProcess,
  resumeProcess,
} from '../../kit/processes.js';
import { performLease, planNow, tickPlanner, tickSidecar } from './authority-node.js';
import { tickConfiguration } from './configuration-node.js';
import { createEngine } from './engine.js';
import { sayLeaving, tickMembers } from './membership-node.js';
import { noteAllRead, noteStanding } from './oracle.js';
import type { NodeMemory, Simulation, SimulatedNode } from './simulation.js';
import { ENTRY_IDS, FAILURE_DOMAINS, SIDECAR_IDS } from './simulation.js';
import { later } from './transport.js';

const TICK_MS = 200;
const PLAN_MS = 1_500;

/** A process that is not started yet. */
export function createNode(simulation: Simulation, id: string, index: number): SimulatedNode {
  const place = SIDECAR_IDS.indexOf(id);
  const target = `target-${String(place)}`;
  const node: SimulatedNode = {
    id,
    index,
    failureDomain: FAILURE_DOMAINS[index % FAILURE_DOMAINS.length] ?? '',
    slot: createProcess(id),
    engine: place < 0 ? null : createEngine(target, place % 2 === 0),
    memory: undefined as unknown as NodeMemory,
  };
  node.memory = freshMemory(simulation, node);
  return node;
}

function freshMemory(simulation: Simulation, node: SimulatedNode): NodeMemory {
  const { options, scheduler, random, hashing } = simulation;
  const { nowMs } = scheduler;
  const context = { nowMs, random, hash32: hashing.hash32 };
  const isEntry = ENTRY_IDS.includes(node.id);
  const target = isEntry ? '' : `target-${String(SIDECAR_IDS.indexOf(node.id))}`;
  const self = {
    id: node.id,
    kind: isEntry ? MemberKind.Entry : MemberKind.Sidecar,
    failureDomain: node.failureDomain,
    target,
    // A clock that stands or is behind: a later life may draw the number of an earlier one.
    incarnation: 1_000 + Math.floor(random() * 3),
  };
  const seeds = [ENTRY_IDS[0] ?? '', SIDECAR_IDS[0] ?? '', SIDECAR_IDS[1] ?? ''];
  return {
    membership: createMembership(self, seeds, options.membership, context),
    toldMembers: new Map(),
    config: createConfigState(options.config, context),
    lease: isEntry ? createLease(node.id, options.lease, nowMs) : null,
    gate: isEntry ? null : createGate(target, options.gate, nowMs),
    orders: new Map(),
  };
}

/** Starts a process's loops. */
export function startNode(simulation: Simulation, node: SimulatedNode): void {
  const tick = (): void => {
    tickMembers(simulation, node);
    tickConfiguration(simulation, node);
    tickPlanner(simulation, node);
    tickSidecar(simulation, node);
    later(simulation, node, TICK_MS, tick);
  };
  const plan = (): void => {
    planNow(simulation, node);
    later(simulation, node, PLAN_MS, plan);
  };
  later(simulation, node, simulation.random() * TICK_MS, tick);
  if (node.engine === null) later(simulation, node, simulation.random() * PLAN_MS, plan);
}

/** Kills a process; its engine lives on. */
export function kill(simulation: Simulation, node: SimulatedNode): void {
  if (node.slot.status === ProcessStatus.Dead) return;
  countFault(simulation.network.counts, node.engine === null ? 'entry-killed' : 'sidecar-killed');
  killProcess(node.slot);
}

/** Starts a new process at the address of a dead one; a paused one keeps its address bound. */
export function replace(simulation: Simulation, node: SimulatedNode): void {
  if (node.slot.status !== ProcessStatus.Dead) return;
  countFault(simulation.network.counts, 'process-replaced');
  replaceProcess(node.slot);
  node.memory = freshMemory(simulation, node);
  startNode(simulation, node);
}

/** Stops a process, unaware. */
export function pause(simulation: Simulation, node: SimulatedNode): void {
  if (node.slot.status !== ProcessStatus.Running) return;
  countFault(simulation.network.counts, 'process-paused');
  pauseProcess(node.slot);
  noteStanding(simulation);
}

/** Lets a paused process go on. */
export function goOn(simulation: Simulation, node: SimulatedNode): void {
  resumeProcess(node.slot);
  noteAllRead(simulation.oracle, node.id);
  noteStanding(simulation);
}

/** A process begins to shut down: it says so, and a planner gives its authority up. */
export function leave(simulation: Simulation, node: SimulatedNode): void {
  if (node.slot.status !== ProcessStatus.Running) return;
  countFault(simulation.network.counts, 'process-leaves');
  sayLeaving(simulation, node);
  const { lease } = node.memory;
  if (lease === null) return;
  const { scheduler, random } = simulation;
  const context = { nowMs: scheduler.nowMs, random, isCandidate: () => false };
  performLease(simulation, node, giveUpLease(lease, context));
}

/** Ends a process that is shutting down, and starts a new one in its place. */
export function endLeaving(simulation: Simulation, node: SimulatedNode): void {
  if (node.memory.membership.self.state !== MemberState.Leaving) return;
  kill(simulation, node);
  replace(simulation, node);
}
