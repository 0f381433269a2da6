/**
 * Merging copies of a record is commutative, associative and idempotent, and keeps committed
 * answers.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { coversRecord, joinRecords } from '../../../src/core/records/record.js';
import type { RequestRecord } from '../../../src/core/records/record.js';
import { makeAnswer, makeAttempt, makeRecord } from '../../fixtures/requests.js';

const attempts = ['a', 'b', 'c', 'd'].map((id, index) =>
  makeAttempt(id, { number: 1 + Math.floor(index / 2) }),
);

/** Uses commit ages that are far apart, like those of different runs. */
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
    it('gives the same result in any order and when repeated', () => {
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

    // Guards against a resent request getting a different answer than the caller received before.
    // Both holders of a run die, a rerun answers the caller, and the first run delivers its answer
    // a minute later. The late answer won because its attempt had the higher number.
    it('keeps a committed answer over a later attempt that is not committed', () => {
      const delivered = makeRecord({ answer: makeAnswer(makeAttempt('told'), 60_000) });
      const late = makeRecord({ answer: makeAnswer(makeAttempt('late', { number: 2 })) });
      assert.equal(joinRecords(late, delivered).answer?.attemptId, 'told');
      const lateCommit = makeRecord({ answer: makeAnswer(makeAttempt('late', { number: 2 }), 0) });
      assert.equal(joinRecords(lateCommit, delivered).answer?.attemptId, 'told');
    });

    it('keeps the same one of two requests that used a key concurrently, in either order', () => {
      const first = makeRecord({ creationId: 'x', bodyHash: 'one' });
      const second = makeRecord({ creationId: 'y', bodyHash: 'two' });
      assert.deepEqual(joinRecords(first, second), joinRecords(second, first));
    });
  });

  describe('covering', () => {
    it('holds for the merge of two copies but not for a copy that lacks the commit', () => {
      const attempt = makeAttempt('a');
      const prepared = makeRecord({ attempts: [attempt], answer: makeAnswer(attempt) });
      const committed = makeRecord({ attempts: [attempt], answer: makeAnswer(attempt, 0) });
      assert.equal(coversRecord(joinRecords(prepared, committed), prepared), true);
      assert.equal(coversRecord(prepared, committed), false);
    });
  });
});
