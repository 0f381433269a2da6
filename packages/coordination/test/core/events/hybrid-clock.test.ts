/** Timestamps order causes before effects, whatever the wall clocks show. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import {
  compareHybridTimes,
  createHybridClock,
  MAX_CLOCK_DRIFT_MS,
  mergeHybridTime,
  readHybridTime,
  tickHybridClock,
  writeHybridTime,
} from '../../../src/core/events/hybrid-clock.js';

describe('the hybrid logical clock', () => {
  describe('within a process', () => {
    it('never repeats or decreases, even if the wall clock does', () => {
      fc.assert(
        fc.property(fc.array(fc.nat(1_000)), (walls) => {
          const clock = createHybridClock();
          const readings = walls.map((wallMs) => tickHybridClock(clock, wallMs));
          for (const [index, reading] of readings.entries()) {
            const next = readings[index + 1];
            if (next !== undefined) assert.ok(compareHybridTimes(reading, next) < 0);
          }
        }),
        { seed: 1 },
      );
    });
  });

  describe('across processes', () => {
    /*
     * An entry whose clock is 40 s ahead dispatches a request. The engine crashes, and its sidecar,
     * whose clock is correct, records the crash. Sorted by wall clock, the crash would precede the
     * dispatch that caused it.
     */
    it('sorts an effect after its cause although the receiver’s clock is behind', () => {
      const sender = createHybridClock();
      const receiver = createHybridClock();
      const sent = tickHybridClock(sender, 140_000);
      assert.equal(mergeHybridTime(receiver, sent, 100_000), true);
      const effect = tickHybridClock(receiver, 100_001);
      assert.ok(compareHybridTimes(sent, effect) < 0);
    });

    it('preserves the order along any chain of messages', () => {
      const hop = fc.record({ to: fc.nat(3), wallMs: fc.nat(MAX_CLOCK_DRIFT_MS) });
      fc.assert(
        fc.property(fc.array(hop), (hops) => {
          const clocks = Array.from({ length: 4 }, createHybridClock);
          let last = { wallMs: 0, counter: 0 };
          for (const { to, wallMs } of hops) {
            const clock = clocks[to] ?? createHybridClock();
            assert.equal(mergeHybridTime(clock, last, wallMs), true);
            const next = tickHybridClock(clock, wallMs);
            assert.ok(compareHybridTimes(last, next) < 0);
            last = next;
          }
        }),
        { seed: 2 },
      );
    });

    it('rejects a timestamp that is too far ahead', () => {
      const clock = createHybridClock();
      const faulty = { wallMs: 1_000 + MAX_CLOCK_DRIFT_MS + 1, counter: 0 };
      assert.equal(mergeHybridTime(clock, faulty, 1_000), false);
      assert.deepEqual(tickHybridClock(clock, 1_000), { wallMs: 1_000, counter: 0 });
      assert.equal(clock.refused, 1);
    });
  });

  describe('in a header', () => {
    it('is parsed back to the same timestamp', () => {
      assert.deepEqual(readHybridTime(writeHybridTime({ wallMs: 17, counter: 3 })), {
        wallMs: 17,
        counter: 3,
      });
    });

    it('is rejected if malformed', () => {
      for (const text of ['', '1', '1.', '-1.0', '1e9.0', '1.0.0', 'NaN.0', '9'.repeat(40)]) {
        assert.equal(readHybridTime(text), null);
      }
    });
  });
});
