/** Tests the injected faults of the engine: crashes, failed KV transfers, frozen reports. */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import {
  ENGINE_ANSWER_LOST,
  ENGINE_KV_TRANSFER_FAILED,
  ENGINE_OUT_OF_CACHE_MEMORY,
  ENGINE_STREAM_UNKNOWN,
} from '@cassiamast/ports';
import { expectedAnswer } from '../../../src/core/engine/answer.js';
import { DEFAULT_ENGINE } from '../../../src/core/engine/options.js';
import type { EnginePair } from '../../fixtures/engines.js';
import { readAll, startPair, until, work } from '../../fixtures/engines.js';

const LONG_PROMPT = Array.from({ length: 100 }, (_, at) => `entry${String(at)}`).join(' ');

describe('engine faults', () => {
  let pair: EnginePair;
  beforeEach(async () => {
    pair = await startPair();
  });
  afterEach(() => pair.stop());

  const isBack = () => until(async () => (await pair.client.state()).isOk());

  describe('a crash on a marked request', () => {
    it('aborts and loses every answer in the batch, and the engine restarts', async () => {
      // One request crashes any engine that runs it. Another answer in the same batch is aborted too.
      // After the restart the engine has a new epoch and knows neither stream.
      const innocent = readAll((handlers) =>
        pair.client.generate(work({ streamId: 'innocent', maxTokens: 100_000 }), handlers),
      );
      const prompt = `please ${DEFAULT_ENGINE.crashMarker}`;
      const bad = await readAll((handlers) =>
        pair.client.generate(work({ streamId: 'bad', prompt, maxTokens: 50 }), handlers),
      );
      const broken = await innocent;
      assert.ok(bad.failure !== null && ENGINE_ANSWER_LOST.is(bad.failure));
      assert.ok(broken.failure !== null && ENGINE_ANSWER_LOST.is(broken.failure));
      // The last tokens may be lost in transit, as they are when a process is killed.
      assert.ok(bad.tokens.length <= DEFAULT_ENGINE.crashAfterTokens);
      await isBack();
      const again = await readAll((handlers) => pair.client.resumeStream('innocent', 0, handlers));
      assert.ok(again.failure !== null && ENGINE_STREAM_UNKNOWN.is(again.failure));
      assert.equal(pair.engine.counts().crashes, 1);
      assert.equal((await pair.client.state())._unsafeUnwrap().epoch, 'engine-2');
    });

    it('leaves tokens from which another engine continues the same text', async () => {
      const request = work({ maxTokens: 300 });
      const half = await readAll(
        (handlers) => pair.client.generate(request, handlers),
        (count) => {
          if (count === 5) pair.engine.crash();
        },
      );
      const other = await startPair({ name: 'other' });
      const rest = await readAll((handlers) =>
        other.client.generate({ ...request, continueFrom: half.tokens }, handlers),
      );
      await other.stop();
      assert.equal(half.text + rest.text, expectedAnswer(request.prompt, request.seed, 300));
    });
  });

  describe('KV cache', () => {
    it('computed on one engine avoids the prefill on another', async () => {
      const other = await startPair({ name: 'other' });
      const first = await readAll((handlers) =>
        pair.client.generate(work({ prompt: LONG_PROMPT, prefillOnly: true }), handlers),
      );
      const kvHandle = first.finished?.kvHandle ?? '';
      assert.ok((await other.client.importKv(kvHandle, pair.engine.address)).isOk());
      const second = await readAll((handlers) =>
        other.client.generate(work({ prompt: LONG_PROMPT, kvHandle }), handlers),
      );
      await other.stop();
      assert.equal(second.text, expectedAnswer(LONG_PROMPT, 7, 8));
      assert.equal(second.finished?.cachedTokens, 100);
    });

    it('whose transfer fails is a named failure, and the prompt is prefilled again', async () => {
      const other = await startPair({ name: 'other' });
      const failed = await other.client.importKv('no-such-handle', pair.engine.address);
      assert.ok(failed.isErr() && ENGINE_KV_TRANSFER_FAILED.is(failed.error));
      const second = await readAll((handlers) =>
        other.client.generate(work({ prompt: LONG_PROMPT, kvHandle: 'no-such-handle' }), handlers),
      );
      await other.stop();
      assert.equal(second.finished?.cachedTokens, 0);
      assert.equal(second.text, expectedAnswer(LONG_PROMPT, 7, 8));
    });

    it('export fails halfway when the fault is set', async () => {
      pair.engine.setFaults({ failKvExports: 1 });
      const reading = await readAll((handlers) =>
        pair.client.generate(work({ prompt: LONG_PROMPT, prefillOnly: true }), handlers),
      );
      assert.equal(reading.finished?.kvHandle, null);
    });
  });

  describe('cache memory', () => {
    it('that runs out during an answer ends it with a named failure', async () => {
      // Long steps keep both answers in the batch together even if this process is slow.
      const small = await startPair({ kvCapacityTokens: 60, stepBaseMs: 10 });
      const prompt = 'one two three four five';
      const readings = await Promise.all(
        ['a', 'b'].map((streamId) =>
          readAll((handlers) =>
            small.client.generate(work({ streamId, prompt, maxTokens: 50 }), handlers),
          ),
        ),
      );
      await small.stop();
      const failures = readings.map((reading) => reading.failure).filter((one) => one !== null);
      assert.equal(failures.length, 1);
      assert.ok(failures.every((failure) => ENGINE_OUT_OF_CACHE_MEMORY.is(failure)));
    });
  });

  describe('reports', () => {
    it('of load freeze when the fault is set, and start again after a crash', async () => {
      const sequence = async () => (await pair.client.load())._unsafeUnwrap().sequence;
      await until(async () => (await sequence()) > 3);
      const before = (await pair.client.load())._unsafeUnwrap();
      pair.engine.crash();
      await isBack();
      const after = (await pair.client.load())._unsafeUnwrap();
      assert.notEqual(after.epoch, before.epoch);
      pair.engine.setFaults({ freezeLoad: true });
      await readAll((handlers) => pair.client.generate(work(), handlers));
      const frozen = await sequence();
      await readAll((handlers) => pair.client.generate(work({ streamId: 's2' }), handlers));
      assert.ok((await sequence()) <= frozen + 1);
    });

    it('of the cache name the blocks of a prompt', async () => {
      await readAll((handlers) => pair.client.generate(work({ prompt: LONG_PROMPT }), handlers));
      const events = (await pair.client.cacheEvents(0))._unsafeUnwrap();
      assert.deepEqual(
        events.map((event) => [event.kind, event.blocks.length]),
        [['stored', 6]],
      );
    });
  });

  describe('faults set over HTTP', () => {
    it('crash the engine from another process', async () => {
      await fetch(`${pair.engine.address}/faults`, {
        method: 'POST',
        body: JSON.stringify({ crash: true }),
      });
      await until(() => pair.engine.counts().crashes === 1);
    });
  });
});
