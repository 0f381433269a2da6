/**
 * State machine of the gate that a sidecar keeps in front of its engine. All orders pass through
 * it, one at a time. Each needs a fresh single-use ticket, and the lease key is read before the
 * order is sent. Tickets expire on the gate's own monotonic clock, so that no two clocks are
 * compared. After a lost answer, the engine's state is read; the order is never sent again.
 */
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { Failure } from '../failures/failure.js';
import {
  authorityLost,
  authorityNotLearned,
  authorityUnverifiable,
  fenceTooOld,
  orderBusy,
  orderNotDone,
  ticketInvalid,
} from './failures.js';
import type { GateContext, GateEffect, GateState, RunningOrder } from './gate-state.js';
import { GateEffectKind, GatePhase, MAX_FINISHED_ORDERS } from './gate-state.js';
import type {
  EngineView,
  LeaseView,
  OrderReport,
  OrderSubmission,
  Ticket,
  TicketRequest,
} from './orders.js';
import { OrderStatus } from './orders.js';

function readLease(state: GateState): GateEffect & { readonly readId: number } {
  state.lastReadId += 1;
  return { kind: GateEffectKind.ReadLease, readId: state.lastReadId };
}

function readEngine(state: GateState, context: GateContext): GateEffect {
  state.lastReadId += 1;
  state.engineReadSent = { readId: state.lastReadId, sentAtMs: context.nowMs };
  return { kind: GateEffectKind.ReadEngine, readId: state.lastReadId };
}

/** Runs the actions that are due. Call it several times a second. */
export function tickGate(state: GateState, context: GateContext): GateEffect[] {
  return [
    ...learnAfterStart(state, context),
    ...expireWaits(state, context),
    ...pollEngine(state, context),
  ];
}

/**
 * Ends waits whose answer has not arrived in time. Without it, one unanswered order would block all
 * later orders to the engine. An order that was not sent yet is rejected, because it had no effect;
 * for a sent order, the engine's state is read.
 */
function expireWaits(state: GateState, context: GateContext): GateEffect[] {
  const { running, options } = state;
  if (running === null) return [];
  if (running.phase === GatePhase.Verifying) {
    if (context.nowMs < running.expiresAtMs + options.maxLeaseReadAgeMs) return [];
    return rejectOrder(
      state,
      running,
      authorityUnverifiable.of({ orderId: running.order.orderId }),
    );
  }
  const waitedMs = context.nowMs - running.sentAtMs;
  if (running.phase !== GatePhase.Sent || waitedMs < options.engineAnswerTimeoutMs) return [];
  return engineAnswerLost(state, running.order.orderId, context);
}

/**
 * Reads the lease and the engine's state after a start. Prevents two failures: a restarted sidecar
 * has no fencing token in memory and would accept orders of a replaced planner, and the engine
 * could start an order that the killed predecessor had just written after the successor sent
 * another one.
 */
function learnAfterStart(state: GateState, context: GateContext): GateEffect[] {
  if (state.learned || context.nowMs < state.nextLearnAtMs) return [];
  state.nextLearnAtMs = context.nowMs + state.options.readBackIntervalMs;
  const effects: GateEffect[] = [];
  if (!state.leaseWasRead) effects.push(readLease(state));
  const pickupTimePassed = context.nowMs >= state.startedAtMs + state.options.orderPickupMs;
  if (state.leaseWasRead && pickupTimePassed) effects.push(readEngine(state, context));
  return effects;
}

function pollEngine(state: GateState, context: GateContext): GateEffect[] {
  const { running } = state;
  if (running?.phase !== GatePhase.ReadingBack || context.nowMs < running.readBackAtMs) return [];
  running.readBackAtMs = context.nowMs + state.options.readBackIntervalMs;
  return [readEngine(state, context)];
}

/**
 * Issues a ticket, which replaces the previous one. Errors: `authority-not-learned`,
 * `fence-too-old`, `order-busy`.
 */
