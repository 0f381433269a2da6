/** Tests orders to the engine stand-in, issued through the product's own client. */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { EngineRole } from '@cassiamast/coordination';
import type { EngineOrder } from '@cassiamast/ports';
import {
  ENGINE_ANSWER_LOST,
  ENGINE_NOT_SERVING,
  ENGINE_ORDER_FENCED,
  ENGINE_REFUSED,
  OrderKind,
} from '@cassiamast/ports';
import { startWeightStore } from '../../../src/core/weight-store/weight-store.js';
import type { EnginePair } from '../../fixtures/engines.js';
import { readAll, startPair, until, work } from '../../fixtures/engines.js';

/** Longer than any test runs, so the engine stays unavailable. */
const NEVER_MS = 3_600_000;

const TO_DECODE: EngineOrder = {
  orderId: 'o1',
  fence: 10,
  kind: OrderKind.SetRole,
  role: EngineRole.Decode,
};

describe('engine orders', () => {
  let pair: EnginePair;
  beforeEach(async () => {
    pair = await startPair();
  });
  afterEach(() => pair.stop());

  const state = async () => (await pair.client.state())._unsafeUnwrap();
  const isDone = (orderId: string) => until(async () => (await state()).lastOrderDone === orderId);

  describe('a role change', () => {
    it('makes the engine unavailable', async () => {
      const away = await startPair({ roleChangeMs: NEVER_MS });
      const begun = (await away.client.order(TO_DECODE))._unsafeUnwrap();
      assert.equal(begun.orderInProgress, 'o1');
      const refused = await readAll((handlers) => away.client.generate(work(), handlers));
      await away.stop();
      assert.ok(refused.failure !== null && ENGINE_NOT_SERVING.is(refused.failure));
      assert.equal(refused.failure.data.mayHaveRun, false);
    });

    it('appears in the engine state when done', async () => {
      await pair.client.order(TO_DECODE);
      await isDone('o1');
      assert.equal((await state()).role, EngineRole.Decode);
    });

    it('aborts running requests and counts them', async () => {
      const reading = readAll(
        (handlers) => pair.client.generate(work({ maxTokens: 100_000 }), handlers),
        (count) => {
          if (count === 1) void pair.client.order(TO_DECODE);
        },
      );
      const { failure } = await reading;
      assert.ok(failure !== null && ENGINE_NOT_SERVING.is(failure));
      assert.equal(failure.data.mayHaveRun, true);
      assert.equal(pair.engine.counts().cutByRoleChange, 1);
    });

    it('is executed once although it is sent twice', async () => {
      await pair.client.order(TO_DECODE);
      await isDone('o1');
      assert.ok((await pair.client.order(TO_DECODE)).isOk());
      assert.equal((await state()).orderInProgress, null);
      assert.equal(pair.engine.counts().roleChanges, 1);
    });

    it('whose answer is lost is found done by reading the state', async () => {
      // The planner's order is executed, but its answer is lost. Issuing the role change again without
      // a check would make the engine unavailable twice; the state shows that it is done.
      pair.engine.setFaults({ loseOrderAnswers: 1 });
      const lost = await pair.client.order(TO_DECODE);
      assert.ok(lost.isErr() && ENGINE_ANSWER_LOST.is(lost.error));
      assert.equal(lost.error.data.mayHaveRun, true);
      await isDone('o1');
      assert.equal(pair.engine.counts().roleChanges, 1);
    });

    it('that a crash interrupts leaves the role from startup', async () => {
      pair.engine.setFaults({ crashDuringOrders: 1 });
      const before = (await state()).epoch;
      await pair.client.order(TO_DECODE);
      await until(async () => {
        const read = await pair.client.state();
        return read.isOk() && read.value.epoch !== before;
      });
      const after = await state();
      assert.equal(after.role, EngineRole.Mixed);
      assert.equal(after.orderInProgress, null);
    });
  });

  describe('fencing', () => {
    it('rejects an order from a replaced holder', async () => {
      await pair.client.order(TO_DECODE);
      await isDone('o1');
      const late = await pair.client.order({ ...TO_DECODE, orderId: 'o2', fence: 9 });
      assert.ok(late.isErr() && ENGINE_ORDER_FENCED.is(late.error));
      assert.equal(late.error.data.highestFence, 10);
      assert.equal(late.error.data.mayHaveRun, false);
    });

    it('is ignored by an engine that does not check it, which counts the stale orders that it executed', async () => {
      const careless = await startPair({ checksFencing: false });
      await careless.client.order(TO_DECODE);
      await until(
        async () => (await careless.client.state())._unsafeUnwrap().lastOrderDone === 'o1',
      );
      const late = await careless.client.order({ ...TO_DECODE, orderId: 'o2', fence: 9 });
      await careless.stop();
      assert.ok(late.isOk());
      assert.equal(careless.engine.counts().staleOrdersObeyed, 1);
    });

    it('counts a second order while one is in progress', async () => {
      const away = await startPair({ roleChangeMs: NEVER_MS });
      await away.client.order(TO_DECODE);
      const second = await away.client.order({ ...TO_DECODE, orderId: 'o2', fence: 11 });
      await away.stop();
      assert.ok(second.isErr() && ENGINE_REFUSED.is(second.error));
      assert.equal(second.error.data.code, 'order_in_progress');
      assert.equal(away.engine.counts().conflictingOrders, 1);
    });
  });

  describe('a load', () => {
    const load = (orderId: string, model: string): EngineOrder => ({
      orderId,
      fence: 10,
      kind: OrderKind.LoadModel,
      model,
      version: '2',
      adapter: null,
    });

    it('runs alongside requests, and the model is loaded when it is done', async () => {
      await pair.client.order(load('l1', 'extra'));
      const reading = await readAll((handlers) => pair.client.generate(work(), handlers));
      assert.equal(reading.failure, null);
      await isDone('l1');
      const names = (await state()).models.map((model) => model.name);
      assert.deepEqual(names, ['stand-in', 'extra']);
    });

    it('waits when the weight store rejects a fetch, and completes later', async () => {
      // Three engines get load orders while the store is at its fetch limit. Each fetch is rejected and
      // retried, and the model is loaded once the store has capacity.
      const store = await startWeightStore({ rateMbPerS: 100_000, maxFetches: 1, retryAfterMs: 2 });
      const somebody = new AbortController();
      const held = fetch(`${store.address}/fetches`, {
        method: 'POST',
        body: JSON.stringify({ size_mb: Number.MAX_SAFE_INTEGER / 1_000_000 }),
        signal: somebody.signal,
      }).catch(() => null);
      await until(() => store.activeFetches() === 1);
      const engines = await Promise.all(
        ['a', 'b', 'c'].map((name) => startPair({ name, weightStore: store.address })),
      );
      await Promise.all(engines.map(({ client }) => client.order(load('l1', 'extra'))));
      await until(() => store.rejectedFetches() >= engines.length);
      assert.ok(engines.every(({ engine }) => engine.counts().loads === 0));
      somebody.abort();
      await held;
      await until(() => engines.every(({ engine }) => engine.counts().loads === 1));
      await Promise.all(engines.map((engine) => engine.stop()));
      await store.stop();
      assert.equal(store.activeFetches(), 0);
    });
  });
});
