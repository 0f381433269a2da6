/**
 * Types and options of the gate that a sidecar keeps in front of its engine: the state of the gate
 * and the effects that the sidecar process executes for it.
 */
import type { Order, OrderReport } from './orders.js';

/** The kinds of {@link GateEffect}. */
export enum GateEffectKind {
  /**
   * Read the service's lease key, then call `gateLeaseRead` or `gateLeaseReadFailed` with the
   * `readId`.
   */
  ReadLease = 'read-lease',
  /** Send the order to the engine at once, then call `engineAnswered` or `engineAnswerLost`. */
  SendOrder = 'send-order',
  /**
   * Read the engine's state, then call `engineRead` with the `readId`. A failed read need not be
   * reported: the gate requests another one.
   */
  ReadEngine = 'read-engine',
  /** The order ended. */
  Finished = 'finished',
}

/** An action that the gate requests from its process. */
export type GateEffect =
  | {
      readonly kind: GateEffectKind.ReadLease | GateEffectKind.ReadEngine;
      /** Distinguishes the answer to this read from a late answer to an earlier one. */
      readonly readId: number;
    }
  | { readonly kind: GateEffectKind.SendOrder; readonly order: Order }
  | { readonly kind: GateEffectKind.Finished; readonly report: OrderReport };

/** Switches for the safety rules of the gate. The fuzzer turns off one at a time. */
export interface GateGuards {
  /** Whether no ticket is issued before the fencing token and an idle engine were seen. */
  readonly readsFenceAfterStart: boolean;
  /** Whether an order needs a valid, unused ticket. */
  readonly ticketIsChecked: boolean;
  /** Whether an order is sent only if the lease key still names its planner. */
  readonly leaseIsReadBack: boolean;
  /** Whether a lease read older than `maxLeaseReadAgeMs` is repeated. */
  readonly repeatsStaleRead: boolean;
  /** Whether an order is rejected while another one is running. */
  readonly oneAtATime: boolean;
  /** Whether the engine's state is read after a lost answer, instead of sending the order again. */
  readonly readsEngineState: boolean;
}

/** Options of a gate. */
export interface GateOptions {
  /** Lifetime of a ticket on the gate's clock: covers a round trip and a slow key-value read. */
  readonly ticketValidMs: number;
  /** Maximum age of a lease read on which an order is sent. */
  readonly maxLeaseReadAgeMs: number;
  /**
   * An engine starts an order within this time after it was written to the connection, or never.
   * The successor of a killed sidecar waits this long before it reads the engine's state.
   */
  readonly orderPickupMs: number;
  readonly readBackIntervalMs: number;
  /** Time without an answer after which the engine's state is read instead. */
  readonly engineAnswerTimeoutMs: number;
  readonly guards: GateGuards;
}

/** The default switches: every safety rule is on. */
export const GATE_GUARDS: GateGuards = {
  readsFenceAfterStart: true,
  ticketIsChecked: true,
  leaseIsReadBack: true,
  repeatsStaleRead: true,
  oneAtATime: true,
  readsEngineState: true,
};

/** The default options; see docs/design/authority.md. */
export const GATE_OPTIONS: GateOptions = {
  ticketValidMs: 5_000,
  maxLeaseReadAgeMs: 1_000,
  orderPickupMs: 5_000,
  readBackIntervalMs: 500,
  engineAnswerTimeoutMs: 10_000,
  guards: GATE_GUARDS,
};

/** Number of finished orders that are kept for planners whose answer was lost. */
export const MAX_FINISHED_ORDERS = 16;

/** The phase of the running order. */
export enum GatePhase {
  Verifying = 'verifying',
  Sent = 'sent',
  ReadingBack = 'reading-back',
}

/** The order that the gate is processing. */
export interface RunningOrder {
  readonly order: Order;
  readonly planner: string;
  phase: GatePhase;
  readonly expiresAtMs: number;
  leaseReadId: number;
  leaseReadSentAtMs: number;
  sentAtMs: number;
  readBackAtMs: number;
  /** The engine's epoch when the order was accepted; null if it was not known. */
  readonly epoch: string | null;
}

/** The inputs of each step of the gate. */
export interface GateContext {
  readonly nowMs: number;
  /** A new unguessable id. */
  readonly newId: () => string;
}

/** The state of the gate of one engine. */
export interface GateState {
  readonly options: GateOptions;
  readonly target: string;
  readonly startedAtMs: number;
  /** Whether the current fencing token and an idle engine were seen since the start. */
  learned: boolean;
  leaseWasRead: boolean;
  nextLearnAtMs: number;
  lastReadId: number;
  /** The latest read of the engine that was requested. */
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

/** Creates the state of a gate that has just started and issues no tickets yet. */
export function createGate(target: string, options: GateOptions, nowMs: number): GateState {
  return {
    options,
    target,
    startedAtMs: nowMs,
    learned: false,
    leaseWasRead: false,
    nextLearnAtMs: nowMs,
    lastReadId: 0,
    engineReadSent: { readId: 0, sentAtMs: nowMs },
    highestFence: 0,
    engineEpoch: null,
    ticket: null,
    running: null,
    finished: [],
  };
}