export function requestTicket(
  state: GateState,
  request: TicketRequest,
  context: GateContext,
): Result<Ticket, Failure> {
  if (!state.learned && state.options.guards.readsFenceAfterStart) {
    return err(authorityNotLearned.of({ target: state.target }));
  }
  const { running, options, highestFence } = state;
  if (request.fence < highestFence) {
    return err(fenceTooOld.of({ fence: request.fence, highestFence }));
  }
  if (running !== null && options.guards.oneAtATime) {
    return err(orderBusy.of({ orderId: running.order.orderId }));
  }
  const ticketId = context.newId();
  const { planner, fence } = request;
  const expiresAtMs = context.nowMs + options.ticketValidMs;
  state.ticket = { ticketId, planner, fence, expiresAtMs };
  return ok({ ticketId, fence, validMs: options.ticketValidMs });
}

function isTicketValid(state: GateState, submission: OrderSubmission, nowMs: number): boolean {
  const { ticket } = state;
  if (ticket?.ticketId !== submission.ticketId) return false;
  if (ticket.planner !== submission.planner || ticket.fence !== submission.fence) return false;
  return submission.order.fence === ticket.fence && nowMs < ticket.expiresAtMs;
}

/**
 * Accepts an order and requests a read of the lease before it is sent. Errors: `ticket-invalid`,
 * `order-busy`, `fence-too-old`; a rejected order has had no effect.
 */
export function submitOrder(
  state: GateState,
  submission: OrderSubmission,
  context: GateContext,
): Result<GateEffect[], Failure> {
  const { guards, maxLeaseReadAgeMs } = state.options;
  const { ticketId, planner, order } = submission;
  if (guards.ticketIsChecked && !isTicketValid(state, submission, context.nowMs)) {
    return err(ticketInvalid.of({ ticketId }));
  }
  if (state.running !== null && guards.oneAtATime) {
    return err(orderBusy.of({ orderId: state.running.order.orderId }));
  }
  const { highestFence } = state;
  if (order.fence < highestFence) return err(fenceTooOld.of({ fence: order.fence, highestFence }));
  const expiresAtMs = state.ticket?.expiresAtMs ?? context.nowMs + maxLeaseReadAgeMs;
  state.ticket = null;
  const read = readLease(state);
  state.running = {
    order,
    planner,
    phase: GatePhase.Verifying,
    expiresAtMs,
    leaseReadId: read.readId,
    leaseReadSentAtMs: context.nowMs,
    sentAtMs: 0,
    readBackAtMs: 0,
    epoch: state.engineEpoch,
  };
  return ok([read]);
}

function finish(
  state: GateState,
  running: RunningOrder,
  status: OrderStatus,
  failure: Failure | null,
): GateEffect[] {
  const report: OrderReport = { orderId: running.order.orderId, status, failure };
  state.running = null;
  state.finished.push(report);
  if (state.finished.length > MAX_FINISHED_ORDERS) state.finished.shift();
  return [{ kind: GateEffectKind.Finished, report }];
}

function rejectOrder(state: GateState, running: RunningOrder, failure: Failure): GateEffect[] {
  return finish(state, running, OrderStatus.Refused, failure);
}

/**
 * Handles the lease key as read; null if nobody holds it. Only the read that was requested for the
 * running order verifies it: a late answer to an earlier read may predate a takeover.
 */
export function gateLeaseRead(
  state: GateState,
  readId: number,
  lease: LeaseView | null,
  context: GateContext,
): GateEffect[] {
  if (!state.leaseWasRead) {
    state.leaseWasRead = true;
    state.nextLearnAtMs = context.nowMs;
  }
  if (lease !== null) state.highestFence = Math.max(state.highestFence, lease.fence);
  const { running } = state;
  if (running?.phase !== GatePhase.Verifying || running.leaseReadId !== readId) return [];
  return sendIfVerified(state, running, lease, context);
}

/**
 * Sends the running order to the engine or rejects it. If the process was paused after the read of
 * the lease was requested, another planner may hold the lease by now. The local clock shows this as
 * a read that is too old, and the read is repeated. The check and the send happen in the same step,
 * so no other event of the process is handled in between.
 */
