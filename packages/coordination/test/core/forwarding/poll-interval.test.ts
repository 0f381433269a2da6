/** How often gateways poll the store, both while it answers and during an outage. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  createPollInterval,
  pollIntervalOptions,
  pauseAfterFailureMs,
  pauseAfterAnswerMs,
} from '../../../src/core/forwarding/poll-interval.js';

const APPLY_WITHIN_MS = 4000;
/** Duration of a call to a slow store: fifty times the usual duration. */
const SLOW_CALL_MS = 200;
/** Usual duration of a call to the store. */
const CALL_MS = 4;

/** Counts the polls in a period in which each is answered at once, because targets keep writing. */
function pollsIn(forMs: number, applyWithinMs: number): number {
  const poll = createPollInterval(pollIntervalOptions(applyWithinMs));
  let nowMs = 0;
  let polls = 0;
  while (nowMs < forMs) {
    polls += 1;
    nowMs += CALL_MS + pauseAfterAnswerMs(poll, nowMs);
  }
  return polls;
}

/** Counts the polls in an outage in which each fails at once. */
function pollsInOutage(forMs: number, random: () => number): number {
  const poll = createPollInterval(pollIntervalOptions(APPLY_WITHIN_MS));
  let nowMs = 0;
  let polls = 0;
  while (nowMs < forMs) {
    polls += 1;
    nowMs += CALL_MS + pauseAfterFailureMs(poll, random);
  }
  return polls;
}

describe('the poll interval', () => {
  describe('while the store answers', () => {
    // Prevents 68 gateways from each polling 1.6 times a second regardless of the configured time, which
    // was the largest cost of a large fleet although a change had four seconds to be applied.
    it('follows the time within which a change must be applied', () => {
      assert.ok(pollsIn(60_000, 4000) < 0.4 * pollsIn(60_000, 2000));
    });

    it('leaves time for a slow answer and a failed poll', () => {
      const poll = createPollInterval(pollIntervalOptions(APPLY_WITHIN_MS));
      pauseAfterAnswerMs(poll, 0);
      const pauseMs = pauseAfterAnswerMs(poll, 60_000);
      const failedMs = pauseAfterFailureMs(poll, () => 1);
      assert.ok(pauseMs + failedMs + SLOW_CALL_MS <= APPLY_WITHIN_MS);
    });

    it('polls more often while gateways that started together find each other', () => {
      const poll = createPollInterval(pollIntervalOptions(APPLY_WITHIN_MS));
      const first = pauseAfterAnswerMs(poll, 1000);
      assert.ok(first < pauseAfterAnswerMs(poll, 61_000));
    });
  });

  describe('while the store is unavailable', () => {
    // Without a backoff, 68 gateways polled an unavailable store five times a second for 8 s, which
    // made 2,700 useless calls.
    it('polls at most a third as often as five times a second', () => {
      assert.ok(pollsInOutage(8000, () => 0.5) <= (8 * 5) / 3);
    });

    it('does not poll in step with other gateways', () => {
      const early = createPollInterval(pollIntervalOptions(APPLY_WITHIN_MS));
      const late = createPollInterval(pollIntervalOptions(APPLY_WITHIN_MS));
      assert.notEqual(
        pauseAfterFailureMs(early, () => 0),
        pauseAfterFailureMs(late, () => 1),
      );
    });

    it('polls again within a quarter of the time within which a change must be applied', () => {
      const poll = createPollInterval(pollIntervalOptions(APPLY_WITHIN_MS));
      const pauses = Array.from({ length: 20 }, () => pauseAfterFailureMs(poll, () => 1));
      assert.ok(Math.max(...pauses) <= APPLY_WITHIN_MS / 4);
    });
  });
});
