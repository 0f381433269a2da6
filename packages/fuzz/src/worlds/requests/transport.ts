/**
 * How simulated processes reach each other: calls with answers, and work done later in a process.
 */
import { sendMessage } from '../../kit/network.js';
import { runIn } from '../../kit/processes.js';
import { schedule } from '../../kit/scheduler.js';
import type { Simulation, SimulatedNode } from './simulation.js';

/** Does something later in this incarnation of a process. */
export function later(
  simulation: Simulation,
  node: SimulatedNode,
  afterMs: number,
  action: () => void,
): void {
  const { incarnation } = node.slot;
  schedule(simulation.scheduler, afterMs, () => {
    runIn(node.slot, incarnation, action);
  });
}

/** Sends something that is done in whichever incarnation is at the address when it arrives. */
export function send(
  simulation: Simulation,
  from: SimulatedNode,
  to: SimulatedNode,
  action: (receiver: SimulatedNode) => void,
): void {
  sendMessage(simulation.network, from.id, to.id, () => {
    runIn(to.slot, to.slot.incarnation, () => {
      action(to);
    });
  });
}

/** Calls another process; its answer reaches this incarnation of the caller only, if at all. */
export function call<Reply>(
  simulation: Simulation,
  from: SimulatedNode,
  toId: string,
  handle: (receiver: SimulatedNode) => Reply,
  onReply: (reply: Reply) => void,
): void {
  const to = simulation.byId.get(toId);
  if (to === undefined) return;
  const { incarnation } = from.slot;
  send(simulation, from, to, (receiver) => {
    const reply = handle(receiver);
    send(simulation, receiver, from, () => {
      if (from.slot.incarnation === incarnation) onReply(reply);
    });
  });
}
