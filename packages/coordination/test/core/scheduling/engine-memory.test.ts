/** Replays loads that nearly fill the memory of the engines, with both orders of jobs. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Activation, SCHEDULER_OPTIONS } from '../../../src/index.js';
import { MEMORY_NEARLY_FULL, MEMORY_OF_BOTH } from '../../fixtures/load-patterns.js';
import { replayLoad } from '../../fixtures/load-replay.js';

const PATTERNS = {
  'on engines that decode': MEMORY_NEARLY_FULL,
  'on engines that prefill and decode': MEMORY_OF_BOTH,
};
const ORDERS = { urgency: Activation.Always, value: Activation.Never };

for (const [order, urgencyOrder] of Object.entries(ORDERS)) {
  describe(`streams while memory is nearly full, ordered by ${order}`, () => {
    for (const [where, pattern] of Object.entries(PATTERNS)) {
      const options = { ...SCHEDULER_OPTIONS, urgencyOrder };

      // An engine whose memory is full preempts requests, and they start again from their prompt.
      it(`go to an engine with room ${where}`, () => {
        assert.equal(replayLoad(pattern, options).misplacedStreams, 0);
      });

      it(`do not without the limit ${where}, which shows that the load fills memory`, () => {
        const unlimited = { ...options, maxRunningShare: Infinity };
        assert.ok(replayLoad(pattern, unlimited).misplacedStreams > 0);
      });
    }
  });
}
