/** Reads that concurrent requests share. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { shareReads } from '../../src/gateway/share-reads.js';

describe('shared reads', () => {
  function createReads() {
    const pending: ((answer: number) => void)[] = [];
    const read = shareReads(
      () =>
        new Promise<number>((resolve) => {
          pending.push(resolve);
        }),
    );
    return { read, pending };
  }

  // A read that is under way may lack what was written after it began.
  it('begin after the request that needs them', async () => {
    const { read, pending } = createReads();
    const first = read();
    const second = read();
    const third = read();
    assert.equal(pending.length, 1);
    pending[0]?.(1);
    assert.equal(await first, 1);
    while (pending.length < 2) await Promise.resolve();
    pending[1]?.(2);
    assert.deepEqual([await second, await third], [2, 2]);
    assert.equal(pending.length, 2);
  });

  it('begin at once when none is under way', async () => {
    const { read, pending } = createReads();
    const first = read();
    pending[0]?.(1);
    await first;
    void read();
    assert.equal(pending.length, 2);
  });
});
