/** How often gateways poll the store, both while it answers and during an outage. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  createPollInterval,
  pollIntervalOptions,
  pauseAfterFailureMs,
  pauseAfterAnswerMs,
  watchLimits,
} from '../../../src/core/forwarding/poll-interval.js';

const APPLY_WITHIN_MS = 4000;
const CONTACT_MS = 5000;
/** Time to establish a connection. */
const CONNECT_MS = 4;
/** Deployments by the time within which a change must be applied, and that of the contact. */
const DEPLOYMENTS = [
  { applyWithinMs: 2000, contactMs: 2500 },
  { applyWithinMs: 2000, contactMs: 3000 },
  { applyWithinMs: 3000, contactMs: 4000 },
  { applyWithinMs: 4000, contactMs: 5000 },
  { applyWithinMs: 4000, contactMs: 2000 },
] as const;
/** Duration of a call to a slow store: fifty times the usual duration. */
const SLOW_CALL_MS = 200;
/** Usual duration of a call to the store. */
const CALL_MS = 4;

/** Counts the polls in a period in which each is answered at once, because targets keep writing. */
function pollsIn(forMs: number, applyWithinMs: number): number {
  const poll = createPollInterval(pollIntervalOptions(applyWithinMs, CONTACT_MS));
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
  const poll = createPollInterval(pollIntervalOptions(APPLY_WITHIN_MS, CONTACT_MS));
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
      const poll = createPollInterval(pollIntervalOptions(APPLY_WITHIN_MS, CONTACT_MS));
      pauseAfterAnswerMs(poll, 0);
      const pauseMs = pauseAfterAnswerMs(poll, 60_000);
      const failedMs = pauseAfterFailureMs(poll, () => 1);
      assert.ok(pauseMs + failedMs + SLOW_CALL_MS <= APPLY_WITHIN_MS);
    });

    it('polls more often while gateways that started together find each other', () => {
      const poll = createPollInterval(pollIntervalOptions(APPLY_WITHIN_MS, CONTACT_MS));
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
      const early = createPollInterval(pollIntervalOptions(APPLY_WITHIN_MS, CONTACT_MS));
      const late = createPollInterval(pollIntervalOptions(APPLY_WITHIN_MS, CONTACT_MS));
      assert.notEqual(
        pauseAfterFailureMs(early, () => 0),
        pauseAfterFailureMs(late, () => 1),
      );
    });

    it('polls again within a quarter of the time within which a change must be applied', () => {
      const poll = createPollInterval(pollIntervalOptions(APPLY_WITHIN_MS, CONTACT_MS));
      const pauses = Array.from({ length: 20 }, () => pauseAfterFailureMs(poll, () => 1));
      assert.ok(Math.max(...pauses) <= APPLY_WITHIN_MS / 4);
    });
  });

  // A gateway that is in touch again must not act on a fleet from before its connection went silent.
  describe('after a connection went silent', () => {
    for (const { applyWithinMs, contactMs } of DEPLOYMENTS) {
      it(`gets its next answer within ${String(contactMs)} ms, with a pause for ${String(applyWithinMs)} ms`, () => {
        const options = pollIntervalOptions(applyWithinMs, contactMs);
        const poll = createPollInterval(options);
        pauseAfterAnswerMs(poll, 0);
        const pauseMs = pauseAfterAnswerMs(poll, 60_000);
        const { timeoutMs } = watchLimits(options);
        const failedMs = pauseAfterFailureMs(poll, () => 1);
        const answeredMs = pauseMs + timeoutMs + failedMs + CONNECT_MS + CALL_MS;
        assert.ok(answeredMs + SLOW_CALL_MS <= contactMs, `${String(answeredMs)} ms`);
      });
    }

    // The store takes whole milliseconds only.
    it('asks the store to wait for a whole number of milliseconds', () => {
      const { waitMs } = watchLimits(pollIntervalOptions(2000, 2101));
      assert.ok(Number.isInteger(waitMs), String(waitMs));
    });

    it('leaves a slow store time for its answer', () => {
      for (const { applyWithinMs, contactMs } of DEPLOYMENTS) {
        const { waitMs, timeoutMs } = watchLimits(pollIntervalOptions(applyWithinMs, contactMs));
        assert.ok(timeoutMs - waitMs >= SLOW_CALL_MS);
      }
    });
  });
});
