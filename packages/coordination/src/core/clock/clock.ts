/**
 * Clock types for passing time as an argument. Decision code never reads a clock itself but
 * receives `nowMs`, a reading of the process's monotonic clock. Only timestamps shown to people
 * come from a wall clock, which may jump.
 */

/** Returns the current reading of a clock in milliseconds. */
export type ReadClock = () => number;

/** The two clocks of a process. */
export interface Clocks {
  /** Never decreases and has an arbitrary origin; comparable only within one process. */
  readonly monotonicMs: ReadClock;
  /** Milliseconds since 1970-01-01 UTC; may jump forwards or backwards. */
  readonly wallMs: ReadClock;
}
