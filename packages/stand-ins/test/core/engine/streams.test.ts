/** Tests streams of the engine stand-in through the product's own client. */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import {
  ENGINE_ANSWER_LOST,
  ENGINE_OVERLOADED,
  ENGINE_REFUSED,
  ENGINE_STREAM_UNKNOWN,
  ENGINE_UNREACHABLE,
  FinishReason,
} from '@cassiamast/ports';
import { expectedAnswer } from '../../../src/core/engine/answer.js';
import type { EnginePair } from '../../fixtures/engines.js';
import { readAll, startPair, until, work } from '../../fixtures/engines.js';

describe('engine streams', () => {
  let pair: EnginePair;
  beforeEach(async () => {
    pair = await startPair();
  });
  afterEach(() => pair.stop());

  describe('an answer', () => {
    it('is the expected one, with its usage at the end', async () => {
      const request = work({ maxTokens: 20 });
      const reading = await readAll((handlers) => pair.client.generate(request, handlers));
      assert.equal(reading.failure, null);
      assert.equal(reading.text, expectedAnswer(request.prompt, request.seed, 20));
      assert.equal(reading.finished?.reason, FinishReason.Length);
      assert.equal(reading.finished.outputTokens, 20);
      assert.equal(pair.engine.runsOf(request.prompt), 1);
    });

    it('does not mix with others in the same batch', async () => {
      const readings = await Promise.all(
        Array.from({ length: 30 }, async (_, at) => {
          const request = work({
            streamId: `s${String(at)}`,
            prompt: `note ${String(at)}`,
            seed: at,
          });
          const reading = await readAll((handlers) => pair.client.generate(request, handlers));
          return reading.text === expectedAnswer(request.prompt, at, request.maxTokens);
        }),
      );
      assert.deepEqual(new Set(readings), new Set([true]));
    });

    it('continues after the tokens that the caller has, and repeats none', async () => {
      const whole = await readAll((handlers) => pair.client.generate(work(), handlers));
      const request = work({ streamId: 's2', continueFrom: whole.tokens.slice(0, 5) });
      const rest = await readAll((handlers) => pair.client.generate(request, handlers));
      assert.equal(rest.firstIndex, 5);
      assert.deepEqual(rest.tokens, whole.tokens.slice(5));
      assert.equal(rest.finished?.outputTokens, 8);
    });
  });

  describe('a broken connection', () => {
    it('leaves the answer running, so it can be resumed from any token', async () => {
      // A sidecar loses its connection to the engine after a few tokens. It resumes the stream by its
      // id and gets the whole answer without a repeated token.
      const request = work({ maxTokens: 200 });
      const first = await readAll(
        (handlers) => pair.client.generate(request, handlers),
        (count) => {
          if (count === 3) pair.engine.breakConnections();
        },
      );
      assert.ok(first.failure !== null && ENGINE_ANSWER_LOST.is(first.failure));
      assert.equal(first.failure.data.mayHaveRun, true);
      const at = first.tokens.length;
      const rest = await readAll((handlers) => pair.client.resumeStream('s1', at, handlers));
      assert.equal(rest.failure, null);
      assert.equal(first.text + rest.text, expectedAnswer(request.prompt, request.seed, 200));
    });

    it('is distinguished from an engine that never received the request', async () => {
      await pair.engine.stop();
      const reading = await readAll((handlers) => pair.client.generate(work(), handlers));
      assert.ok(reading.failure !== null && ENGINE_UNREACHABLE.is(reading.failure));
      assert.equal(reading.failure.data.mayHaveRun, false);
    });
  });

  describe('an ended stream', () => {
    it('can be read again whole', async () => {
      const first = await readAll((handlers) => pair.client.generate(work(), handlers));
      const again = await readAll((handlers) => pair.client.resumeStream('s1', 0, handlers));
      assert.deepEqual(again, first);
    });

    it('is unknown when it was cancelled, which does not mean that it never ran', async () => {
      await readAll((handlers) => pair.client.generate(work(), handlers));
      assert.ok((await pair.client.cancel('s1')).isOk());
      const again = await readAll((handlers) => pair.client.resumeStream('s1', 0, handlers));
      assert.ok(again.failure !== null && ENGINE_STREAM_UNKNOWN.is(again.failure));
      assert.equal(again.failure.data.mayHaveRun, true);
    });
  });

  describe('the running streams', () => {
    it('are listed by id without delay', async () => {
      // A sidecar restarts while its engine keeps running. It needs the list of running streams,
      // because the load report is delayed.
      const running: (readonly string[])[] = [];
      void readAll(
        (handlers) => pair.client.generate(work({ maxTokens: 100_000 }), handlers),
        (count, stream) => {
          if (count !== 1) return;
          void pair.client.runningStreams().then((ids) => {
            running.push(ids._unsafeUnwrap());
            stream.cancel();
          });
        },
      );
      await until(() => running.length === 1);
      assert.deepEqual(running, [['s1']]);
      await until(async () => (await pair.client.runningStreams())._unsafeUnwrap().length === 0);
    });
  });

  describe('a cancel', () => {
    it('removes a running request from the batch', async () => {
      const request = work({ maxTokens: 100_000 });
      const stream = await new Promise<{ cancel: () => void }>((resolve) => {
        const opened = pair.client.generate(request, {
          onChunk: () => {
            resolve(opened);
          },
          onEnd: () => undefined,
          onFailure: () => undefined,
        });
      });
      stream.cancel();
      await until(async () => (await pair.client.load())._unsafeUnwrap().runningRequests === 0);
      assert.ok(pair.engine.counts().generatedTokens < 100_000);
    });
  });

  describe('a rejection', () => {
    it('of a stream id that is in use says that the request may have run', async () => {
      await readAll((handlers) => pair.client.generate(work(), handlers));
      const twice = await readAll((handlers) => pair.client.generate(work(), handlers));
      assert.ok(twice.failure !== null && ENGINE_REFUSED.is(twice.failure));
      assert.equal(twice.failure.data.code, 'stream_exists');
      assert.equal(twice.failure.data.mayHaveRun, true);
    });

    it('of an unknown model says that it did not run', async () => {
      const request = work({ model: 'nobody' });
      const reading = await readAll((handlers) => pair.client.generate(request, handlers));
      assert.ok(reading.failure !== null && ENGINE_REFUSED.is(reading.failure));
      assert.equal(reading.failure.data.mayHaveRun, false);
      assert.equal(pair.engine.runsOf(request.prompt), 0);
    });

    it('comes when the queue is full', async () => {
      const full = await startPair({ maxWaiting: 0 });
      const reading = await readAll((handlers) => full.client.generate(work(), handlers));
      await full.stop();
      assert.ok(reading.failure !== null && ENGINE_OVERLOADED.is(reading.failure));
      assert.equal(reading.failure.data.mayHaveRun, false);
    });
  });
});
