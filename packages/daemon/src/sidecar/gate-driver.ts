/**
 * Runs the gate in front of the engine: tickets, orders and their end, and the drain that goes
 * before an order which takes the engine away. A drain lapses by itself, so that a planner which
 * died in the middle leaves no target idle.
 */
import { randomUUID } from 'node:crypto';
import {
  EventKind,
  type Failure,
  FailureError,
  GATE_OPTIONS,
  type GateContext,
  type GateEffect,
  GateEffectKind,
  type GateState,
  type LeaseView,
  type Order,
  type OrderSubmission,
  OrderStatus,
  type TicketRequest,
  createGate,
  engineAnswered,
  engineAnswerLost,
  engineRead,
  gateLeaseRead,
  gateLeaseReadFailed,
  parseLeaseKey,
  readOrder,
  requestTicket,
  submitOrder,
  tickGate,
} from '@cassiamast/coordination';
import {
  ENGINE_ANSWER_LOST,
  type EngineClient,
  type EngineOrder,
  type KeyValuePort,
} from '@cassiamast/ports';
import type { RpcHandler } from '../node/control-server.js';
import type { Telemetry } from '../node/telemetry.js';
import { createPeriodic } from '../node/timers.js';
import { RpcMethod } from '../protocol/methods.js';
import { type DrainRequest, type DrainStatus, plannerLeaseKey } from '../protocol/planning.js';
import type { Child } from '../supervisor/supervisor.js';

const TICK_MS = 200;

/** What the driver needs. */
export interface GateDriverOptions {
  readonly target: string;
  readonly nowMs: () => number;
  readonly keyValue: KeyValuePort;
  readonly telemetry: Telemetry;
  readonly engine: () => EngineClient | null;
  readonly service: () => string | null;
  readonly runningCount: () => number;
  /** Called when the drain before an order begins or ends. */
  readonly onDrain: (draining: boolean) => void;
}

/** The gate of one engine. */
export interface GateDriver {
  readonly child: Child;
  readonly handlers: Readonly<Record<string, RpcHandler>>;
  readonly state: GateState;
}

/** Makes the driver. */
export function createGateDriver(options: GateDriverOptions): GateDriver {
  const { keyValue, telemetry } = options;
  const state = createGate(options.target, GATE_OPTIONS, options.nowMs());
  let drainUntilMs = 0;
  let isDraining = false;

  const context = (): GateContext => ({ nowMs: options.nowMs(), newId: randomUUID });

  function perform(effects: readonly GateEffect[]): void {
    for (const effect of effects) performOne(effect);
  }

  function performOne(effect: GateEffect): void {
    switch (effect.kind) {
      case GateEffectKind.ReadLease:
        void readLease(effect.readId);
        return;
      case GateEffectKind.SendOrder:
        void sendOrder(effect.order);
        return;
      case GateEffectKind.ReadEngine:
        void readEngine(effect.readId);
        return;
      case GateEffectKind.Finished: {
        const { orderId, status, failure } = effect.report;
        const isDone = status === OrderStatus.Done;
        telemetry.emit({
          kind: isDone ? EventKind.OrderDone : EventKind.OrderRefused,
          target: options.target,
          service: options.service() ?? '',
          reason: failure?.message ?? 'the engine carried it out',
          figures: { orderId },
        });
      }
    }
  }

  async function readLease(readId: number): Promise<void> {
    const service = options.service();
    if (service === null) {
      perform(gateLeaseReadFailed(state, readId));
      return;
    }
    telemetry.count('key_value_reads_total');
    const entry = await keyValue.get(plannerLeaseKey(service));
    perform(
      entry.match(
        (found) => gateLeaseRead(state, readId, toLeaseView(found), context()),
        () => gateLeaseReadFailed(state, readId),
      ),
    );
  }

  async function readEngine(readId: number): Promise<void> {
    const view = await options.engine()?.state();
    // A failed read is made up for by the gate's own tick.
    if (view?.isOk() === true) perform(engineRead(state, readId, view.value));
  }

  async function sendOrder(order: Order): Promise<void> {
    const { orderId, fence, body } = order;
    const engine = options.engine();
    if (engine === null) {
      perform(engineAnswered(state, orderId, 'there is no engine'));
      return;
    }
    telemetry.count('orders_sent_total');
    const wire = { ...body, orderId, fence } as unknown as EngineOrder;
    const answer = await engine.order(wire);
    // The engine answers when it has taken the order up; its end is read back from its state.
    if (answer.isOk()) perform(engineAnswerLost(state, orderId, context()));
    else if (isUncertain(answer.error)) perform(engineAnswerLost(state, orderId, context()));
    else perform(engineAnswered(state, orderId, answer.error.message));
  }

  function applyDrain(): void {
    const draining = options.nowMs() < drainUntilMs || state.running !== null;
    if (draining === isDraining) return;
    isDraining = draining;
    if (draining) telemetry.emit({ kind: EventKind.TargetDraining, target: options.target });
    options.onDrain(draining);
  }

  function drain(request: DrainRequest): DrainStatus {
    // Only whoever could order may drain: a replaced planner must not idle a target either.
    if (request.fence < state.highestFence) return { runningAttempts: options.runningCount() };
    drainUntilMs = options.nowMs() + request.forMs;
    applyDrain();
    return { runningAttempts: options.runningCount() };
  }

  function submit(submission: OrderSubmission): null {
    const taken = submitOrder(state, submission, context());
    if (taken.isErr()) throw new FailureError(taken.error);
    perform(taken.value);
    applyDrain();
    return null;
  }

  return {
    state,
    handlers: {
      [RpcMethod.OrderTicket]: (params) => {
        const ticket = requestTicket(state, params as TicketRequest, context());
        if (ticket.isErr()) throw new FailureError(ticket.error);
        return ticket.value;
      },
      [RpcMethod.OrderSubmit]: (params) => submit(params as OrderSubmission),
      [RpcMethod.OrderRead]: (params) =>
        readOrder(state, (params as { readonly orderId: string }).orderId),
      [RpcMethod.TargetDrain]: (params) => drain(params as DrainRequest),
    },
    child: createPeriodic(
      'order-gate',
      () => TICK_MS,
      () => {
        perform(tickGate(state, context()));
        applyDrain();
      },
    ),
  };
}

function toLeaseView(
  entry: { readonly value: string; readonly createRevision: number } | null,
): LeaseView | null {
  const parsed = entry === null ? null : parseLeaseKey(entry.value);
  if (entry === null || parsed === null) return null;
  return { planner: parsed.planner, fence: entry.createRevision };
}

function isUncertain(failure: Failure): boolean {
  return ENGINE_ANSWER_LOST.is(failure);
}
