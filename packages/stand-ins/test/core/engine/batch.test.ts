/** Tests the continuous batching model: the duration of a step and the requests that it serves. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { EngineRole } from '@cassiamast/coordination';
import type { Batch, Emission } from '../../../src/core/engine/batch.js';
import { createBatch, EmissionKind, enqueue, runStep } from '../../../src/core/engine/batch.js';
import type { EngineOptions } from '../../../src/core/engine/options.js';
import { DEFAULT_ENGINE } from '../../../src/core/engine/options.js';
import type { PrefixCache } from '../../../src/core/engine/prefix-cache.js';
import { createPrefixCache } from '../../../src/core/engine/prefix-cache.js';
import { tokenize } from '../../../src/core/engine/prompt.js';
import { work } from '../../fixtures/engines.js';

const BASE: EngineOptions = {
  ...DEFAULT_ENGINE,
  stepBaseMs: 10,
  stepPerRequestMs: 1,
  stepPerContextKtokenMs: 1,
  prefillTokensPerMs: 10,
  roleSpeeds: {
    ...DEFAULT_ENGINE.roleSpeeds,
    [EngineRole.Mixed]: { prefillChunkTokens: 100, maxBatch: 2 },
  },
};

function words(count: number, name = 'w'): string {
  return Array.from({ length: count }, (_, at) => `${name}${String(at)}`).join(' ');
}

class Bench {
  readonly batch: Batch = createBatch(EngineRole.Mixed);
  readonly cache: PrefixCache = createPrefixCache('e');
  constructor(readonly options: EngineOptions = BASE) {}

  add(streamId: string, prompt: string, change: Parameters<typeof work>[0] = {}) {
    const request = work({ streamId, prompt, ...change });
    return enqueue(this.batch, request, tokenize(prompt, 'm', null), 0, '');
  }

  step() {
    const step = runStep(this.batch, this.cache, this.options, 0);
    const told = (step?.emissions ?? []).map(name);
    return { durationMs: step?.durationMs ?? null, told };
  }
}

function name(emission: Emission): string {
  return `${emission.work.request.streamId} ${emission.kind}`;
}

describe('batch', () => {
  describe('a step', () => {
    it('is null without work', () => {
      assert.equal(new Bench().step().durationMs, null);
    });

    it('takes longer with prompt, batch and context', () => {
      const bench = new Bench();
      bench.add('a', words(100));
      // Computes 100 tokens of prompt and the first token of one answer.
      assert.equal(bench.step().durationMs, 10 + 1 + 0.1 + 10);
      bench.add('b', words(50, 'x'));
      assert.equal(bench.step().durationMs, 10 + 2 + (101 + 50) / 1_000 + 5);
    });

    it('prefills a long prompt in chunks alongside a running answer', () => {
      // A long prompt arrives while a short answer is decoding. The short answer gets a token at every
      // step; the first token of the long prompt comes after three steps.
      const bench = new Bench();
      bench.add('short', words(10), { maxTokens: 50 });
      bench.step();
      bench.add('long', words(300, 'h'));
      assert.deepEqual(bench.step().told, ['short token']);
      assert.deepEqual(bench.step().told, ['short token']);
      assert.deepEqual(bench.step().told, ['short token', 'long token']);
    });

    it('ends an answer with its last token', () => {
      const bench = new Bench();
      bench.add('a', words(5), { maxTokens: 1 });
      assert.deepEqual(bench.step().told, ['a token', 'a finished']);
      assert.equal(bench.step().durationMs, null);
    });

    it('gives no token to a request that only computes its prompt', () => {
      const bench = new Bench();
      bench.add('a', words(5), { prefillOnly: true });
      assert.deepEqual(bench.step().told, ['a finished']);
    });
  });

  describe('the queue', () => {
    it('admits by priority, then by arrival', () => {
      const bench = new Bench();
      bench.add('low', words(5), { priority: 1 });
      bench.add('high-1', words(5), { priority: 9 });
      bench.add('high-2', words(5), { priority: 9 });
      assert.deepEqual(bench.step().told, ['high-1 token', 'high-2 token']);
      assert.equal(bench.batch.waiting[0]?.request.streamId, 'low');
    });

    it('holds requests that do not fit in the cache memory', () => {
      const bench = new Bench({ ...BASE, kvCapacityTokens: 100 });
      bench.add('a', words(60));
      bench.add('b', words(60, 'x'));
      assert.deepEqual(bench.step().told, ['a token']);
      assert.equal(bench.batch.waiting.length, 1);
    });
  });

  describe('the prefix cache', () => {
    it('avoids the prefill of a shared prefix', () => {
      const bench = new Bench();
      const shared = words(64);
      bench.add('a', `${shared} ${words(10, 'x')}`, { maxTokens: 1 });
      bench.step();
      const second = bench.add('b', `${shared} ${words(20, 'y')}`, { maxTokens: 1 });
      bench.step();
      assert.equal(second.cachedTokens, 64);
    });

    it('shrinks to make room for running requests', () => {
      const bench = new Bench({ ...BASE, kvCapacityTokens: 100 });
      bench.add('a', words(64), { maxTokens: 1 });
      bench.step();
      assert.equal(bench.cache.blocks.size, 4);
      bench.add('b', words(90, 'y'), { maxTokens: 2 });
      bench.step();
      assert.equal(bench.cache.blocks.size, 0);
    });
  });

  describe('running out of cache memory', () => {
    it('drops only the latest answer of the lowest priority', () => {
      // Two answers grow until the memory is full. The later one is dropped with a named failure, and
      // the earlier one continues.
      const bench = new Bench({ ...BASE, kvCapacityTokens: 100 });
      bench.add('first', words(48), { maxTokens: 90 });
      bench.add('second', words(48, 'x'), { maxTokens: 90 });
      bench.step();
      bench.step();
      assert.deepEqual(bench.step().told, [
        'first token',
        'second token',
        'second out-of-cache-memory',
      ]);
      assert.deepEqual(bench.step().told, ['first token']);
    });
  });

  describe('a request that crashes the engine', () => {
    it('does so after its first tokens, regardless of other requests in the batch', () => {
      const bench = new Bench({ ...BASE, crashAfterTokens: 1 });
      bench.add('innocent', words(5));
      bench.add('bad', `${words(5)} ${BASE.crashMarker}`);
      assert.deepEqual(bench.step().told, ['innocent token', 'bad token']);
      assert.deepEqual(bench.step().told, ['innocent token', `bad ${EmissionKind.Crash}`]);
    });
  });
});
