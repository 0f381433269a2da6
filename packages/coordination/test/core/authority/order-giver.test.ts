/** The planner's side of an order. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { OrderContext, OrderEffect, OrderState } from '../../../src/index.js';
import {
  OrderEffectKind,
  OrderStatus,
  giveOrder,
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

function submitted(): OrderState {
  const { state } = giveOrder('o1', 5, { kind: 'set-role' }, at(0));
  const [submit] = ticketReceived(state, TICKET, at(10));
  assert.ok(submit?.kind === OrderEffectKind.Submit && submit.ticketId === 'x');
  return state;
}

function ending(effects: readonly OrderEffect[]): string | null | undefined {
  const [effect] = effects;
  return effect?.kind === OrderEffectKind.Ended ? (effect.failure?.name ?? null) : undefined;
}

function report(status: OrderStatus) {
  return { orderId: 'o1', status, failure: null };
}

describe('giving an order', () => {
  describe('without authority', () => {
    it('ends at once, also when authority was lost while the ticket was on its way', () => {
      assert.equal(ending(giveOrder('o1', 5, {}, at(0, false)).effects), 'order-not-done');
      const { state } = giveOrder('o1', 5, {}, at(0));
      assert.equal(ending(ticketReceived(state, TICKET, at(10, false))), 'order-not-done');
    });
  });

  describe('with a ticket', () => {
    it('ends with the refusal of ticket or submission', () => {
      const failure = ticketInvalid.of({ ticketId: 'x' });
      const { state } = giveOrder('o1', 5, {}, at(0));
      assert.equal(ending(ticketRefused(state, failure)), 'ticket-invalid');
      assert.equal(ending(submissionAnswered(submitted(), failure, at(20))), 'ticket-invalid');
    });

    it('does not wait for a ticket for ever', () => {
      const { state } = giveOrder('o1', 5, {}, at(0));
      assert.deepEqual(tickOrder(state, at(2_999)), []);
      assert.equal(ending(tickOrder(state, at(3_000))), 'order-not-done');
    });
  });

  /** The submission arrived and its answer was lost; sent again it would be carried out twice. */
  describe('whose answer was lost', () => {
    it('asks the sidecar until the end is known, and never submits again', () => {
      const state = submitted();
      assert.deepEqual(submissionLost(state, at(100)), []);
      const [read] = tickOrder(state, at(700));
      assert.equal(read?.kind, OrderEffectKind.ReadOrder);
      assert.deepEqual(orderReported(state, report(OrderStatus.Running), at(710)), []);
      assert.equal(ending(orderReported(state, report(OrderStatus.Done), at(1_300))), null);
    });

    it('believes "unknown" only after the ticket has expired', () => {
      const state = submitted();
      submissionLost(state, at(100));
      assert.deepEqual(orderReported(state, report(OrderStatus.Unknown), at(5_000)), []);
      const end = orderReported(state, report(OrderStatus.Unknown), at(5_011));
      assert.equal(ending(end), 'order-not-done');
    });
  });
});
