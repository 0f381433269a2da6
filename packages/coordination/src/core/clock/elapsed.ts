/**
 * Measures elapsed time including the time in which the VM was suspended. A monotonic clock may
 * stop during a suspension while the wall clock does not, and a lease holder must count that time.
 */
import type { Clocks, ReadClock } from './clock.js';

/** Smaller differences are gradual adjustments of the wall clock. */
const MIN_JUMP_MS = 50;

/**
 * Creates a clock that never runs slower than either of the two clocks. If the wall clock is set
 * forward, a lease ends early, which is safe. If it is set back, the change is ignored.
 */
export function createElapsedClock({ monotonicMs, wallMs }: Clocks): ReadClock {
  let skippedMs = 0;
  let wallOffsetMs = wallMs() - monotonicMs();
  return () => {
    const nowMs = monotonicMs();
    const jumpMs = wallMs() - nowMs - wallOffsetMs;
    if (Math.abs(jumpMs) > MIN_JUMP_MS) {
      wallOffsetMs += jumpMs;
      skippedMs += Math.max(0, jumpMs);
    }
    return nowMs + skippedMs;
  };
}
