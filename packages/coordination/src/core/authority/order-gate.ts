/**
 * The one way to an engine: its sidecar's gate. An order passes on a fresh single-use ticket, after
 * the lease key was read back, one at a time. No two clocks are compared: the ticket's time runs on
 * the gate's own monotonic clock. An order whose answer was lost is read back, never sent again.
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

/** Does whatever is due; call it several times a second. */
export function tickGate(state: GateState, context: GateContext): GateEffect[] {
  return [...learn(state, context), ...endWaiting(state, context), ...readBack(state, context)];
}

/**
 * Ends waits whose answer never came. Failure guarded against: an order that waits for ever keeps
 * the engine from every later one. Before the sending nothing happened; after it the engine is read.
 */
function endWaiting(state: GateState, context: GateContext): GateEffect[] {
  const { running, options } = state;
  if (running === null) return [];
  if (running.phase === GatePhase.Verifying) {
    if (context.nowMs < running.expiresAtMs + options.checkToActMs) return [];
    return refuse(state, running, authorityUnverifiable.of({ orderId: running.order.orderId }));
  }
  const waitedMs = context.nowMs - running.sentAtMs;
  if (running.phase !== GatePhase.Sent || waitedMs < options.engineAnswerMs) return [];
  return engineAnswerLost(state, running.order.orderId, context);
}

/**
 * Learns whom to obey after a start. Failures guarded against: a fresh process obeys a planner that
 * was replaced, since it remembers no fencing number; and an order that its killed predecessor had
 * just written is taken up by the engine after the successor sent another one.
 */
function learn(state: GateState, context: GateContext): GateEffect[] {
  if (state.learned || context.nowMs < state.learnAtMs) return [];
  state.learnAtMs = context.nowMs + state.options.readBackIntervalMs;
  const effects: GateEffect[] = [];
  if (!state.leaseLearned) effects.push(readLease(state));
  const quiet = context.nowMs >= state.startedAtMs + state.options.quietAfterStartMs;
  if (state.leaseLearned && quiet) effects.push(readEngine(state, context));
  return effects;
}

function readBack(state: GateState, context: GateContext): GateEffect[] {
  const { running } = state;
  if (running?.phase !== GatePhase.ReadingBack || context.nowMs < running.readBackAtMs) return [];
  running.readBackAtMs = context.nowMs + state.options.readBackIntervalMs;
  return [readEngine(state, context)];
}

