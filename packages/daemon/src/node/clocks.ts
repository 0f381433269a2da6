/** The real clocks of the process, passed to decision code as functions. */
import type { Clocks } from '@cassiamast/coordination';

/** Monotonic time comes from `performance.now()`, wall time from the system clock. */
export const SYSTEM_CLOCKS: Clocks = {
  monotonicMs: () => performance.now(),
  wallMs: () => Date.now(),
};
