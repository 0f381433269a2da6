/**
 * Orders, tickets and their outcomes as planner, sidecar and engine exchange them. Plain JSON.
 */
import type { Failure } from '../failures/failure.js';

/** What an order asks for: the fields of the engine's order beside its id and fencing number. */
export type OrderBody = Readonly<Record<string, unknown>>;

/** An order as the sidecar hands it to its engine. */
export interface Order {
  readonly orderId: string;
  /** Create revision of the lease key under which it was given. */
  readonly fence: number;
  readonly body: OrderBody;
}

/** Permission for one order, made by the sidecar that will act on it. */
export interface Ticket {
  readonly ticketId: string;
  readonly fence: number;
  /** How long it is valid, on the sidecar's clock, from the moment it was made. */
  readonly validMs: number;
}

/** A planner's request for a ticket: RPC `order.ticket`. */
export interface TicketRequest {
  readonly planner: string;
  readonly fence: number;
}

/** A planner's order: RPC `order.submit`. */
export interface OrderSubmission extends TicketRequest {
  readonly ticketId: string;
  readonly order: Order;
}

/** Who holds the lease according to the key-value service. */
export interface LeaseView {
  readonly planner: string;
  /** Create revision of the key. */
  readonly fence: number;
}

/** What a sidecar reads of its engine; a subset of the engine's state. */
export interface EngineView {
  readonly epoch: string;
  readonly orderInProgress: string | null;
  readonly lastOrderDone: string | null;
  readonly highestFence: number;
}

/** Where an order stands, as its sidecar knows it. */
export enum OrderStatus {
  /** Never taken here, or so long ago that it is forgotten. */
  Unknown = 'unknown',
  /** The lease is being read back; nothing was sent to the engine yet. */
  Verifying = 'verifying',
  /** Handed to the engine. */
  Running = 'running',
  Done = 'done',
  /** Ended without effect. */
  Refused = 'refused',
}

/** Answer to `order.read`. */
export interface OrderReport {
  readonly orderId: string;
  readonly status: OrderStatus;
  /** Why it was refused. */
  readonly failure: Failure | null;
}
