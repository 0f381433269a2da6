/** Time, datagrams and calls between processes. */
import { sendMessage } from '../../kit/network.js';
import { ProcessStatus, runIn } from '../../kit/processes.js';
import { schedule } from '../../kit/scheduler.js';
import type { Simulation, SimulatedNode } from './simulation.js';

const CALL_TIMEOUT_MS = 2_000;

/** Does something in a process after a time, if it is still the same process then. */
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

/**
 * Sends a datagram; whoever is at the address when it arrives gets it. `onWaiting` is told of one that
 * reaches a process which stands still.
 */
export function sendDatagram(
  simulation: Simulation,
  from: SimulatedNode,
  to: string,
  receive: (target: SimulatedNode) => void,
  onWaiting: (target: SimulatedNode) => void = () => undefined,
): void {
  const target = simulation.byId.get(to);
  if (target === undefined) return;
  sendMessage(simulation.network, from.id, to, () => {
    if (target.slot.status === ProcessStatus.Paused) onWaiting(target);
    runIn(target.slot, target.slot.incarnation, () => {
      receive(target);
    });
  });
}

/** Calls another process; `done` gets the answer, or null when none came in time. */
export function call<Answer>(
  simulation: Simulation,
  from: SimulatedNode,
  to: string,
  serve: (target: SimulatedNode) => Answer,
  done: (answer: Answer | null) => void,
): void {
  const { incarnation } = from.slot;
  let isOver = false;
  const finish = (answer: Answer | null): void => {
    if (isOver) return;
    isOver = true;
    done(answer);
  };
  sendDatagram(simulation, from, to, (target) => {
    const answer = serve(target);
    sendMessage(simulation.network, to, from.id, () => {
      runIn(from.slot, incarnation, () => {
        finish(answer);
      });
    });
  });
  later(simulation, from, CALL_TIMEOUT_MS, () => {
    finish(null);
  });
}
