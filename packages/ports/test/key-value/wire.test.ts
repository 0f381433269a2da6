/** Tests the encoding of keys, ranges and entries for the etcd v3 JSON gateway. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { decode, encode, rangeEnd, readEntry } from '../../src/key-value/wire.js';

const SEED = 20_261_202;

describe('key-value wire format', () => {
  describe('text', () => {
    it('is unchanged after encoding and decoding', () => {
      fc.assert(
        fc.property(fc.string({ unit: 'grapheme' }), (text) => decode(encode(text)) === text),
        { seed: SEED },
      );
    });
  });

  describe('the range end of a prefix', () => {
    it('sorts after the prefix and every key that starts with it, and has the same length', () => {
      const text = fc.string({ unit: 'grapheme-ascii', minLength: 1 });
      fc.assert(
        fc.property(text, text, (prefix, suffix) => {
          const end = Buffer.from(rangeEnd(prefix), 'base64');
          const keyInRange = Buffer.from(prefix + suffix, 'utf8');
          assert.ok(Buffer.compare(keyInRange, end) < 0);
          assert.ok(Buffer.compare(Buffer.from(prefix, 'utf8'), end) < 0);
          assert.equal(end.length, Buffer.byteLength(prefix));
        }),
        { seed: SEED },
      );
    });
  });

  describe('an entry', () => {
    it('is parsed with 64-bit integers given as strings, and rejected without a key', () => {
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
