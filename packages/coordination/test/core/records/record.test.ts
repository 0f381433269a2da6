/** Joining copies: commutative, associative, idempotent; committed answers stay. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { coversRecord, joinRecords } from '../../../src/core/records/record.js';
import type { RequestRecord } from '../../../src/core/records/record.js';
import { makeAnswer, makeAttempt, makeRecord } from '../../fixtures/requests.js';

const attempts = ['a', 'b', 'c', 'd'].map((id, index) =>
  makeAttempt(id, { number: 1 + Math.floor(index / 2) }),
);

/** Ages far apart, as commits of different runs are. */
const arbitraryRecord: fc.Arbitrary<RequestRecord> = fc
  .record({
    attempts: fc.subarray(attempts),
    answered: fc.option(fc.constantFrom(...attempts), { nil: null }),
    committedForMs: fc.constantFrom(null, 0, 1000, 5000),
    crashedAttemptIds: fc.subarray(['a', 'b', 'c']),
  })
  .map(({ answered, committedForMs, ...rest }) =>
    makeRecord({
      ...rest,
      answer: answered === null ? null : makeAnswer(answered, committedForMs),
    }),
  );

describe('records', () => {
  describe('joining', () => {
    it('gives the same whichever copy comes first, and however often', () => {
      fc.assert(
        fc.property(arbitraryRecord, arbitraryRecord, arbitraryRecord, (first, second, third) => {
          const joined = joinRecords(first, second);
          assert.deepEqual(joinRecords(second, first), joined);
          assert.deepEqual(joinRecords(joined, first), joined);
          assert.deepEqual(
            joinRecords(joined, third),
            joinRecords(first, joinRecords(second, third)),
          );
          assert.ok(first.answer === null || joined.answer !== null);
        }),
        { seed: 11, numRuns: 500 },
      );
    });

    // Story: a caller was told the answer of a rerun; the first run, forgotten when both holders
    // died, sends its answer a minute late. A resend must get what was told. Cause: the late answer
    // had the higher attempt number.
    it('keeps a committed answer over a later attempt that is not committed', () => {
      const told = makeRecord({ answer: makeAnswer(makeAttempt('told'), 60_000) });
      const late = makeRecord({ answer: makeAnswer(makeAttempt('late', { number: 2 })) });
      assert.equal(joinRecords(late, told).answer?.attemptId, 'told');
      const lateCommit = makeRecord({ answer: makeAnswer(makeAttempt('late', { number: 2 }), 0) });
      assert.equal(joinRecords(lateCommit, told).answer?.attemptId, 'told');
    });

    it('keeps one of two requests that took the key at once, the same on both sides', () => {
      const first = makeRecord({ creationId: 'x', bodyHash: 'one' });
      const second = makeRecord({ creationId: 'y', bodyHash: 'two' });
      assert.deepEqual(joinRecords(first, second), joinRecords(second, first));
    });
  });

  describe('covering', () => {
    it('holds for a join of both, and not for a copy that lacks the commit', () => {
      const attempt = makeAttempt('a');
      const prepared = makeRecord({ attempts: [attempt], answer: makeAnswer(attempt) });
      const committed = makeRecord({ attempts: [attempt], answer: makeAnswer(attempt, 0) });
      assert.equal(coversRecord(joinRecords(prepared, committed), prepared), true);
      assert.equal(coversRecord(prepared, committed), false);
    });
  });
});
