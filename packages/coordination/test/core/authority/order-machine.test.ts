/** The planner's side of an order: ticket, submission and polling for the result. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { OrderContext, OrderEffect, OrderState } from '../../../src/index.js';
import {
  OrderEffectKind,
  OrderStatus,
  startOrder,
  orderReported,
  submissionAnswered,
  submissionLost,
  ticketInvalid,
  ticketReceived,
  ticketRefused,
  tickOrder,
} from '../../../src/index.js';

function at(nowMs: number, mayOrder = true): OrderContext {
  return { nowMs, mayOrder: () => mayOrder };
}

const TICKET = { ticketId: 'x', fence: 5, validMs: 5_000 };

function submittedOrder(): OrderState {
  const { state } = startOrder('o1', 5, { kind: 'set-role' }, at(0));
  const [submit] = ticketReceived(state, TICKET, at(10));
  assert.ok(submit?.kind === OrderEffectKind.Submit && submit.ticketId === 'x');
  return state;
}

function endFailureName(effects: readonly OrderEffect[]): string | null | undefined {
  const [effect] = effects;
  return effect?.kind === OrderEffectKind.Ended ? (effect.failure?.name ?? null) : undefined;
}

function report(status: OrderStatus) {
  return { orderId: 'o1', status, failure: null };
}

describe('an order at its planner', () => {
  describe('without authority', () => {
    it('ends at once, also when authority was lost while the ticket was in transit', () => {
      assert.equal(endFailureName(startOrder('o1', 5, {}, at(0, false)).effects), 'order-not-done');
      const { state } = startOrder('o1', 5, {}, at(0));
      assert.equal(endFailureName(ticketReceived(state, TICKET, at(10, false))), 'order-not-done');
    });
  });

  describe('with a ticket', () => {
    it('ends when the ticket or the submission is rejected', () => {
      const failure = ticketInvalid.of({ ticketId: 'x' });
      const { state } = startOrder('o1', 5, {}, at(0));
      assert.equal(endFailureName(ticketRefused(state, failure)), 'ticket-invalid');
      assert.equal(
        endFailureName(submissionAnswered(submittedOrder(), failure, at(20))),
        'ticket-invalid',
      );
    });

    it('waits a limited time for a ticket', () => {
      const { state } = startOrder('o1', 5, {}, at(0));
      assert.deepEqual(tickOrder(state, at(2_999)), []);
      assert.equal(endFailureName(tickOrder(state, at(3_000))), 'order-not-done');
    });
  });

  /** The submission arrived but its answer was lost: a second one would execute the order twice. */
  describe('after a lost answer', () => {
    it('polls the sidecar until the result is known, and never submits again', () => {
      const state = submittedOrder();
      assert.deepEqual(submissionLost(state, at(100)), []);
      const [read] = tickOrder(state, at(700));
      assert.equal(read?.kind, OrderEffectKind.ReadOrder);
      assert.deepEqual(orderReported(state, report(OrderStatus.Running), at(710)), []);
      assert.equal(endFailureName(orderReported(state, report(OrderStatus.Done), at(1_300))), null);
    });

    it('accepts the status "unknown" only after the ticket has expired', () => {
      const state = submittedOrder();
      submissionLost(state, at(100));
      assert.deepEqual(orderReported(state, report(OrderStatus.Unknown), at(5_000)), []);
      const end = orderReported(state, report(OrderStatus.Unknown), at(5_011));
      assert.equal(endFailureName(end), 'order-not-done');
    });
  });
});
