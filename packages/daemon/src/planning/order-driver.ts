/**
 * Issues one order to one target. Drains the target first if its engine can't serve requests while
 * it carries out the order.
 */
import { randomUUID } from 'node:crypto';
import {
  type Failure,
  type OrderBody,
  type OrderContext,
  type OrderEffect,
  OrderEffectKind,
  type OrderReport,
  type OrderState,
  type Ticket,
  startOrder,
  orderReported,
  submissionAnswered,
  submissionLost,
  ticketReceived,
  ticketRefused,
  tickOrder,
} from '@cassiamast/coordination';
import { MEMBER_UNREACHABLE } from '../node/failures.js';
import type { RpcClient } from '../node/rpc-client.js';
import { RpcMethod } from '../protocol/methods.js';
import type { DrainStatus } from '../protocol/planning.js';

const CALL_TIMEOUT_MS = 2_000;
/** A drain expires unless it is renewed within this time. */
const DRAIN_TTL_MS = 5_000;

/** Parameters and dependencies of an order. */
export interface OrderDriverOptions {
  readonly planner: string;
  readonly fence: number;
  readonly sidecar: string;
  readonly body: OrderBody;
  /** Whether the target accepts no new work before and during the execution of the order. */
  readonly drains: boolean;
  /** Time after which the order is abandoned if the target has not drained. */
  readonly drainGiveUpMs: number;
  readonly nowMs: () => number;
  readonly rpc: RpcClient;
  readonly mayOrder: () => boolean;
  readonly onSent: () => void;
  /** Called exactly once; the failure is null if the order succeeded. */
  readonly onEnded: (failure: Failure | null) => void;
}

/** An order in progress; `tick` is to be called a few times a second. */
export interface OrderDriver {
  readonly tick: () => void;
}

/** Creates the driver of one order; the first tick starts the order. */
export function createOrderDriver(options: OrderDriverOptions): OrderDriver {
  const { rpc, sidecar, planner, fence } = options;
  const startedAtMs = options.nowMs();
  let state: OrderState | null = null;
  let isDrainCallPending = false;
  let hasEnded = false;

  const context = (): OrderContext => ({ nowMs: options.nowMs(), mayOrder: options.mayOrder });

  function perform(effects: readonly OrderEffect[]): void {
    for (const effect of effects) performOne(effect);
  }

  function performOne(effect: OrderEffect): void {
    switch (effect.kind) {
      case OrderEffectKind.RequestTicket:
        void requestTicket();
        return;
      case OrderEffectKind.Submit:
        options.onSent();
        void submit(effect.ticketId);
        return;
      case OrderEffectKind.ReadOrder:
        void readOrder(effect.orderId);
        return;
      case OrderEffectKind.Ended:
        hasEnded = true;
        options.onEnded(effect.failure);
    }
  }

  async function requestTicket(): Promise<void> {
    const ticket = await call<Ticket>(RpcMethod.OrderTicket, { planner, fence });
    const current = state;
    if (current === null) return;
    perform(
      ticket.match(
        (granted) => ticketReceived(current, granted, context()),
        (failure) => ticketRefused(current, failure),
      ),
    );
  }

  async function submit(ticketId: string): Promise<void> {
    const current = state;
    if (current === null) return;
    const submission = { planner, fence, ticketId, order: current.order };
    const answer = await call<null>(RpcMethod.OrderSubmit, submission);
    perform(
      answer.match(
        () => submissionAnswered(current, null, context()),
        (failure) =>
          MEMBER_UNREACHABLE.is(failure)
            ? submissionLost(current, context())
            : submissionAnswered(current, failure, context()),
      ),
    );
  }

  async function readOrder(orderId: string): Promise<void> {
    const report = await call<OrderReport>(RpcMethod.OrderRead, { orderId });
    const current = state;
    if (current === null || report.isErr()) return;
    perform(orderReported(current, report.value, context()));
  }

  function call<Answer>(method: RpcMethod, params: unknown): ReturnType<typeof rpc.call<Answer>> {
    return rpc.call<Answer>(sidecar, method, params, { timeoutMs: CALL_TIMEOUT_MS });
  }

  async function renewDrain(): Promise<void> {
    if (isDrainCallPending) return;
    isDrainCallPending = true;
    const status = await call<DrainStatus>(RpcMethod.TargetDrain, { fence, forMs: DRAIN_TTL_MS });
    isDrainCallPending = false;
    if (state !== null || hasEnded) return;
    if (status.isOk() && status.value.runningAttempts === 0) issueOrder();
    else if (options.nowMs() - startedAtMs > options.drainGiveUpMs) abandon(status.isOk());
  }

  function abandon(answered: boolean): void {
    hasEnded = true;
    const cause = answered ? 'running work did not end in time' : 'no answer to the drain';
    options.onEnded(
      MEMBER_UNREACHABLE.of({
        member: sidecar,
        method: RpcMethod.TargetDrain,
        cause,
        mayHaveRun: false,
      }),
    );
  }

  function issueOrder(): void {
    const issued = startOrder(randomUUID(), fence, options.body, context());
    state = issued.state;
    perform(issued.effects);
  }

  return {
    tick: () => {
      if (hasEnded) return;
      if (options.drains && state === null) void renewDrain();
      else if (state === null) issueOrder();
      else perform(tickOrder(state, context()));
    },
  };
}
