/** The state of an engine's gate, its settings and what it asks its process to do. */
import type { Order, OrderReport } from './orders.js';

/** Kinds of gate effects. */
export enum GateEffectKind {
  /** Read the service's lease key; feed `gateLeaseRead` or `gateLeaseReadFailed` with the `readId`. */
  ReadLease = 'read-lease',
  /** Hand the order to the engine at once; feed `engineAnswered` or `engineAnswerLost`. */
  SendOrder = 'send-order',
  /**
   * Read the engine's state; feed `engineRead` with the `readId`. A failure needs no answer: it is
   * read again.
   */
  ReadEngine = 'read-engine',
  /** The order ended. */
  Finished = 'finished',
}

/** An effect of the gate. */
export type GateEffect =
  | {
      readonly kind: GateEffectKind.ReadLease | GateEffectKind.ReadEngine;
      /** Tells the answer to this read from a late answer to an earlier one. */
      readonly readId: number;
    }
  | { readonly kind: GateEffectKind.SendOrder; readonly order: Order }
  | { readonly kind: GateEffectKind.Finished; readonly report: OrderReport };

/** Guards; each prevents one failure that the design note names. */
export interface GateGuards {
  readonly learnsFirst: boolean;
  readonly ticketIsChecked: boolean;
  readonly leaseIsReadBack: boolean;
  readonly rereadsAfterPause: boolean;
  readonly oneAtATime: boolean;
  readonly readsBack: boolean;
}

/** Settings of a gate. */
export interface GateOptions {
  /** Validity of a ticket on the gate's clock: a round trip, with room for a slow key-value read. */
  readonly ticketValidMs: number;
  /** Oldest lease read that is acted on. */
  readonly checkToActMs: number;
  /**
   * An engine takes an order up within this time of its being written, or never: what a successor of
   * a killed sidecar waits before it gives the first order.
   */
  readonly quietAfterStartMs: number;
  readonly readBackIntervalMs: number;
  /** An engine that has not answered after this is asked for its state. */
  readonly engineAnswerMs: number;
  readonly guards: GateGuards;
}

/** The default guards: all in place. */
export const GATE_GUARDS: GateGuards = {
  learnsFirst: true,
  ticketIsChecked: true,
  leaseIsReadBack: true,
  rereadsAfterPause: true,
  oneAtATime: true,
  readsBack: true,
};

/** The default settings; see docs/design/authority.md. */
export const GATE_OPTIONS: GateOptions = {
  ticketValidMs: 5_000,
  checkToActMs: 1_000,
  quietAfterStartMs: 5_000,
  readBackIntervalMs: 500,
  engineAnswerMs: 10_000,
  guards: GATE_GUARDS,
};

/** Ended orders that are remembered for planners whose answer was lost. */
export const MAX_FINISHED_ORDERS = 16;

/** Where the one order under way stands. */
export enum GatePhase {
  Verifying = 'verifying',
  Sent = 'sent',
  ReadingBack = 'reading-back',
}

/** The order under way. */
export interface RunningOrder {
  readonly order: Order;
  readonly planner: string;
  phase: GatePhase;
  readonly expiresAtMs: number;
  leaseReadId: number;
  leaseReadSentAtMs: number;
  sentAtMs: number;
  readBackAtMs: number;
  /** The engine's epoch when the order was taken; null when it was not known. */
  readonly epoch: string | null;
}

/** What the gate needs at each step. */
export interface GateContext {
  readonly nowMs: number;
  /** A new unguessable id. */
  readonly newId: () => string;
}

/** The state of one engine's gate. */
export interface GateState {
  readonly options: GateOptions;
  readonly target: string;
  readonly startedAtMs: number;
  /** Whether the current fencing number and an idle engine were seen since the start. */
  learned: boolean;
  leaseLearned: boolean;
  learnAtMs: number;
  lastReadId: number;
  /** The latest read of the engine. */
  engineReadSent: { readonly readId: number; readonly sentAtMs: number };
  highestFence: number;
  engineEpoch: string | null;
  ticket: {
    readonly ticketId: string;
    readonly planner: string;
    readonly fence: number;
    readonly expiresAtMs: number;
  } | null;
  running: RunningOrder | null;
  readonly finished: OrderReport[];
}

/** A gate that has just started and obeys nobody yet. */
export function createGate(target: string, options: GateOptions, nowMs: number): GateState {
  return {
    options,
    target,
    startedAtMs: nowMs,
    learned: false,
    leaseLearned: false,
    learnAtMs: nowMs,
    lastReadId: 0,
    engineReadSent: { readId: 0, sentAtMs: nowMs },
    highestFence: 0,
    engineEpoch: null,
    ticket: null,
    running: null,
    finished: [],
  };
}
