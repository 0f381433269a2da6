/** Runs the lease, order and gate machines of simulated entries and sidecars. */
import type {
  GateContext,
  GateEffect,
  LeaseContext,
  LeaseEffect,
  LeaseView,
  OrderContext,
  OrderEffect,
  OrderState,
} from '@cassiamast/coordination';
import {
  GateEffectKind,
  LeaseEffectKind,
  MemberState,
  OrderEffectKind,
  OrderPhase,
  engineAnswerLost,
  engineAnswered,
  engineRead,
  gateLeaseRead,
  gateLeaseReadFailed,
  startOrder,
  leaseCallFailed,
  leaseGranted,
  leaseKeptAlive,
  leaseKeyRead,
  leaseKeyTaken,
  mayOrder,
  membersIn,
  orderReported,
  parseLeaseKey,
  readOrder,
  requestTicket,
  submissionAnswered,
  submissionLost,
  submitOrder,
  ticketReceived,
  ticketRefused,
  tickGate,
  tickLease,
  tickOrder,
} from '@cassiamast/coordination';
import { runIn } from '../../kit/processes.js';
import { viewOf, writeOrder } from './engine.js';
import { LEASE_KEY, callService, endLease, transact } from './key-value.js';
import { noteOrderSent, noteSubmission } from './oracle.js';
import type { Simulation, SimulatedNode } from './simulation.js';
import { ENTRY_IDS, SIDECAR_IDS } from './simulation.js';
import { call, later } from './transport.js';

/** An engine's answer is given up after this. */
const ENGINE_TIMEOUT_MS = 5_000;

function leaseContext(simulation: Simulation, node: SimulatedNode): LeaseContext {
  const rank = (id: string): number => simulation.hashing.hash32(`service ${id}`);
  const alive = membersIn(node.memory.membership, MemberState.Alive)
    .map((member) => member.id)
    .filter((id) => ENTRY_IDS.includes(id));
  return {
    nowMs: simulation.scheduler.nowMs,
    random: simulation.random,
    isCandidate: () => alive.every((id) => rank(id) <= rank(node.id)),
  };
}

/** Moves a planner's lease on. */
export function tickPlanner(simulation: Simulation, node: SimulatedNode): void {
  const { lease } = node.memory;
  if (lease === null) return;
  performLease(simulation, node, tickLease(lease, leaseContext(simulation, node)));
  for (const order of node.memory.orders.values()) {
    const effects = tickOrder(order, orderContext(simulation, node));
    performOrder(simulation, node, order, effects);
  }
}

/** Performs the effects of a lease machine. */
export function performLease(
  simulation: Simulation,
  node: SimulatedNode,
  effects: readonly LeaseEffect[],
): void {
  for (const effect of effects) performOneLease(simulation, node, effect);
}

function performOneLease(simulation: Simulation, node: SimulatedNode, effect: LeaseEffect): void {
  const { lease } = node.memory;
  if (lease === null) return;
  const { service, scheduler } = simulation;
  const now = (): LeaseContext => leaseContext(simulation, node);
  const perform = (effects: readonly LeaseEffect[]): void => {
    performLease(simulation, node, effects);
  };
  const failed = (): void => {
    perform(leaseCallFailed(lease, now()));
  };
  switch (effect.kind) {
    case LeaseEffectKind.ReadKey:
      callService(
        simulation,
        node,
        () => service.keys.get(LEASE_KEY) ?? null,
        (entry) => {
          perform(leaseKeyRead(lease, entry, now()));
        },
        failed,
      );
      return;
    case LeaseEffectKind.GrantLease:
      callService(
        simulation,
        node,
        () => {
          simulation.lastId += 1;
          const leaseId = `lease-${String(simulation.lastId)}`;
          service.leases.set(leaseId, scheduler.nowMs + effect.ttlMs);
          return { leaseId, ttlMs: effect.ttlMs };
        },
        (granted) => {
          perform(leaseGranted(lease, granted));
        },
        failed,
      );
      return;
    case LeaseEffectKind.TakeKey: {
      const { leaseId, value } = effect;
      const write = { key: LEASE_KEY, value, leaseId };
      callService(
        simulation,
        node,
        () => transact(simulation, [{ key: LEASE_KEY, modRevision: 0 }], [write]),
        (revision) => {
          perform(leaseKeyTaken(lease, revision, now()));
        },
        failed,
      );
      return;
    }
    case LeaseEffectKind.KeepAlive:
      callService(
        simulation,
        node,
        () => {
          if (!service.leases.has(effect.leaseId)) return null;
          service.leases.set(effect.leaseId, scheduler.nowMs + lease.options.ttlMs);
          return { ttlMs: lease.options.ttlMs };
        },
        (kept) => {
          perform(leaseKeptAlive(lease, kept, now()));
        },
        failed,
      );
      return;
    case LeaseEffectKind.Revoke:
      callService(
        simulation,
        node,
        () => {
          if (service.leases.has(effect.leaseId)) {
            endLease(simulation, effect.leaseId, scheduler.nowMs);
          }
        },
        () => undefined,
        () => undefined,
      );
      return;
    case LeaseEffectKind.Gained:
    case LeaseEffectKind.Lost:
  }
}

function orderContext(simulation: Simulation, node: SimulatedNode): OrderContext {
  const { lease } = node.memory;
  const { nowMs } = simulation.scheduler;
  return { nowMs, mayOrder: () => lease !== null && mayOrder(lease, nowMs) };
}

