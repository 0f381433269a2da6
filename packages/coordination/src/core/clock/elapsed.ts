/**
 * Time that has passed for everybody else. A monotonic clock may stand still while its VM is
 * suspended; the time of day does not. Whoever holds a lease must count that time.
 */
import type { Clocks, ReadClock } from './clock.js';

/** Differences under this are the time of day being adjusted slowly. */
const MIN_JUMP_MS = 50;

/**
 * Makes a clock that never runs slower than either of the two: a time of day that is put forward
 * makes a lease end early, which is safe; one that is put back is not believed.
 */
export function createElapsedClock({ monotonicMs, wallMs }: Clocks): ReadClock {
  let skippedMs = 0;
  let lead = wallMs() - monotonicMs();
  return () => {
    const now = monotonicMs();
    const jumpMs = wallMs() - now - lead;
    if (Math.abs(jumpMs) > MIN_JUMP_MS) {
      lead += jumpMs;
      skippedMs += Math.max(0, jumpMs);
    }
    return now + skippedMs;
  };
}
