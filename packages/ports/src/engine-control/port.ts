/**
 * Calls to engines that register themselves: reading where one stands and what its cache holds, and
 * having it change what it does for prompts. An order without an answer may have been accepted, or be carried out later.
 */
import type { EnginePhase, Failure, PromptPart, TargetEntry } from '@cassiamast/coordination';
import type { ResultAsync } from 'neverthrow';

/** Where an engine stands. */
export interface EngineStanding {
  readonly phase: EnginePhase | null;
  /** Whether it carries out an order. */
  readonly busy: boolean;
  /** Orders that it has accepted since its start. */
  readonly ordersAccepted: number;
}

/** Who gives an order. */
export interface OrderAuthority {
  readonly holder: string;
  /** Grows with each holder; some engines refuse a lower one than they have seen. */
  readonly fence: number;
}

/** What an engine said to an order. */
export enum OrderAnswer {
  /** It is being carried out. */
  Accepted = 'accepted',
  /** What was ordered already holds. */
  AlreadyHolds = 'already-holds',
  /** Another order is in progress, or came in between. */
  Conflict = 'conflict',
  /** The engine has seen a higher fence. */
  Fenced = 'fenced',
  /** Another start of the target has its address, or it does not know the order. */
  Refused = 'refused',
}

/** What an engine named in its answer to a call. */
export interface AnsweredCall {
  readonly call: string;
  readonly status: number;
  /** Requests a second that it takes from all gateways together; null where it names none. */
  readonly limitPerS: number | null;
}

/** Calls to engines. None retries by itself. */
export interface EngineControlPort {
  /** Calls `listener` with each answer; one listener at a time. */
  readonly onAnswer: (listener: (target: TargetEntry, answered: AnsweredCall) => void) => void;
  readonly readStanding: (target: TargetEntry) => ResultAsync<EngineStanding, Failure>;
  /** The parts in its cache. Slows the engine for a moment: not for regular use. */
  readonly readCache: (target: TargetEntry) => ResultAsync<readonly PromptPart[], Failure>;
  readonly orderPhase: (
    target: TargetEntry,
    phase: EnginePhase,
    authority: OrderAuthority,
    ordersAccepted: number,
  ) => ResultAsync<OrderAnswer, Failure>;
}
