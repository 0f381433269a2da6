/**
 * The faults that commands bring about, alone, together and twice.
 */
import { holdersOf } from '@cassiamast/coordination';
import { countFault } from '../../kit/faults.js';
import { linkOf } from '../../kit/network.js';
import {
  ProcessStatus,
  killProcess,
  pauseProcess,
  replaceProcess,
  resumeProcess,
} from '../../kit/processes.js';
import { breakAllOf } from './callers.js';
import { crashEngine } from './engine.js';
import { tell } from './oracle.js';
import { noteLinksChanged } from './membership.js';
import { createMemory, startNode } from './nodes.js';
import type { SimulatedNode, Simulation } from './simulation.js';
import { checkRecords } from './oracle-records.js';

/** Lets the oracle look at once: some faults end within the command that brings them about. */
function linksChanged(simulation: Simulation): void {
  noteLinksChanged(simulation);
  checkRecords(simulation);
}

/** Kills a process; its engine, if any, lives on. */
export function kill(simulation: Simulation, node: SimulatedNode): void {
  if (node.slot.status === ProcessStatus.Dead) return;
  countFault(simulation.network.counts, node.isEntry ? 'entry-killed' : 'sidecar-killed');
  simulation.oracle.lastKillAtMs = simulation.scheduler.nowMs;
  tell(simulation, `${node.id} is killed`);
  node.lastDownAtMs = simulation.scheduler.nowMs;
  killProcess(node.slot);
  breakAllOf(simulation, node.id);
  linksChanged(simulation);
}

/** Starts a new process where one is dead. */
export function replace(simulation: Simulation, node: SimulatedNode): void {
  if (node.slot.status !== ProcessStatus.Dead) return;
  tell(simulation, `${node.id} is replaced`);
  replaceProcess(node.slot);
  const { nowMs } = simulation.scheduler;
  node.memory = createMemory(simulation, node.id, node.slot.incarnation, nowMs);
  linksChanged(simulation);
  startNode(simulation, node, nowMs);
}

/** Kills the process and its engine, as when a VM is lost. */
export function killVm(simulation: Simulation, node: SimulatedNode): void {
  countFault(simulation.network.counts, 'vm-lost');
  kill(simulation, node);
  if (node.engine !== null) crashEngine(simulation, node.engine);
}

/** Stops a process, unaware. */
export function pause(simulation: Simulation, node: SimulatedNode): void {
  if (node.slot.status !== ProcessStatus.Running) return;
  countFault(simulation.network.counts, 'process-paused');
  tell(simulation, `${node.id} is paused`);
  node.lastDownAtMs = simulation.scheduler.nowMs;
  pauseProcess(node.slot);
  linksChanged(simulation);
}

/** Lets a paused process go on. */
export function goOn(simulation: Simulation, node: SimulatedNode): void {
  if (node.slot.status !== ProcessStatus.Paused) return;
  tell(simulation, `${node.id} goes on`);
  linksChanged(simulation);
  resumeProcess(node.slot);
  linksChanged(simulation);
}

/** Cuts the link from one process to another. */
export function cutLink(simulation: Simulation, from: string, to: string): void {
  countFault(simulation.network.counts, 'link-cut-one-way');
  simulation.network.cutLinks.add(linkOf(from, to));
  linksChanged(simulation);
}

/** Parts some processes from all others, both ways. */
export function part(simulation: Simulation, isInside: (node: SimulatedNode) => boolean): void {
  countFault(simulation.network.counts, 'partition');
  for (const from of simulation.nodes) {
    for (const to of simulation.nodes) {
      if (isInside(from) !== isInside(to)) {
        simulation.network.cutLinks.add(linkOf(from.id, to.id));
      }
    }
  }
  linksChanged(simulation);
}

/** Joins all links again. */
export function heal(simulation: Simulation): void {
  simulation.network.cutLinks.clear();
  linksChanged(simulation);
}

/** Kills both holders of a key's record at once. */
export function killHolders(simulation: Simulation, keyText: string): void {
  const [witness] = simulation.nodes.filter((node) => node.slot.status === ProcessStatus.Running);
  if (witness === undefined) return;
  countFault(simulation.network.counts, 'both-holders-killed');
  for (const id of holdersOf(witness.memory.placement, keyText)) {
    const node = simulation.byId.get(id);
    if (node !== undefined) kill(simulation, node);
  }
}
