/**
 * Interface for controlling engines that register themselves: reads an engine's phase and cache
 * contents, and orders it to change its phase. An order without a response may have been accepted,
 * and the engine may still execute it later.
 */
import type { EnginePhase, Failure, PromptPart, TargetEntry } from '@cassiamast/coordination';
import type { ResultAsync } from 'neverthrow';
import type { TargetAnnouncement } from '../caller-wire/port.js';

/** The phase and the order status of an engine. */
export interface EngineStatus {
  readonly phase: EnginePhase | null;
  /** Whether the engine is executing an order. */
  readonly busy: boolean;
  /** Number of orders that the engine has accepted since its start. */
  readonly ordersAccepted: number;
}

/** The holder of the planner lease that issues an order, and its fencing token. */
export interface OrderAuthority {
  readonly holder: string;
  /**
   * Fencing token; increases with each holder. Some engines reject one lower than they have seen.
   */
  readonly fence: number;
}

/** An engine's answer to an order. */
export enum OrderAnswer {
  /** The engine is executing the order. */
  Accepted = 'accepted',
  /** The engine is already in the ordered state. */
  AlreadyApplied = 'already-holds',
  /** Another order is in progress, or was accepted in the meantime. */
  Conflict = 'conflict',
  /** The engine has seen a higher fencing token. */
  Fenced = 'fenced',
  /** Another incarnation of the target has this address, or the engine does not know the order. */
  Refused = 'refused',
}

/** A response of an engine: the call, its status and what it announces. */
export interface AnsweredCall extends TargetAnnouncement {
  readonly call: string;
  readonly status: number;
}

/** Control calls to engines. None of them retries. */
export interface EngineControlPort {
  /** Sets the listener for all responses. There is one listener at a time. */
  readonly onAnswer: (listener: (target: TargetEntry, answered: AnsweredCall) => void) => void;
  readonly readStatus: (target: TargetEntry) => ResultAsync<EngineStatus, Failure>;
  /** Returns the prompt parts in its cache. Slows the engine briefly; not for regular use. */
  readonly readCache: (target: TargetEntry) => ResultAsync<readonly PromptPart[], Failure>;
  readonly orderPhase: (
    target: TargetEntry,
    phase: EnginePhase,
    authority: OrderAuthority,
    ordersAccepted: number,
  ) => ResultAsync<OrderAnswer, Failure>;
}
