/** The process's real clocks, handed to decision code as functions. */
import type { Clocks } from '@cassiamast/coordination';

/** Monotonic time from the event loop's high-resolution clock, wall time from the system's. */
export const SYSTEM_CLOCKS: Clocks = {
  monotonicMs: () => performance.now(),
  wallMs: () => Date.now(),
};