/** A planner that may gives an order to a sidecar, if none of its own is under way there. */
export function planOrder(simulation: Simulation, node: SimulatedNode, to: string): void {
  const { lease, orders } = node.memory;
  const context = orderContext(simulation, node);
  const before = orders.get(to);
  if (lease === null || !context.mayOrder()) return;
  if (before !== undefined && before.phase !== OrderPhase.Ended) return;
  simulation.lastId += 1;
  const orderId = `order-${String(simulation.lastId)}`;
  const { state, effects } = startOrder(orderId, lease.fence, { target: to }, context);
  orders.set(to, state);
  performOrder(simulation, node, state, effects);
}

/** Lets a planner plan something now and then. */
export function planNow(simulation: Simulation, node: SimulatedNode): void {
  if (!simulation.ordersFlow) return;
  const to = SIDECAR_IDS[Math.floor(simulation.random() * SIDECAR_IDS.length)];
  if (to !== undefined) planOrder(simulation, node, to);
}

function performOrder(
  simulation: Simulation,
  node: SimulatedNode,
  state: OrderState,
  effects: readonly OrderEffect[],
): void {
  for (const effect of effects) performOneOrder(simulation, node, state, effect);
}

function performOneOrder(
  simulation: Simulation,
  node: SimulatedNode,
  state: OrderState,
  effect: OrderEffect,
): void {
  const to = state.order.body['target'] as string;
  const now = (): OrderContext => orderContext(simulation, node);
  const perform = (effects: readonly OrderEffect[]): void => {
    performOrder(simulation, node, state, effects);
  };
  switch (effect.kind) {
    case OrderEffectKind.RequestTicket:
      call(
        simulation,
        node,
        to,
        ({ memory: { gate } }) => {
          const request = { planner: node.id, fence: effect.fence };
          return gate === null ? null : requestTicket(gate, request, gateContext(simulation));
        },
        (ticket) => {
          if (ticket === null) return;
          if (ticket.isOk()) perform(ticketReceived(state, ticket.value, now()));
          else perform(ticketRefused(state, ticket.error));
        },
      );
      return;
    case OrderEffectKind.Submit: {
      const { ticketId, order } = effect;
      noteSubmission(simulation, order.fence);
      const submission = { planner: node.id, fence: order.fence, ticketId, order };
      call(
        simulation,
        node,
        to,
        (target) => {
          const { gate } = target.memory;
          if (gate === null) return null;
          const taken = submitOrder(gate, submission, gateContext(simulation));
          if (taken.isErr()) return taken.error;
          performGate(simulation, target, taken.value);
          return 'taken';
        },
        (answer) => {
          if (answer === null) perform(submissionLost(state, now()));
          else perform(submissionAnswered(state, answer === 'taken' ? null : answer, now()));
        },
      );
      return;
    }
    case OrderEffectKind.ReadOrder:
      call(
        simulation,
        node,
        to,
        ({ memory: { gate } }) => (gate === null ? null : readOrder(gate, effect.orderId)),
        (report) => {
          if (report !== null) perform(orderReported(state, report, now()));
        },
      );
      return;
    case OrderEffectKind.Ended:
  }
}

function gateContext(simulation: Simulation): GateContext {
  return {
    nowMs: simulation.scheduler.nowMs,
    newId: () => {
      simulation.lastId += 1;
      return `ticket-${String(simulation.lastId)}`;
    },
  };
}

/** Moves a sidecar's gate on. */
export function tickSidecar(simulation: Simulation, node: SimulatedNode): void {
  const { gate } = node.memory;
  if (gate !== null) performGate(simulation, node, tickGate(gate, gateContext(simulation)));
}

function leaseView(simulation: Simulation): LeaseView | null {
  const entry = simulation.service.keys.get(LEASE_KEY);
  const parsed = entry === undefined ? null : parseLeaseKey(entry.value);
  if (entry === undefined || parsed === null) return null;
  return { planner: parsed.planner, fence: entry.createRevision };
}

function performGate(
  simulation: Simulation,
  node: SimulatedNode,
  effects: readonly GateEffect[],
): void {
  for (const effect of effects) performOneGate(simulation, node, effect);
}

function performOneGate(simulation: Simulation, node: SimulatedNode, effect: GateEffect): void {
  const { gate } = node.memory;
  const { engine } = node;
  if (gate === null || engine === null) return;
  const perform = (effects: readonly GateEffect[]): void => {
    performGate(simulation, node, effects);
  };
  switch (effect.kind) {
    case GateEffectKind.ReadLease:
      callService(
        simulation,
        node,
        () => leaseView(simulation),
        (lease) => {
          perform(gateLeaseRead(gate, effect.readId, lease, gateContext(simulation)));
        },
        () => {
          perform(gateLeaseReadFailed(gate, effect.readId));
        },
      );
      return;
    case GateEffectKind.ReadEngine:
      later(simulation, node, 1, () => {
        const view = viewOf(engine);
        later(simulation, node, 1, () => {
          perform(engineRead(gate, effect.readId, view));
        });
      });
      return;
    case GateEffectKind.SendOrder: {
      const { order } = effect;
      noteOrderSent(simulation, order, gate.options.maxLeaseReadAgeMs);
      const { incarnation } = node.slot;
      writeOrder(simulation, engine, order, (refusal) => {
        runIn(node.slot, incarnation, () => {
          perform(engineAnswered(gate, order.orderId, refusal));
        });
      });
      later(simulation, node, ENGINE_TIMEOUT_MS, () => {
        perform(engineAnswerLost(gate, order.orderId, gateContext(simulation)));
      });
      return;
    }
    case GateEffectKind.Finished:
  }
}
