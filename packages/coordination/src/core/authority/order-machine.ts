/**
 * State machine of the planner's side of one order to one target: requests a ticket, submits the
 * order and polls the sidecar until the result is known. An order is never submitted twice. If the
 * sidecar does not know an order after its ticket has expired, the order can no longer have an
 * effect.
 */
import type { Failure } from '../failures/failure.js';
import { orderNotDone, ticketInvalid } from './failures.js';
import type { Order, OrderBody, OrderReport, Ticket } from './orders.js';
import { OrderStatus } from './orders.js';

/** The kinds of {@link OrderEffect}. */
export enum OrderEffectKind {
  /** Call `order.ticket` of the target's sidecar, then `ticketReceived` or `ticketRefused`. */
  RequestTicket = 'request-ticket',
  /** Call `order.submit`, then `submissionAnswered` or `submissionLost`. */
  Submit = 'submit',
  /**
   * Call `order.read`, then `orderReported`. A failed call need not be reported; it is repeated.
   */
  ReadOrder = 'read-order',
  /** The order ended; `failure` is null if it is done. */
  Ended = 'ended',
}

/** An action that the order state machine requests from its process. */
export type OrderEffect =
  | { readonly kind: OrderEffectKind.RequestTicket; readonly fence: number }
  | { readonly kind: OrderEffectKind.Submit; readonly ticketId: string; readonly order: Order }
  | { readonly kind: OrderEffectKind.ReadOrder; readonly orderId: string }
  | { readonly kind: OrderEffectKind.Ended; readonly failure: Failure | null };

/** The phases of an order at its planner. */
export enum OrderPhase {
  RequestingTicket = 'ticketing',
  Submitted = 'submitted',
  ReadingBack = 'reading-back',
  Ended = 'ended',
}

/** The inputs of each step of an order. */
export interface OrderContext {
  readonly nowMs: number;
  /** Whether this process may issue orders now; evaluated right before each submission. */
  readonly mayOrder: () => boolean;
}

/** The state of one order at its planner. */
export interface OrderState {
  readonly order: Order;
  phase: OrderPhase;
  startedAtMs: number;
  /** Local time after which the ticket has certainly expired: counted from when it arrived. */
  ticketExpiresAtMs: number;
  readAtMs: number;
}

/** Interval between two reads of an order whose result is not known. */
const READ_INTERVAL_MS = 500;

/** Time after which an order ends without a ticket. */
const TICKET_TIMEOUT_MS = 3_000;

/** Starts an order with the current fencing token of the planner. */
export function startOrder(
  orderId: string,
  fence: number,
  body: OrderBody,
  context: OrderContext,
): { readonly state: OrderState; readonly effects: readonly OrderEffect[] } {
  const state: OrderState = {
    order: { orderId, fence, body },
    phase: OrderPhase.RequestingTicket,
    startedAtMs: context.nowMs,
    ticketExpiresAtMs: 0,
    readAtMs: 0,
  };
  if (!context.mayOrder()) return { state, effects: endWithReason(state, 'no authority') };
  return { state, effects: [{ kind: OrderEffectKind.RequestTicket, fence }] };
}

function end(state: OrderState, failure: Failure | null): OrderEffect[] {
  state.phase = OrderPhase.Ended;
  return [{ kind: OrderEffectKind.Ended, failure }];
}

function endWithReason(state: OrderState, reason: string): OrderEffect[] {
  return end(state, orderNotDone.of({ orderId: state.order.orderId, reason }));
}

/** Handles a ticket. Checks authority again, because the answer may have arrived late. */
export function ticketReceived(
  state: OrderState,
  ticket: Ticket,
  context: OrderContext,
): OrderEffect[] {
  if (state.phase !== OrderPhase.RequestingTicket) return [];
  if (!context.mayOrder()) return endWithReason(state, 'authority was lost before it was sent');
  state.phase = OrderPhase.Submitted;
  state.ticketExpiresAtMs = context.nowMs + ticket.validMs;
  return [{ kind: OrderEffectKind.Submit, ticketId: ticket.ticketId, order: state.order }];
}

/** Handles a rejected or unanswered request for a ticket: nothing was submitted. */
export function ticketRefused(state: OrderState, failure: Failure): OrderEffect[] {
  return state.phase === OrderPhase.RequestingTicket ? end(state, failure) : [];
}

/** Handles the answer to the submission: null if accepted, otherwise a rejection without effect. */
export function submissionAnswered(
  state: OrderState,
  refusal: Failure | null,
  context: OrderContext,
): OrderEffect[] {
  if (state.phase !== OrderPhase.Submitted) return [];
  if (refusal !== null) return end(state, refusal);
  state.phase = OrderPhase.ReadingBack;
  state.readAtMs = context.nowMs + READ_INTERVAL_MS;
  return [];
}

/** Handles a lost answer to the submission: the order may have been accepted, so it is polled. */
export function submissionLost(state: OrderState, context: OrderContext): OrderEffect[] {
  return submissionAnswered(state, null, context);
}

/** Runs the actions that are due. */
export function tickOrder(state: OrderState, context: OrderContext): OrderEffect[] {
  if (state.phase === OrderPhase.RequestingTicket) {
    const waitedMs = context.nowMs - state.startedAtMs;
    return waitedMs >= TICKET_TIMEOUT_MS ? endWithReason(state, 'no ticket in time') : [];
  }
  if (state.phase !== OrderPhase.ReadingBack || context.nowMs < state.readAtMs) return [];
  state.readAtMs = context.nowMs + READ_INTERVAL_MS;
  return [{ kind: OrderEffectKind.ReadOrder, orderId: state.order.orderId }];
}

/** Handles the sidecar's report on the order. */
export function orderReported(
  state: OrderState,
  report: OrderReport,
  context: OrderContext,
): OrderEffect[] {
  if (state.phase !== OrderPhase.ReadingBack) return [];
  switch (report.status) {
    case OrderStatus.Done:
      return end(state, null);
    case OrderStatus.Refused:
      return end(state, report.failure ?? ticketInvalid.of({ ticketId: report.orderId }));
    case OrderStatus.Verifying:
    case OrderStatus.Running:
      return [];
    case OrderStatus.Unknown:
      if (context.nowMs < state.ticketExpiresAtMs) return [];
      return endWithReason(state, 'the sidecar does not know it and its ticket has expired');
  }
}
