/** Seeded random numbers: the same seed reproduces the same sequence. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { randomBelow, seededRandom } from '../../../src/core/random/random.js';

describe('seeded random numbers', () => {
  it('reproduces the same sequence for the same seed', () => {
    fc.assert(
      fc.property(fc.integer(), (seed) => {
        const first = seededRandom(seed);
        const second = seededRandom(seed);
        for (let draw = 0; draw < 10; draw += 1) assert.equal(first(), second());
      }),
      { seed: 1 },
    );
  });

  it('returns integers within the bound', () => {
    fc.assert(
      fc.property(fc.integer(), fc.integer({ min: 1, max: 1000 }), (seed, bound) => {
        const drawn = randomBelow(seededRandom(seed), bound);
        assert.ok(Number.isInteger(drawn) && drawn >= 0 && drawn < bound);
      }),
      { seed: 2 },
    );
  });
});
