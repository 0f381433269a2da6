/**
 * Time as an argument. Decision code never reads a clock: it is handed `nowMs`, a reading of its
 * process's monotonic clock. Only timestamps shown to people come from a wall clock, which may jump.
 */

/** Reads a clock, in milliseconds. */
export type ReadClock = () => number;

/** The two clocks of a process. */
export interface Clocks {
  /** Never goes back, starts anywhere; comparable only within one process. */
  readonly monotonicMs: ReadClock;
  /** Milliseconds since 1970-01-01 UTC; may jump either way. */
  readonly wallMs: ReadClock;
}
