/**
 * Replays load patterns in which request types of different priority compete, with each order of
 * jobs, and compares how often and how timely the types are served.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Activation, SCHEDULER_OPTIONS, type SchedulerOptions } from '../../../src/index.js';
import {
  ALL_RETRY,
  HALF_LOST,
  LONG_PROMPTS,
  MEMORY_NEARLY_FULL,
  URGENT_BURST,
} from '../../fixtures/load-patterns.js';
import { type LoadPattern, type TypeShares, replayLoad } from '../../fixtures/load-replay.js';

/** How much less often than a less urgent type a type may be served, and be on time. */
const MAX_SERVED_GAP = 0.05;
const MAX_ON_TIME_GAP = 0.15;
/** A type that is served less than half as often as all types counts as starved. */
const MIN_SERVED_RATIO = 0.5;

const PATTERNS: Readonly<Record<string, LoadPattern>> = {
  'in a burst of the most urgent type': URGENT_BURST,
  'while long prompts occupy all engines': LONG_PROMPTS,
  'while all refused callers retry': ALL_RETRY,
  'while half of the capacity is lost': HALF_LOST,
  'while memory is nearly full': MEMORY_NEARLY_FULL,
};
/** The rules for services whose routes differ in priority, which are off by default. */
const RULES: SchedulerOptions = {
  ...SCHEDULER_OPTIONS,
  drainRateRetries: Activation.Always,
  retriesFirst: Activation.Always,
  lateJobsWait: Activation.Always,
};
const ORDERS: Readonly<Record<string, SchedulerOptions>> = {
  urgency: { ...RULES, urgencyOrder: Activation.Always },
  value: { ...RULES, urgencyOrder: Activation.Never },
};

/** Listed in KNOWN-RED.txt: by value per engine time, expensive urgent types are put behind. */
const PUT_BEHIND_BY_VALUE = new Set([
  'while long prompts occupy all engines',
  'while all refused callers retry',
]);
/** Listed there too: engines are given 30 ms of work in advance instead of 40. */
const PUT_BEHIND_BY_URGENCY = new Set(['while long prompts occupy all engines']);
const STARVED_BY_VALUE = new Set(['while all refused callers retry']);

function checkNoTypeIsPutBehind(shares: readonly TypeShares[]): void {
  for (const urgent of shares) {
    for (const other of shares) {
      if (urgent.priority >= other.priority) continue;
      const both = JSON.stringify([urgent, other]);
      assert.ok(urgent.served >= other.served - MAX_SERVED_GAP, both);
      assert.ok(urgent.onTime >= other.onTime - MAX_ON_TIME_GAP, both);
    }
  }
}

function checkNoTypeStarves(shares: readonly TypeShares[]): void {
  const sum = (value: (each: TypeShares) => number): number =>
    shares.reduce((total, each) => total + value(each), 0);
  const all = sum(({ served, requests }) => served * requests) / sum(({ requests }) => requests);
  for (const each of shares) {
    assert.ok(each.served >= all * MIN_SERVED_RATIO, JSON.stringify([all, each]));
  }
}

for (const [order, options] of Object.entries(ORDERS)) {
  describe(`request types that are ordered by ${order}`, () => {
    for (const [situation, pattern] of Object.entries(PATTERNS)) {
      const shares = [...replayLoad(pattern, options).byRoute.values()];
      const isValue = order === 'value';
      const isRed = (known: ReadonlySet<string>): { todo: string } | object =>
        known.has(situation) ? { todo: 'KNOWN-RED.txt, issue 61' } : {};

      // The most urgent type was late most often, as its prompts cost more than those of others.
      it(
        `are served no less than less urgent ones ${situation}`,
        isRed(isValue ? PUT_BEHIND_BY_VALUE : PUT_BEHIND_BY_URGENCY),
        () => {
          checkNoTypeIsPutBehind(shares);
        },
      );

      // By urgency alone, the least urgent type would not be served during an overload.
      it(`do not starve ${situation}`, isRed(isValue ? STARVED_BY_VALUE : new Set()), () => {
        checkNoTypeStarves(shares);
      });
    }
  });
}
