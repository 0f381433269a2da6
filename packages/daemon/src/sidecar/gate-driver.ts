/**
 * Runs the gate that checks orders before they reach the engine. It issues tickets, submits orders,
 * follows them to their end and drains the target before an order that makes the engine unavailable.
 * A drain expires by itself, so that a planner which dies during a drain does not leave the target
 * idle.
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

/** Dependencies of the gate driver. */
export interface GateDriverOptions {
  readonly target: string;
  readonly nowMs: () => number;
  readonly keyValue: KeyValuePort;
  readonly telemetry: Telemetry;
  readonly engine: () => EngineClient | null;
  readonly service: () => string | null;
  readonly runningCount: () => number;
  /** Called when a drain begins or ends. */
  readonly onDrain: (draining: boolean) => void;
}

/** Gate of one engine with its RPC handlers and periodic task. */
export interface GateDriver {
  readonly child: Child;
  readonly handlers: Readonly<Record<string, RpcHandler>>;
  readonly state: GateState;
}

/** Creates the gate driver of one target. */
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
    // A failed read needs no handling here: the tick of the gate reads the state again.
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
    const engineOrder = { ...body, orderId, fence } as unknown as EngineOrder;
    const answer = await engine.order(engineOrder);
    // The engine answers once it has started the order; the result is read from its state later.
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
    // A drain needs a current fencing token like an order: a replaced planner must not idle a target.
    if (request.fence < state.highestFence) return { runningAttempts: options.runningCount() };
    drainUntilMs = options.nowMs() + request.forMs;
    applyDrain();
    return { runningAttempts: options.runningCount() };
  }

  function submit(submission: OrderSubmission): null {
    const submitted = submitOrder(state, submission, context());
    if (submitted.isErr()) throw new FailureError(submitted.error);
    perform(submitted.value);
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
