/**
 * The planner's side of one order to one target: ticket, submission, and reading back until its end
 * is known. An order is never sent twice: when its answer is lost, the sidecar is asked about it, and
 * when the sidecar does not know it after the ticket has expired, it cannot take effect any more.
 */
import type { Failure } from '../failures/failure.js';
import { orderNotDone, ticketInvalid } from './failures.js';
import type { Order, OrderBody, OrderReport, Ticket } from './orders.js';
import { OrderStatus } from './orders.js';

/** Kinds of effects of giving an order. */
export enum OrderEffectKind {
  /** Call `order.ticket` of the target's sidecar; feed `ticketReceived` or `ticketRefused`. */
  RequestTicket = 'request-ticket',
  /** Call `order.submit`; feed `submissionAnswered` or `submissionLost`. */
  Submit = 'submit',
  /** Call `order.read`; feed `orderReported`. A failure needs no answer: it is read again. */
  ReadOrder = 'read-order',
  /** The order ended; `failure` is null when it is done. */
  Ended = 'ended',
}

/** An effect of giving an order. */
export type OrderEffect =
  | { readonly kind: OrderEffectKind.RequestTicket; readonly fence: number }
  | { readonly kind: OrderEffectKind.Submit; readonly ticketId: string; readonly order: Order }
  | { readonly kind: OrderEffectKind.ReadOrder; readonly orderId: string }
  | { readonly kind: OrderEffectKind.Ended; readonly failure: Failure | null };

/** Where the order stands for its planner. */
export enum OrderPhase {
  Ticketing = 'ticketing',
  Submitted = 'submitted',
  ReadingBack = 'reading-back',
  Ended = 'ended',
}

/** What giving an order needs at each step. */
export interface OrderContext {
  readonly nowMs: number;
  /** Whether this process may give orders now; asked right before each submission. */
  readonly mayOrder: () => boolean;
}

/** The state of one order at its planner. */
export interface OrderState {
  readonly order: Order;
  phase: OrderPhase;
  startedAtMs: number;
  /** After this the sidecar refuses the ticket, seen from a clock that started no earlier. */
  ticketOverAtMs: number;
  readAtMs: number;
}

/** Time between two questions about an order whose end is not known. */
const READ_INTERVAL_MS = 500;

/** A ticket that did not come within this is not waited for. */
const TICKET_TIMEOUT_MS = 3_000;

/** Begins an order under the fencing number held now. */
export function giveOrder(
  orderId: string,
  fence: number,
  body: OrderBody,
  context: OrderContext,
): { readonly state: OrderState; readonly effects: readonly OrderEffect[] } {
  const state: OrderState = {
    order: { orderId, fence, body },
    phase: OrderPhase.Ticketing,
    startedAtMs: context.nowMs,
    ticketOverAtMs: 0,
    readAtMs: 0,
  };
  if (!context.mayOrder()) return { state, effects: endWith(state, 'no authority') };
  return { state, effects: [{ kind: OrderEffectKind.RequestTicket, fence }] };
}

function end(state: OrderState, failure: Failure | null): OrderEffect[] {
  state.phase = OrderPhase.Ended;
  return [{ kind: OrderEffectKind.Ended, failure }];
}

function endWith(state: OrderState, reason: string): OrderEffect[] {
  return end(state, orderNotDone.of({ orderId: state.order.orderId, reason }));
}

/** The sidecar made a ticket. Authority is looked at again: the answer may have come late. */
export function ticketReceived(
  state: OrderState,
  ticket: Ticket,
  context: OrderContext,
): OrderEffect[] {
  if (state.phase !== OrderPhase.Ticketing) return [];
  if (!context.mayOrder()) return endWith(state, 'authority was lost before it was sent');
  state.phase = OrderPhase.Submitted;
  state.ticketOverAtMs = context.nowMs + ticket.validMs;
  return [{ kind: OrderEffectKind.Submit, ticketId: ticket.ticketId, order: state.order }];
}

/** The sidecar refused a ticket, or did not answer: nothing was ordered. */
export function ticketRefused(state: OrderState, failure: Failure): OrderEffect[] {
  return state.phase === OrderPhase.Ticketing ? end(state, failure) : [];
}

/** The submission was answered: taken (null), or refused without effect. */
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

/** The submission's answer was lost. */
export function submissionLost(state: OrderState, context: OrderContext): OrderEffect[] {
  return submissionAnswered(state, null, context);
}

/** Does whatever is due. */
export function tickOrder(state: OrderState, context: OrderContext): OrderEffect[] {
  if (state.phase === OrderPhase.Ticketing) {
    const waitedMs = context.nowMs - state.startedAtMs;
    return waitedMs >= TICKET_TIMEOUT_MS ? endWith(state, 'no ticket in time') : [];
  }
  if (state.phase !== OrderPhase.ReadingBack || context.nowMs < state.readAtMs) return [];
  state.readAtMs = context.nowMs + READ_INTERVAL_MS;
  return [{ kind: OrderEffectKind.ReadOrder, orderId: state.order.orderId }];
}

/** What the sidecar says of the order. */
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
      if (context.nowMs < state.ticketOverAtMs) return [];
      return endWith(state, 'the sidecar does not know it and its ticket has expired');
  }
}
