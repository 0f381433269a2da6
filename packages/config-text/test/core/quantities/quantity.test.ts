/** Tests parsing and formatting of numbers with units. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import {
  DURATION,
  formatQuantity,
  parseQuantity,
  quantityPattern,
  RATIO,
  SIZE_MB,
} from '../../../src/core/quantities/quantity.js';

const DAY = { min: '1 ms', max: '24 h' };

describe('quantities', () => {
  describe('parsing', () => {
    it('accepts a number, at most one space and a unit', () => {
      assert.equal(parseQuantity('360 ms', DURATION, DAY)._unsafeUnwrap(), 360);
      assert.equal(parseQuantity('1.5min', DURATION, DAY)._unsafeUnwrap(), 90_000);
      assert.equal(parseQuantity('7 %', RATIO, { min: '0 %', max: '100 %' })._unsafeUnwrap(), 0.07);
      const sizes = { min: '1 MB', max: '1 TB' };
      assert.equal(parseQuantity('40 GB', SIZE_MB, sizes)._unsafeUnwrap(), 40_000);
    });

    const invalidValues: [unknown, string][] = [
      [360, 'unit-missing'],
      ['360', 'unit-missing'],
      ['360 sec', 'wrong-unit'],
      ['360 MS', 'wrong-unit'],
      ['constructor', 'not-a-quantity'],
      ['1 constructor', 'wrong-unit'],
      ['-1 s', 'not-a-quantity'],
      ['1e3 s', 'wrong-unit'],
      ['25 h', 'out-of-range'],
      [null, 'not-a-quantity'],
      [['1 s'], 'not-a-quantity'],
    ];
    for (const [value, name] of invalidValues) {
      it(`rejects ${JSON.stringify(value)} with ${name}`, () => {
        assert.equal(parseQuantity(value, DURATION, DAY)._unsafeUnwrapErr().name, name);
      });
    }
  });

  describe('formatting', () => {
    it('chooses the largest unit that yields a whole number', () => {
      assert.equal(formatQuantity(90_000, DURATION), '90 s');
      assert.equal(formatQuantity(600_000, DURATION), '10 min');
      assert.equal(formatQuantity(0, DURATION), '0 ms');
      assert.equal(formatQuantity(0.1, RATIO), '10 %');
    });

    it('round-trips and matches the pattern for editors', () => {
      const pattern = new RegExp(quantityPattern(DURATION));
      fc.assert(
        fc.property(fc.integer({ min: 1, max: 86_400_000 }), (amount) => {
          const text = formatQuantity(amount, DURATION);
          assert.match(text, pattern);
          assert.equal(parseQuantity(text, DURATION, DAY)._unsafeUnwrap(), amount);
        }),
        { seed: 7 },
      );
    });
  });
});
