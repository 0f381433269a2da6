/** Checks that collected bytes cost memory by their number alone, and stay in their order. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import {
  BLOCK_BYTES,
  createBlockPool,
  createByteStore,
} from '../../../src/core/bytes/byte-store.js';

const pieces = fc.array(fc.uint8Array({ maxLength: 3000 }), { maxLength: 30 });

describe('a byte store', () => {
  it('returns all pieces in their order', () => {
    fc.assert(
      fc.property(pieces, (all) => {
        const store = createByteStore(createBlockPool());
        for (const piece of all) store.append(piece);
        assert.deepEqual(store.take(), Buffer.concat(all));
        assert.deepEqual([store.length(), store.capacity()], [0, 0]);
      }),
    );
  });

  // Guards against memory that depends on the number of pieces, which their sender chooses.
  it('holds at most a block more than the bytes, whatever the size of the pieces', () => {
    fc.assert(
      fc.property(pieces, (all) => {
        const store = createByteStore(createBlockPool());
        for (const piece of all) store.append(piece);
        assert.ok(store.capacity() < store.length() + BLOCK_BYTES);
      }),
    );
  });

  // Guards against the end of a process by a body in pieces of one byte.
  it('takes pieces of one byte up to its limit, and none past it', () => {
    const store = createByteStore(createBlockPool(), 100_000);
    const piece = Buffer.from('a');
    for (let number = 0; number < 100_000; number += 1) store.append(piece);
    assert.equal(store.capacity(), 1 + 7 * BLOCK_BYTES);
    assert.throws(() => {
      store.append(piece);
    }, RangeError);
  });

  // Guards against dropped bodies that stay in memory until the next garbage collection.
  it('uses its blocks again', () => {
    const pool = createBlockPool();
    const store = createByteStore(pool);
    const body = Buffer.alloc(BLOCK_BYTES);
    store.append(body);
    store.append(body);
    store.clear();
    const block = pool.take();
    pool.give(block);
    store.append(body);
    store.append(body);
    store.clear();
    assert.equal(pool.take(), block);
  });

  // Guards against a large read that stays in memory as long as a small body that was in it.
  it('copies the pieces', () => {
    const read = Buffer.from('abc');
    const store = createByteStore(createBlockPool());
    store.append(read.subarray(0, 1));
    read.fill('z');
    assert.equal(store.take().toString(), 'a');
  });
});
