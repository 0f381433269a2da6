/**
 * The messages that planner, sidecar and engine exchange about orders: commands that change the
 * state of an engine, such as its role. All are plain JSON.
 */
import type { Failure } from '../failures/failure.js';

/** The fields of an engine's order other than its id and fencing token. */
export type OrderBody = Readonly<Record<string, unknown>>;

/** An order as the sidecar sends it to its engine. */
export interface Order {
  readonly orderId: string;
  /** Fencing token: create revision of the lease key under which the order was issued. */
  readonly fence: number;
  readonly body: OrderBody;
}

/** Single-use permission for one order, issued by the sidecar of the engine. */
export interface Ticket {
  readonly ticketId: string;
  readonly fence: number;
  /** Lifetime from the time of issue, on the sidecar's clock. */
  readonly validMs: number;
}

/** A planner's request for a ticket: RPC `order.ticket`. */
export interface TicketRequest {
  readonly planner: string;
  readonly fence: number;
}

/** A planner's submission of an order: RPC `order.submit`. */
export interface OrderSubmission extends TicketRequest {
  readonly ticketId: string;
  readonly order: Order;
}

/** The holder of the lease according to the key-value service. */
export interface LeaseView {
  readonly planner: string;
  /** Fencing token: create revision of the key. */
  readonly fence: number;
}

/** The part of an engine's state that its sidecar reads. */
export interface EngineView {
  readonly epoch: string;
  readonly orderInProgress: string | null;
  readonly lastOrderDone: string | null;
  readonly highestFence: number;
}

/** The status of an order at its sidecar. */
export enum OrderStatus {
  /** Never accepted here, or so long ago that its result was removed. */
  Unknown = 'unknown',
  /** The lease is being read; nothing was sent to the engine yet. */
  Verifying = 'verifying',
  /** Sent to the engine. */
  Running = 'running',
  Done = 'done',
  /** Ended without effect. */
  Refused = 'refused',
}

/** Answer to `order.read`. */
export interface OrderReport {
  readonly orderId: string;
  readonly status: OrderStatus;
  /** Why the order was refused; null for any other status. */
  readonly failure: Failure | null;
}
