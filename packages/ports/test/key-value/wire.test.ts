/** The JSON gateway's form of keys and ranges. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { decode, encode, rangeEnd, readEntry } from '../../src/key-value/wire.js';

const SEED = 20_261_202;

describe('key-value wire form', () => {
  describe('texts', () => {
    it('come back as they went', () => {
      fc.assert(
        fc.property(fc.string({ unit: 'grapheme' }), (text) => decode(encode(text)) === text),
        { seed: SEED },
      );
    });
  });

  describe('the range of a prefix', () => {
    it('ends after every key that begins with it, and before the next', () => {
      const text = fc.string({ unit: 'grapheme-ascii', minLength: 1 });
      fc.assert(
        fc.property(text, text, (prefix, more) => {
          const end = Buffer.from(rangeEnd(prefix), 'base64');
          const inside = Buffer.from(prefix + more, 'utf8');
          assert.ok(Buffer.compare(inside, end) < 0);
          assert.ok(Buffer.compare(Buffer.from(prefix, 'utf8'), end) < 0);
          assert.equal(end.length, Buffer.byteLength(prefix));
        }),
        { seed: SEED },
      );
    });
  });

  describe('an entry', () => {
    it('reads 64-bit numbers written as text, and none that has no key', () => {
      const entry = readEntry({
        key: encode('k'),
        value: encode('v'),
        create_revision: '12',
        mod_revision: '15',
      });
      assert.deepEqual(entry, { key: 'k', value: 'v', createRevision: 12, modRevision: 15 });
      assert.equal(readEntry({ value: encode('v') }), null);
    });
  });
});