/** Makes a ticket; it replaces the one before. Errors: the catalogue beside this file. */
export function requestTicket(
  state: GateState,
  request: TicketRequest,
  context: GateContext,
): Result<Ticket, Failure> {
  if (!state.learned && state.options.guards.learnsFirst) {
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

function checkTicket(state: GateState, submission: OrderSubmission, nowMs: number): boolean {
  const { ticket } = state;
  if (ticket?.ticketId !== submission.ticketId) return false;
  if (ticket.planner !== submission.planner || ticket.fence !== submission.fence) return false;
  return submission.order.fence === ticket.fence && nowMs < ticket.expiresAtMs;
}

/**
 * Takes an order and reads the lease back before anything else. Errors: `ticket-invalid`,
 * `order-busy`, `fence-too-old`; none of them leaves an effect.
 */
export function submitOrder(
  state: GateState,
  submission: OrderSubmission,
  context: GateContext,
): Result<GateEffect[], Failure> {
  const { guards, checkToActMs } = state.options;
  const { ticketId, planner, order } = submission;
  if (guards.ticketIsChecked && !checkTicket(state, submission, context.nowMs)) {
    return err(ticketInvalid.of({ ticketId }));
  }
  if (state.running !== null && guards.oneAtATime) {
    return err(orderBusy.of({ orderId: state.running.order.orderId }));
  }
  const { highestFence } = state;
  if (order.fence < highestFence) return err(fenceTooOld.of({ fence: order.fence, highestFence }));
  const expiresAtMs = state.ticket?.expiresAtMs ?? context.nowMs + checkToActMs;
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

function refuse(state: GateState, running: RunningOrder, failure: Failure): GateEffect[] {
  return finish(state, running, OrderStatus.Refused, failure);
}

/**
 * The lease key as read; null when nobody holds it. Failure guarded against: the late answer to an
 * earlier read, from before a takeover, passes for the answer to the read made for this order.
 */
export function gateLeaseRead(
  state: GateState,
  readId: number,
  lease: LeaseView | null,
  context: GateContext,
): GateEffect[] {
  if (!state.leaseLearned) {
    state.leaseLearned = true;
    state.learnAtMs = context.nowMs;
  }
  if (lease !== null) state.highestFence = Math.max(state.highestFence, lease.fence);
  const { running } = state;
  if (running?.phase !== GatePhase.Verifying || running.leaseReadId !== readId) return [];
  return verify(state, running, lease, context);
}

/**
 * Acts on an order, or refuses it. Failure guarded against: the process was paused between reading
 * the lease and acting, and the lease has passed on meanwhile. It shows on the own clock as a read
 * that is too old, which is then repeated; between this check and the sending no other event of the
 * process can come.
 */
function verify(
  state: GateState,
  running: RunningOrder,
  lease: LeaseView | null,
  context: GateContext,
): GateEffect[] {
  const { order, planner } = running;
  const { guards, checkToActMs } = state.options;
  const isHolder = lease?.planner === planner && lease.fence === order.fence;
  if (guards.leaseIsReadBack && !isHolder) {
    return refuse(state, running, authorityLost.of({ planner, fence: order.fence }));
  }
  if (guards.ticketIsChecked && context.nowMs >= running.expiresAtMs) {
    return refuse(state, running, ticketInvalid.of({ ticketId: order.orderId }));
  }
  const readAgeMs = context.nowMs - running.leaseReadSentAtMs;
  if (guards.rereadsAfterPause && readAgeMs > checkToActMs) {
    const read = readLease(state);
    running.leaseReadId = read.readId;
    running.leaseReadSentAtMs = context.nowMs;
    return [read];
  }
  running.phase = GatePhase.Sent;
  running.sentAtMs = context.nowMs;
  return [{ kind: GateEffectKind.SendOrder, order }];
}

/** The lease key could not be read: without proof of authority nothing is done. */
export function gateLeaseReadFailed(state: GateState, readId: number): GateEffect[] {
  const { running } = state;
  if (running?.phase !== GatePhase.Verifying || running.leaseReadId !== readId) return [];
  return refuse(state, running, authorityUnverifiable.of({ orderId: running.order.orderId }));
}

/** The engine answered the order: done, or refused with a reason. */
export function engineAnswered(
  state: GateState,
  orderId: string,
  refusal: string | null,
): GateEffect[] {
  const { running } = state;
  if (running?.order.orderId !== orderId || running.phase === GatePhase.Verifying) return [];
  if (refusal === null) return finish(state, running, OrderStatus.Done, null);
  return refuse(state, running, orderNotDone.of({ orderId, reason: refusal }));
}

/** The engine's answer was lost: its state tells what became of the order. */
export function engineAnswerLost(
  state: GateState,
  orderId: string,
  context: GateContext,
): GateEffect[] {
  const { running } = state;
  if (running?.order.orderId !== orderId || running.phase === GatePhase.Verifying) return [];
  if (!state.options.guards.readsBack) {
    return [{ kind: GateEffectKind.SendOrder, order: running.order }];
  }
  running.phase = GatePhase.ReadingBack;
  running.readBackAtMs = context.nowMs;
  return tickGate(state, context);
}

/** The engine's state as read; what it lacks counts as of the moment the read was sent. */
export function engineRead(state: GateState, readId: number, view: EngineView): GateEffect[] {
  const { engineReadSent } = state;
  if (engineReadSent.readId !== readId) return [];
  state.highestFence = Math.max(state.highestFence, view.highestFence);
  state.engineEpoch = view.epoch;
  if (!state.learned && state.leaseLearned && view.orderInProgress === null) state.learned = true;
  const { running } = state;
  if (running?.phase !== GatePhase.ReadingBack) return [];
  const { orderId } = running.order;
  if (view.lastOrderDone === orderId) return finish(state, running, OrderStatus.Done, null);
  if (view.orderInProgress === orderId) return [];
  const readAfterMs = engineReadSent.sentAtMs - running.sentAtMs;
  if (readAfterMs < state.options.quietAfterStartMs) return [];
  const restarted = running.epoch !== null && running.epoch !== view.epoch;
  const reason = restarted ? 'the engine restarted' : 'the engine never took it up';
  return refuse(state, running, orderNotDone.of({ orderId, reason }));
}

/** Where an order stands: answer to `order.read`. */
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
