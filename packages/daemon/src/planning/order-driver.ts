/** Gives one order to one target: drains it first where the order takes its engine away. */
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
  giveOrder,
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
/** A drain lapses unless it is asked for again within this. */
const DRAIN_MS = 5_000;

/** What an order is given with. */
export interface OrderDriverOptions {
  readonly planner: string;
  readonly fence: number;
  readonly sidecar: string;
  readonly body: OrderBody;
  /** Whether the target takes no new work before and while the order is carried out. */
  readonly drains: boolean;
  /** The order is given up when the target has not drained by then. */
  readonly drainGiveUpMs: number;
  readonly nowMs: () => number;
  readonly rpc: RpcClient;
  readonly mayOrder: () => boolean;
  readonly onSent: () => void;
  /** Called once; the failure is null when the order is done. */
  readonly onEnded: (failure: Failure | null) => void;
}

/** An order under way; `tick` a few times a second. */
export interface OrderDriver {
  readonly tick: () => void;
}

/** Starts an order. */
export function createOrderDriver(options: OrderDriverOptions): OrderDriver {
  const { rpc, sidecar, planner, fence } = options;
  const startedAtMs = options.nowMs();
  let state: OrderState | null = null;
  let isAsking = false;
  let isOver = false;

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
        isOver = true;
        options.onEnded(effect.failure);
    }
  }

  async function requestTicket(): Promise<void> {
    const ticket = await call<Ticket>(RpcMethod.OrderTicket, { planner, fence });
    const current = state;
    if (current === null) return;
    perform(
      ticket.match(
        (given) => ticketReceived(current, given, context()),
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

  async function keepDraining(): Promise<void> {
    if (isAsking) return;
    isAsking = true;
    const status = await call<DrainStatus>(RpcMethod.TargetDrain, { fence, forMs: DRAIN_MS });
    isAsking = false;
    if (state !== null || isOver) return;
    if (status.isOk() && status.value.runningAttempts === 0) begin();
    else if (options.nowMs() - startedAtMs > options.drainGiveUpMs) giveUp(status.isOk());
  }

  function giveUp(answered: boolean): void {
    isOver = true;
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

  function begin(): void {
    const given = giveOrder(randomUUID(), fence, options.body, context());
    state = given.state;
    perform(given.effects);
  }

  return {
    tick: () => {
      if (isOver) return;
      if (options.drains && state === null) void keepDraining();
      else if (state === null) begin();
      else perform(tickOrder(state, context()));
    },
  };
}
