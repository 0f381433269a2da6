/** The gate in front of an engine: whom it obeys, when, and how often. */
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
const READY_MS = GATE_OPTIONS.quietAfterStartMs;

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

function ready(): GateState {
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

function sent(gate: GateState, orderId: string, nowMs = READY_MS): void {
  const effects = gateLeaseRead(gate, submit(gate, orderId, nowMs), PLANNER, at(nowMs + 5));
  assert.deepEqual(kinds(effects), [GateEffectKind.SendOrder]);
}

function refusal(effects: readonly GateEffect[]): string | undefined {
  const [effect] = effects;
  assert.ok(effect?.kind === GateEffectKind.Finished);
  return effect.report.failure?.name;
}

describe('the gate of an engine', () => {
  describe('after a start', () => {
    /**
     * A sidecar is killed and replaced; the fresh one remembers no fencing number. A planner that
     * was replaced meanwhile must not find a gate that believes it.
     */
    it('obeys nobody until it has learned the fencing number and seen the engine idle', () => {
      const gate = createGate('t1', GATE_OPTIONS, 0);
      const name = (nowMs: number): string =>
        requestTicket(gate, PLANNER, at(nowMs))._unsafeUnwrapErr().name;
      assert.equal(name(0), 'authority-not-learned');
      gateLeaseRead(gate, readId(tickGate(gate, at(0))), PLANNER, at(1));
      assert.equal(name(2), 'authority-not-learned');
      const busy = { ...IDLE, orderInProgress: 'of the predecessor' };
      engineRead(gate, readId(tickGate(gate, at(READY_MS))), busy);
      assert.equal(name(READY_MS), 'authority-not-learned');
      engineRead(gate, readId(tickGate(gate, at(READY_MS + 600))), IDLE);
      assert.ok(requestTicket(gate, PLANNER, at(READY_MS + 700)).isOk());
    });

    it('does not look at the engine before an order of its predecessor must have arrived', () => {
      const gate = createGate('t1', GATE_OPTIONS, 0);
      gateLeaseRead(gate, readId(tickGate(gate, at(0))), PLANNER, at(1));
      assert.deepEqual(tickGate(gate, at(READY_MS - 1)), []);
    });
  });

  describe('an order', () => {
    it('passes on a fresh ticket after the lease was read back', () => {
      const gate = ready();
      sent(gate, 'o1');
      assert.equal(readOrder(gate, 'o1').status, OrderStatus.Running);
      assert.deepEqual(kinds(engineAnswered(gate, 'o1', null)), [GateEffectKind.Finished]);
      assert.equal(readOrder(gate, 'o1').status, OrderStatus.Done);
    });

    it('is refused on a ticket that was used, replaced, expired or made for another', () => {
      const gate = ready();
      const first = requestTicket(gate, PLANNER, at(READY_MS))._unsafeUnwrap();
      const second = requestTicket(gate, PLANNER, at(READY_MS))._unsafeUnwrap();
      const order: Order = { orderId: 'o1', fence: 5, body: {} };
      const name = (ticketId: string, planner: string, nowMs: number): string =>
        submitOrder(gate, { planner, fence: 5, ticketId, order }, at(nowMs))._unsafeUnwrapErr()
          .name;
      assert.equal(name(first.ticketId, 'p:1', READY_MS), 'ticket-invalid');
      assert.equal(name(second.ticketId, 'q:1', READY_MS), 'ticket-invalid');
      const lateMs = READY_MS + GATE_OPTIONS.ticketValidMs;
      assert.equal(name(second.ticketId, 'p:1', lateMs), 'ticket-invalid');
    });

    it('of a planner with an older fencing number gets no ticket', () => {
      const gate = ready();
      const refused = requestTicket(gate, { planner: 'old:1', fence: 4 }, at(READY_MS));
      assert.equal(refused._unsafeUnwrapErr().name, 'fence-too-old');
    });

    it('has no effect when the lease has passed on, lapsed or cannot be read', () => {
      const gate = ready();
      const now = at(READY_MS + 5);
      const successor = { planner: 'q:1', fence: 6 };
      const lapsed = gateLeaseRead(gate, submit(gate, 'o2', READY_MS), null, now);
      assert.equal(refusal(lapsed), 'authority-lost');
      const failed = gateLeaseReadFailed(gate, submit(gate, 'o3', READY_MS));
      assert.equal(refusal(failed), 'authority-unverifiable');
      const passedOn = gateLeaseRead(gate, submit(gate, 'o1', READY_MS), successor, now);
      assert.equal(refusal(passedOn), 'authority-lost');
      assert.equal(readOrder(gate, 'o1').status, OrderStatus.Refused);
    });

    /**
     * The sidecar reads the lease, is paused, and wakes up after the planner was replaced. What it
     * read is true no more; its own clock shows it, and it reads again before it acts.
     */
    it('is verified again when the sidecar was paused after the lease was read', () => {
      const gate = ready();
      const lateMs = READY_MS + GATE_OPTIONS.checkToActMs + 1;
      const again = gateLeaseRead(gate, submit(gate, 'o1', READY_MS), PLANNER, at(lateMs));
      assert.deepEqual(kinds(again), [GateEffectKind.ReadLease]);
      const successor = { planner: 'q:1', fence: 6 };
      const effects = gateLeaseRead(gate, readId(again), successor, at(lateMs + 5));
      assert.equal(refusal(effects), 'authority-lost');
    });

    /** An answer from before a takeover arrives late, just after another order was submitted. */
    it('is not verified by the late answer to an earlier read', () => {
      const gate = ready();
      const earlier = submit(gate, 'o1', READY_MS);
      gateLeaseReadFailed(gate, earlier);
      submit(gate, 'o2', READY_MS + 100);
      assert.deepEqual(gateLeaseRead(gate, earlier, PLANNER, at(READY_MS + 200)), []);
      assert.equal(readOrder(gate, 'o2').status, OrderStatus.Verifying);
    });

    it('does not wait for ever for the lease or for the engine', () => {
      const unread = ready();
      submit(unread, 'o1', READY_MS);
      const overMs = READY_MS + GATE_OPTIONS.ticketValidMs + GATE_OPTIONS.checkToActMs;
      assert.deepEqual(tickGate(unread, at(overMs - 1)), []);
      assert.equal(refusal(tickGate(unread, at(overMs))), 'authority-unverifiable');
      const unanswered = ready();
      sent(unanswered, 'o1');
      const lateMs = READY_MS + 5 + GATE_OPTIONS.engineAnswerMs;
      assert.deepEqual(kinds(tickGate(unanswered, at(lateMs))), [GateEffectKind.ReadEngine]);
    });

    it('waits for the end of the one before', () => {
      const gate = ready();
      sent(gate, 'o1');
      const refused = requestTicket(gate, PLANNER, at(READY_MS + 10));
      assert.equal(refused._unsafeUnwrapErr().name, 'order-busy');
    });
  });

  /** The engine carried the order out, or died in the middle, and its answer never came. */
  describe('an order whose answer was lost', () => {
    function lost(): GateState {
      const gate = ready();
      sent(gate, 'o1');
      const effects = engineAnswerLost(gate, 'o1', at(READY_MS + 100));
      assert.deepEqual(kinds(effects), [GateEffectKind.ReadEngine]);
      return gate;
    }

    function look(gate: GateState, nowMs: number, view: EngineView): GateEffect[] {
      return engineRead(gate, readId(tickGate(gate, at(nowMs))), view);
    }

    it('is found done, still running or never taken up by reading the engine', () => {
      const running = { ...IDLE, orderInProgress: 'o1' };
      assert.deepEqual(look(lost(), READY_MS + 700, running), []);
      const done = { ...IDLE, lastOrderDone: 'o1' };
      const [finished] = look(lost(), READY_MS + 700, done);
      assert.ok(finished?.kind === GateEffectKind.Finished);
      assert.equal(finished.report.status, OrderStatus.Done);
      const gate = lost();
      assert.deepEqual(look(gate, READY_MS + 700, IDLE), []);
      const lateMs = READY_MS + 5 + GATE_OPTIONS.quietAfterStartMs;
      assert.equal(refusal(look(gate, lateMs, IDLE)), 'order-not-done');
    });

    it('is never sent again', () => {
      const gate = lost();
      for (let nowMs = READY_MS + 200; nowMs < READY_MS + 4_000; nowMs += 100) {
        assert.ok(!kinds(tickGate(gate, at(nowMs))).includes(GateEffectKind.SendOrder));
      }
    });
  });

  describe('bounds', () => {
    it('remembers a few ended orders only', () => {
      const gate = ready();
      for (let index = 0; index < MAX_FINISHED_ORDERS + 10; index += 1) {
        sent(gate, `o${String(index)}`);
        engineAnswered(gate, `o${String(index)}`, null);
      }
      assert.equal(gate.finished.length, MAX_FINISHED_ORDERS);
      assert.equal(readOrder(gate, 'o0').status, OrderStatus.Unknown);
    });
  });
});
