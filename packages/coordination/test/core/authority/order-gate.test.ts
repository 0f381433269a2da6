/** Tickets, verification and results of orders at the gate in front of an engine. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { EngineView, GateContext, GateEffect, GateState, Order } from '../../../src/index.js';
import {
  GATE_OPTIONS,
  GateEffectKind,
  MAX_FINISHED_ORDERS,
  OrderStatus,
  createGate,
  engineAnswerLost,
  engineAnswered,
  engineRead,
  gateLeaseRead,
  gateLeaseReadFailed,
  readOrder,
  requestTicket,
  submitOrder,
  tickGate,
} from '../../../src/index.js';

const IDLE: EngineView = {
  epoch: 'e1',
  orderInProgress: null,
  lastOrderDone: null,
  highestFence: 0,
};
const PLANNER = { planner: 'p:1', fence: 5 };
const READY_MS = GATE_OPTIONS.orderPickupMs;

let lastTicket = 0;

function at(nowMs: number): GateContext {
  return {
    nowMs,
    newId: () => {
      lastTicket += 1;
      return `ticket-${String(lastTicket)}`;
    },
  };
}

function readId(effects: readonly GateEffect[]): number {
  const read = effects.find((effect) => 'readId' in effect);
  assert.ok(read !== undefined && 'readId' in read);
  return read.readId;
}

function readyGate(): GateState {
  const gate = createGate('t1', GATE_OPTIONS, 0);
  gateLeaseRead(gate, readId(tickGate(gate, at(0))), PLANNER, at(1));
  engineRead(gate, readId(tickGate(gate, at(READY_MS))), IDLE);
  return gate;
}

function submit(gate: GateState, orderId: string, nowMs: number): number {
  const ticket = requestTicket(gate, PLANNER, at(nowMs))._unsafeUnwrap();
  const order: Order = { orderId, fence: PLANNER.fence, body: {} };
  const submission = { ...PLANNER, ticketId: ticket.ticketId, order };
  return readId(submitOrder(gate, submission, at(nowMs))._unsafeUnwrap());
}

function kinds(effects: readonly GateEffect[]): GateEffectKind[] {
  return effects.map((effect) => effect.kind);
}

function sendOrder(gate: GateState, orderId: string, nowMs = READY_MS): void {
  const effects = gateLeaseRead(gate, submit(gate, orderId, nowMs), PLANNER, at(nowMs + 5));
  assert.deepEqual(kinds(effects), [GateEffectKind.SendOrder]);
}

function failureName(effects: readonly GateEffect[]): string | undefined {
  const [effect] = effects;
  assert.ok(effect?.kind === GateEffectKind.Finished);
  return effect.report.failure?.name;
}

describe('the gate of an engine', () => {
  describe('after a start', () => {
    /**
     * A restarted sidecar has no fencing token in memory. Without reading it first, the gate would
     * accept orders of a planner that was replaced in the meantime.
     */
    it('issues no ticket until it has read the fencing token and seen the engine idle', () => {
      const gate = createGate('t1', GATE_OPTIONS, 0);
      const failureAt = (nowMs: number): string =>
        requestTicket(gate, PLANNER, at(nowMs))._unsafeUnwrapErr().name;
      assert.equal(failureAt(0), 'authority-not-learned');
      gateLeaseRead(gate, readId(tickGate(gate, at(0))), PLANNER, at(1));
      assert.equal(failureAt(2), 'authority-not-learned');
      const busy = { ...IDLE, orderInProgress: 'of the predecessor' };
      engineRead(gate, readId(tickGate(gate, at(READY_MS))), busy);
      assert.equal(failureAt(READY_MS), 'authority-not-learned');
      engineRead(gate, readId(tickGate(gate, at(READY_MS + 600))), IDLE);
      assert.ok(requestTicket(gate, PLANNER, at(READY_MS + 700)).isOk());
    });

    it('does not read the engine while it may still start an order of the predecessor', () => {
      const gate = createGate('t1', GATE_OPTIONS, 0);
      gateLeaseRead(gate, readId(tickGate(gate, at(0))), PLANNER, at(1));
      assert.deepEqual(tickGate(gate, at(READY_MS - 1)), []);
    });
  });

  describe('an order', () => {
    it('is sent with a fresh ticket after the lease was read', () => {
      const gate = readyGate();
      sendOrder(gate, 'o1');
      assert.equal(readOrder(gate, 'o1').status, OrderStatus.Running);
      assert.deepEqual(kinds(engineAnswered(gate, 'o1', null)), [GateEffectKind.Finished]);
      assert.equal(readOrder(gate, 'o1').status, OrderStatus.Done);
    });

    it('is rejected if its ticket was used, replaced, expired or issued to another planner', () => {
      const gate = readyGate();
      const first = requestTicket(gate, PLANNER, at(READY_MS))._unsafeUnwrap();
      const second = requestTicket(gate, PLANNER, at(READY_MS))._unsafeUnwrap();
      const order: Order = { orderId: 'o1', fence: 5, body: {} };
      const failureAt = (ticketId: string, planner: string, nowMs: number): string =>
        submitOrder(gate, { planner, fence: 5, ticketId, order }, at(nowMs))._unsafeUnwrapErr()
          .name;
      assert.equal(failureAt(first.ticketId, 'p:1', READY_MS), 'ticket-invalid');
      assert.equal(failureAt(second.ticketId, 'q:1', READY_MS), 'ticket-invalid');
      const lateMs = READY_MS + GATE_OPTIONS.ticketValidMs;
      assert.equal(failureAt(second.ticketId, 'p:1', lateMs), 'ticket-invalid');
    });

    it('of a planner with an older fencing token gets no ticket', () => {
      const gate = readyGate();
      const refused = requestTicket(gate, { planner: 'old:1', fence: 4 }, at(READY_MS));
      assert.equal(refused._unsafeUnwrapErr().name, 'fence-too-old');
    });

    it('has no effect when the lease has a new holder, has expired or cannot be read', () => {
      const gate = readyGate();
      const now = at(READY_MS + 5);
      const successor = { planner: 'q:1', fence: 6 };
      const lapsed = gateLeaseRead(gate, submit(gate, 'o2', READY_MS), null, now);
      assert.equal(failureName(lapsed), 'authority-lost');
      const failed = gateLeaseReadFailed(gate, submit(gate, 'o3', READY_MS));
      assert.equal(failureName(failed), 'authority-unverifiable');
      const passedOn = gateLeaseRead(gate, submit(gate, 'o1', READY_MS), successor, now);
      assert.equal(failureName(passedOn), 'authority-lost');
      assert.equal(readOrder(gate, 'o1').status, OrderStatus.Refused);
    });

    /**
     * The sidecar is paused after it read the lease, and the planner is replaced during the pause.
     * The gate must detect on its own clock that the read is too old, and read again before it
     * sends.
     */
    it('is verified again when the sidecar was paused after the lease was read', () => {
      const gate = readyGate();
      const lateMs = READY_MS + GATE_OPTIONS.maxLeaseReadAgeMs + 1;
      const again = gateLeaseRead(gate, submit(gate, 'o1', READY_MS), PLANNER, at(lateMs));
      assert.deepEqual(kinds(again), [GateEffectKind.ReadLease]);
      const successor = { planner: 'q:1', fence: 6 };
      const effects = gateLeaseRead(gate, readId(again), successor, at(lateMs + 5));
      assert.equal(failureName(effects), 'authority-lost');
    });

    /** A read from before a takeover is answered late, just after another order was submitted. */
    it('is not verified by the late answer to an earlier read', () => {
      const gate = readyGate();
      const earlier = submit(gate, 'o1', READY_MS);
      gateLeaseReadFailed(gate, earlier);
      submit(gate, 'o2', READY_MS + 100);
      assert.deepEqual(gateLeaseRead(gate, earlier, PLANNER, at(READY_MS + 200)), []);
      assert.equal(readOrder(gate, 'o2').status, OrderStatus.Verifying);
    });

    it('waits a limited time for the lease and for the engine', () => {
      const unread = readyGate();
      submit(unread, 'o1', READY_MS);
      const overMs = READY_MS + GATE_OPTIONS.ticketValidMs + GATE_OPTIONS.maxLeaseReadAgeMs;
      assert.deepEqual(tickGate(unread, at(overMs - 1)), []);
      assert.equal(failureName(tickGate(unread, at(overMs))), 'authority-unverifiable');
      const unanswered = readyGate();
      sendOrder(unanswered, 'o1');
      const lateMs = READY_MS + 5 + GATE_OPTIONS.engineAnswerTimeoutMs;
      assert.deepEqual(kinds(tickGate(unanswered, at(lateMs))), [GateEffectKind.ReadEngine]);
    });

    it('gets no ticket while the previous order is running', () => {
      const gate = readyGate();
      sendOrder(gate, 'o1');
      const refused = requestTicket(gate, PLANNER, at(READY_MS + 10));
      assert.equal(refused._unsafeUnwrapErr().name, 'order-busy');
    });
  });

  /** The engine executed the order or crashed while executing it, and its answer never arrived. */
  describe('an order whose answer was lost', () => {
    function gateWithLostAnswer(): GateState {
      const gate = readyGate();
      sendOrder(gate, 'o1');
      const effects = engineAnswerLost(gate, 'o1', at(READY_MS + 100));
      assert.deepEqual(kinds(effects), [GateEffectKind.ReadEngine]);
      return gate;
    }

    function readEngineAt(gate: GateState, nowMs: number, view: EngineView): GateEffect[] {
      return engineRead(gate, readId(tickGate(gate, at(nowMs))), view);
    }

    it('is found done, still running or never started by reading the engine', () => {
      const running = { ...IDLE, orderInProgress: 'o1' };
      assert.deepEqual(readEngineAt(gateWithLostAnswer(), READY_MS + 700, running), []);
      const done = { ...IDLE, lastOrderDone: 'o1' };
      const [finished] = readEngineAt(gateWithLostAnswer(), READY_MS + 700, done);
      assert.ok(finished?.kind === GateEffectKind.Finished);
      assert.equal(finished.report.status, OrderStatus.Done);
      const gate = gateWithLostAnswer();
      assert.deepEqual(readEngineAt(gate, READY_MS + 700, IDLE), []);
      const lateMs = READY_MS + 5 + GATE_OPTIONS.orderPickupMs;
      assert.equal(failureName(readEngineAt(gate, lateMs, IDLE)), 'order-not-done');
    });

    it('is never sent again', () => {
      const gate = gateWithLostAnswer();
      for (let nowMs = READY_MS + 200; nowMs < READY_MS + 4_000; nowMs += 100) {
        assert.ok(!kinds(tickGate(gate, at(nowMs))).includes(GateEffectKind.SendOrder));
      }
    });
  });

  describe('bounds', () => {
    it('keeps only the latest finished orders', () => {
      const gate = readyGate();
      for (let index = 0; index < MAX_FINISHED_ORDERS + 10; index += 1) {
        sendOrder(gate, `o${String(index)}`);
        engineAnswered(gate, `o${String(index)}`, null);
      }
      assert.equal(gate.finished.length, MAX_FINISHED_ORDERS);
      assert.equal(readOrder(gate, 'o0').status, OrderStatus.Unknown);
    });
  });
});
