/**
 * What the simulated processes know of each other. In place of a membership protocol, of which the
 * other world has the real one: a member is dead to a process that could not reach it, directly or
 * through others, for the detection time; news of its return come at once.
 */
import { createPlacement, holdersOf } from '@cassiamast/coordination';
import type { ContactHistory, HolderWithRepair } from '@cassiamast/coordination';
import { linkIsUp } from '../../kit/network.js';
import { ProcessStatus } from '../../kit/processes.js';
import type { SimulatedNode, Simulation, ViewEntry } from './simulation.js';

/** Time without contact after which a member counts as dead. */
export const DETECTION_MS = 4000;

/** Whether a process can reach another one now, directly or through others. */
export function isReachable(simulation: Simulation, from: string, to: string): boolean {
  const { reachable } = simulation;
  if (reachable.version !== simulation.linkVersion) {
    reachable.byId.clear();
    reachable.version = simulation.linkVersion;
  }
  let found = reachable.byId.get(from);
  if (found === undefined) {
    found = findReachable(simulation, from);
    reachable.byId.set(from, found);
  }
  return found.has(to);
}

/** Says that reachability may have changed. */
export function noteLinksChanged(simulation: Simulation): void {
  simulation.linkVersion += 1;
  const { nowMs } = simulation.scheduler;
  for (const node of simulation.nodes) {
    const isWell = simulation.nodes.every((other) => isReachable(simulation, node.id, other.id));
    if (!isWell) node.lastTroubledAtMs = nowMs;
  }
}

function findReachable(simulation: Simulation, from: string): ReadonlySet<string> {
  const found = new Set<string>();
  const start = simulation.byId.get(from);
  if (start?.slot.status !== ProcessStatus.Running) return found;
  const open = [start];
  found.add(from);
  for (let node = open.pop(); node !== undefined; node = open.pop()) {
    for (const other of simulation.nodes) {
      if (found.has(other.id) || !areLinked(simulation, node, other)) continue;
      found.add(other.id);
      open.push(other);
    }
  }
  return found;
}

function areLinked(simulation: Simulation, node: SimulatedNode, other: SimulatedNode): boolean {
  const { network } = simulation;
  if (other.slot.status !== ProcessStatus.Running) return false;
  return linkIsUp(network, node.id, other.id) && linkIsUp(network, other.id, node.id);
}

/** Renews a process's view; returns whether anything changed. */
export function updateView(simulation: Simulation, node: SimulatedNode): boolean {
  const { nowMs } = simulation.scheduler;
  let changed = false;
  for (const other of simulation.nodes) {
    const entry = node.memory.view.get(other.id);
    if (entry === undefined) continue;
    if (isReachable(simulation, node.id, other.id)) {
      changed = seeMember(entry, other, nowMs) || changed;
    } else if (nowMs - entry.lastReachedMs > DETECTION_MS) {
      changed = entry.isLive || changed;
      entry.isLive = false;
      entry.lastOutOfContactAtMs = nowMs;
    }
  }
  if (changed) renewPlacement(simulation, node);
  return changed;
}

function seeMember(entry: ViewEntry, other: SimulatedNode, nowMs: number): boolean {
  const isNew = entry.incarnation !== other.slot.incarnation;
  const changed = isNew || !entry.isLive;
  if (isNew) {
    entry.incarnation = other.slot.incarnation;
    entry.seenSinceMs = nowMs;
    entry.lastOutOfContactAtMs = nowMs;
  }
  entry.isLive = true;
  entry.lastReachedMs = nowMs;
  return changed;
}

/** Makes the placement anew from the live members of a view. */
export function renewPlacement(simulation: Simulation, node: SimulatedNode): void {
  const live = simulation.nodes.filter((other) => isLiveTo(node, other.id));
  node.memory.placement = createPlacement(live, simulation.hashing.hash32);
}

/** Whether a process holds a member alive. */
export function isLiveTo(node: SimulatedNode, memberId: string): boolean {
  return node.memory.view.get(memberId)?.isLive ?? false;
}

/** What a process can say of its contacts over time. */
export function contactsOf(simulation: Simulation, node: SimulatedNode): readonly ContactHistory[] {
  return simulation.nodes.flatMap((other) => {
    const entry = node.memory.view.get(other.id);
    if (entry === undefined) return [];
    const { id, failureDomain, isEntry } = other;
    const { seenSinceMs, lastOutOfContactAtMs } = entry;
    return [{ id, failureDomain, isEntry, seenSinceMs, lastOutOfContactAtMs }];
  });
}

/** A process's table of records with its own view of who holds what. */
export function holderPlaceOf(node: SimulatedNode): HolderWithRepair {
  const { memory, id } = node;
  const { holder, repair } = memory;
  const holdersOfKey = (keyText: string): readonly string[] => holdersOf(memory.placement, keyText);
  return { holder, repair, selfId: id, holdersOfKey };
}
