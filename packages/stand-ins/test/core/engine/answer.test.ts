/** Tests which answers the checker reports as whole, cut, too long and wrong. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import {
  AnswerVerdict,
  answerSource,
  answerToken,
  checkAnswer,
  expectedAnswer,
  seedOf,
} from '../../../src/core/engine/answer.js';

const SEED = 20_261_202;

describe('answers', () => {
  describe('a whole answer', () => {
    it('is recognised for any prompt, seed and length, and states its seed', () => {
      const seeds = fc.integer({ min: -1_000_000, max: 2 ** 40 });
      fc.assert(
        fc.property(fc.string(), seeds, fc.integer({ min: 1, max: 60 }), (prompt, seed, length) => {
          const text = expectedAnswer(prompt, seed, length);
          assert.equal(seedOf(text), seed);
          assert.equal(checkAnswer(prompt, length, text), AnswerVerdict.Whole);
        }),
        { seed: SEED, numRuns: 200 },
      );
    });
  });

  describe('a faulty answer', () => {
    const whole = expectedAnswer('prompt', 5, 30);

    it('is cut when its end is missing', () => {
      assert.equal(checkAnswer('prompt', 30, whole.slice(0, -1)), AnswerVerdict.Cut);
      assert.equal(checkAnswer('prompt', 30, ''), AnswerVerdict.Cut);
    });

    it('is too long when it continues past the end', () => {
      assert.equal(checkAnswer('prompt', 30, `${whole} more`), AnswerVerdict.TooLong);
    });

    it('is wrong when it answers another prompt', () => {
      const other = expectedAnswer('another prompt', 5, 30);
      assert.equal(checkAnswer('prompt', 30, other), AnswerVerdict.Wrong);
    });

    it('is wrong when a token is repeated, or two runs are joined', () => {
      const source = answerSource('prompt', 5);
      const tokens = Array.from({ length: 30 }, (_, index) => answerToken(source, index));
      const doubled = [...tokens.slice(0, 10), ...tokens.slice(9)].join('');
      assert.equal(checkAnswer('prompt', 30, doubled), AnswerVerdict.Wrong);
      const otherSeed = answerSource('prompt', 6);
      const rest = tokens.slice(10).map((_, at) => answerToken(otherSeed, at + 10));
      const joined = [...tokens.slice(0, 10), ...rest].join('');
      assert.equal(checkAnswer('prompt', 30, joined), AnswerVerdict.Wrong);
    });
  });
});
