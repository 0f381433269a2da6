/** What targets announce about their own availability. */
import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import fc from 'fast-check';
import {
  type AnnouncedAvailability,
  MAX_BACK_OFF_MS,
  UnavailableReason,
  availableInMs,
  dropOldAnnouncements,
  recordBackOff,
  recordLeaving,
  unavailableReason,
  unavailableTargets,
} from '../../../src/index.js';

const A = { id: 'a', service: 'portal' };
const B = { id: 'b', service: 'portal' };
const BACK_OFF_MS = 3000;

describe('announced availability', () => {
  let availability: AnnouncedAvailability;

  beforeEach(() => {
    availability = new Map();
  });

  describe('a back-off', () => {
    it('ends at its time by the clock of the receiver', () => {
      assert.ok(recordBackOff(availability, A, BACK_OFF_MS, 500));
      assert.equal(unavailableReason(availability, 'a', 3499), UnavailableReason.BackOff);
      assert.equal(unavailableReason(availability, 'a', 3500), null);
    });

    // Otherwise, a late answer to an earlier request sends requests to a target that wants none.
    it('is not shortened by another answer', () => {
      recordBackOff(availability, A, BACK_OFF_MS, 0);
      assert.ok(!recordBackOff(availability, A, 100, 10));
      assert.equal(unavailableReason(availability, 'a', 2999), UnavailableReason.BackOff);
    });

    it('lasts no longer than the longest that is honored', () => {
      recordBackOff(availability, A, Number.MAX_VALUE, 0);
      assert.equal(unavailableReason(availability, 'a', MAX_BACK_OFF_MS), null);
    });
  });

  describe('a departure', () => {
    it('is news once and does not end', () => {
      assert.ok(recordLeaving(availability, A, 0));
      assert.ok(!recordLeaving(availability, A, 10));
      assert.equal(unavailableReason(availability, 'a', 1e9), UnavailableReason.Leaving);
    });

    it('is not ended by the end of a back-off', () => {
      recordBackOff(availability, A, BACK_OFF_MS, 0);
      recordLeaving(availability, A, 10);
      assert.equal(unavailableReason(availability, 'a', 9000), UnavailableReason.Leaving);
    });
  });

  describe('a service', () => {
    it('is available again when the first of its targets is', () => {
      recordBackOff(availability, A, BACK_OFF_MS, 0);
      recordBackOff(availability, B, 1000, 0);
      assert.deepEqual(unavailableTargets(availability, 'portal', 500), ['a', 'b']);
      assert.deepEqual(unavailableTargets(availability, 'another', 500), []);
      assert.equal(availableInMs(availability, ['a', 'b'], 400), 600);
      assert.equal(availableInMs(availability, ['a', 'b', 'unheard'], 400), 0);
    });

    it('has no such time if all its targets leave', () => {
      recordLeaving(availability, A, 0);
      assert.equal(availableInMs(availability, ['a'], 0), null);
      recordBackOff(availability, B, 1000, 0);
      assert.equal(availableInMs(availability, ['a', 'b'], 0), 1000);
    });
  });

  describe('cleanup', () => {
    // Otherwise, a target that leaves is used again while the store can't be read.
    it('keeps the departure of a registered target', () => {
      recordLeaving(availability, A, 0);
      dropOldAnnouncements(availability, () => true, 1e9);
      assert.equal(unavailableReason(availability, 'a', 1e9), UnavailableReason.Leaving);
    });

    it('drops ended back-offs and departures of targets that are long gone', () => {
      recordBackOff(availability, A, BACK_OFF_MS, 0);
      recordLeaving(availability, B, 0);
      dropOldAnnouncements(availability, () => false, BACK_OFF_MS);
      assert.deepEqual([...availability.keys()], ['b']);
      dropOldAnnouncements(availability, () => false, 60_000);
      assert.equal(availability.size, 0);
    });
  });

  it('tracks a bounded number of targets', () => {
    for (let index = 0; index < 5000; index += 1) {
      recordLeaving(availability, { id: String(index), service: 'portal' }, index);
    }
    assert.equal(availability.size, 4096);
    assert.equal(unavailableReason(availability, '4999', 5000), UnavailableReason.Leaving);
  });

  it('withholds exactly what some announcement still covers, in any order of answers', () => {
    const answers = fc.array(
      fc.record({
        gapMs: fc.nat(2000),
        backOffMs: fc.option(fc.nat(5000)),
        isLeaving: fc.boolean(),
      }),
      { maxLength: 12 },
    );
    fc.assert(
      fc.property(answers, fc.nat(6000), (heard, waitMs) => {
        const state: AnnouncedAvailability = new Map();
        let nowMs = 0;
        let untilMs = 0;
        let leaves = false;
        for (const { gapMs, backOffMs, isLeaving } of heard) {
          nowMs += gapMs;
          if (isLeaving) recordLeaving(state, A, nowMs);
          if (backOffMs !== null) recordBackOff(state, A, backOffMs, nowMs);
          leaves ||= isLeaving;
          if (backOffMs !== null) untilMs = Math.max(untilMs, nowMs + backOffMs);
          dropOldAnnouncements(state, () => true, nowMs);
        }
        const atMs = nowMs + waitMs;
        const isWithheld = unavailableReason(state, 'a', atMs) !== null;
        assert.equal(isWithheld, leaves || atMs < untilMs);
      }),
      { seed: 39 },
    );
  });
});
