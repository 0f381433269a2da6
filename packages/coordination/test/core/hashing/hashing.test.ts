/** Guards against processes that place keys differently because they load different hash functions. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createHashing, hash32 } from '@cassiamast/coordination';
import fc from 'fast-check';

/** The length in characters from which xxHash processes a text in stripes. */
const STRIPE_LENGTH = 16;

describe('hash32', () => {
  describe('returns the value of the WebAssembly function', async () => {
    const hashing = await createHashing();

    it('for texts of any characters', () => {
      fc.assert(
        fc.property(fc.string({ unit: 'binary' }), (text) => {
          assert.equal(hash32(text), hashing.hash32(text));
        }),
      );
    });

    it('for texts around the length of a stripe', () => {
      for (let length = 0; length <= 2 * STRIPE_LENGTH + 1; length += 1) {
        const text = 'x'.repeat(length);
        assert.equal(hash32(text), hashing.hash32(text));
      }
    });
  });
});
