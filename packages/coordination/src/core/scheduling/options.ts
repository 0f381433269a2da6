/** The limits of a scheduler, each with the load that it answers. */
export interface SchedulerOptions {
  /**
   * Reading that an engine is given ahead, so that it never idles while the next job travels to
   * it: two crossings between failure domains and the gateway's own work.
   */
  readonly lookaheadMs: number;
  /** Prompts that one engine is given at once, whatever was predicted for them. */
  readonly maxReading: number;
  /**
   * How many milliseconds a job may wait for the engine that holds its parts to spare another one
   * a millisecond of reading them again.
   */
  readonly rereadWeight: number;
  /**
   * How many milliseconds a job may wait for the engine that holds its parts to spare another one
   * a copy of a thousand tokens: what the copy pushes out is read again, at some 35 ms a thousand.
   */
  readonly copyMsPerThousand: number;
  /**
   * Longest prompt that an engine which makes tokens reads itself while others read for it. Guards
   * streams against long readings beside them: they show as first events that come 200 to 1500 ms
   * after the prompt was handed over, in place of 20 ms.
   */
  readonly maxDecodeReadTokens: number;
  /** Work on jobs that are late already which an engine keeps waiting. */
  readonly maxLateBacklogMs: number;
  /**
   * How long a job that can no longer be on time keeps its place: those that come meanwhile go
   * before it, and a caller who is sent away late has waited for nothing.
   */
  readonly maxLateWaitMs: number;
  /** Time from the read prompt to the first event at the caller. */
  readonly firstEventMs: number;
  /** Time that a handle of a read prompt takes to the engine that goes on. */
  readonly handoverMs: number;
  /** Earliest time at which a refused caller is asked back. */
  readonly minRetryAfterMs: number;
  /** A gateway that has not asked for its waiting job so long has died or given up. */
  readonly forgottenAfterMs: number;
  /** A scheduler that was not asked for so long may have had another one beside it. */
  readonly staleAfterMs: number;
  /**
   * Answers in a row that a target breaks off before it counts as failed. A crash breaks off all of
   * them at once; a single one is an answer lost on its way, and to leave its engine alone for that
   * kept requests from being read for up to 800 ms where one of two engines makes the tokens.
   */
  readonly maxBreaksInARow: number;
  /** How long a target that failed is left alone at first; doubles with each failure in a row. */
  readonly suspendMs: number;
  readonly maxSuspendMs: number;
  /** Part of an engine's memory that running requests may take. */
  readonly maxRunningShare: number;
}

/** Defaults; their reasons stand with the fields, their figures come from docs/MEASUREMENTS.md. */
export const SCHEDULER_OPTIONS: SchedulerOptions = {
  lookaheadMs: 10,
  maxReading: 3,
  rereadWeight: 1,
  maxDecodeReadTokens: 400,
  copyMsPerThousand: 10,
  maxLateBacklogMs: 300,
  maxLateWaitMs: 400,
  firstEventMs: 15,
  handoverMs: 25,
  minRetryAfterMs: 300,
  forgottenAfterMs: 700,
  staleAfterMs: 1500,
  maxBreaksInARow: 2,
  suspendMs: 500,
  maxSuspendMs: 2000,
  maxRunningShare: 0.8,
};