function sendIfVerified(
  state: GateState,
  running: RunningOrder,
  lease: LeaseView | null,
  context: GateContext,
): GateEffect[] {
  const { order, planner } = running;
  const { guards, maxLeaseReadAgeMs } = state.options;
  const isHolder = lease?.planner === planner && lease.fence === order.fence;
  if (guards.leaseIsReadBack && !isHolder) {
    return rejectOrder(state, running, authorityLost.of({ planner, fence: order.fence }));
  }
  if (guards.ticketIsChecked && context.nowMs >= running.expiresAtMs) {
    return rejectOrder(state, running, ticketInvalid.of({ ticketId: order.orderId }));
  }
  const readAgeMs = context.nowMs - running.leaseReadSentAtMs;
  if (guards.repeatsStaleRead && readAgeMs > maxLeaseReadAgeMs) {
    const read = readLease(state);
    running.leaseReadId = read.readId;
    running.leaseReadSentAtMs = context.nowMs;
    return [read];
  }
  running.phase = GatePhase.Sent;
  running.sentAtMs = context.nowMs;
  return [{ kind: GateEffectKind.SendOrder, order }];
}

/** Handles a failed read of the lease key: the order is rejected, because it cannot be verified. */
export function gateLeaseReadFailed(state: GateState, readId: number): GateEffect[] {
  const { running } = state;
  if (running?.phase !== GatePhase.Verifying || running.leaseReadId !== readId) return [];
  return rejectOrder(state, running, authorityUnverifiable.of({ orderId: running.order.orderId }));
}

/** Handles the answer of the engine: null if the order is done, otherwise why it was rejected. */
export function engineAnswered(
  state: GateState,
  orderId: string,
  refusal: string | null,
): GateEffect[] {
  const { running } = state;
  if (running?.order.orderId !== orderId || running.phase === GatePhase.Verifying) return [];
  if (refusal === null) return finish(state, running, OrderStatus.Done, null);
  return rejectOrder(state, running, orderNotDone.of({ orderId, reason: refusal }));
}

/** Handles a lost answer of the engine: its state is read to find out the result of the order. */
export function engineAnswerLost(
  state: GateState,
  orderId: string,
  context: GateContext,
): GateEffect[] {
  const { running } = state;
  if (running?.order.orderId !== orderId || running.phase === GatePhase.Verifying) return [];
  if (!state.options.guards.readsEngineState) {
    return [{ kind: GateEffectKind.SendOrder, order: running.order }];
  }
  running.phase = GatePhase.ReadingBack;
  running.readBackAtMs = context.nowMs;
  return tickGate(state, context);
}

/**
 * Handles the engine's state as read. If the order is missing from it, the order was not started by
 * the time the read was sent.
 */
export function engineRead(state: GateState, readId: number, view: EngineView): GateEffect[] {
  const { engineReadSent } = state;
  if (engineReadSent.readId !== readId) return [];
  state.highestFence = Math.max(state.highestFence, view.highestFence);
  state.engineEpoch = view.epoch;
  if (!state.learned && state.leaseWasRead && view.orderInProgress === null) state.learned = true;
  const { running } = state;
  if (running?.phase !== GatePhase.ReadingBack) return [];
  const { orderId } = running.order;
  if (view.lastOrderDone === orderId) return finish(state, running, OrderStatus.Done, null);
  if (view.orderInProgress === orderId) return [];
  const readDelayMs = engineReadSent.sentAtMs - running.sentAtMs;
  if (readDelayMs < state.options.orderPickupMs) return [];
  const restarted = running.epoch !== null && running.epoch !== view.epoch;
  const reason = restarted ? 'the engine restarted' : 'the engine never took it up';
  return rejectOrder(state, running, orderNotDone.of({ orderId, reason }));
}

/** Returns the status of an order, as the answer to `order.read`. */
export function readOrder(state: GateState, orderId: string): OrderReport {
  const { running } = state;
  if (running?.order.orderId === orderId) {
    const verifying = running.phase === GatePhase.Verifying;
    const status = verifying ? OrderStatus.Verifying : OrderStatus.Running;
    return { orderId, status, failure: null };
  }
  const finished = state.finished.find((report) => report.orderId === orderId);
  return finished ?? { orderId, status: OrderStatus.Unknown, failure: null };
}
