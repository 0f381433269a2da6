/** The limits of a scheduler, each with the load that it answers. */
export interface SchedulerOptions {
  /**
   * Reading that an engine is given ahead. An engine reads several short prompts in one step; given
   * them one by one, it starts up for each. As long as a step of 1,000 to 2,000 tokens takes.
   */
  readonly lookaheadMs: number;
  /**
   * Prompts that one engine is given at once, whatever was predicted for them: what is lost if it
   * crashes, and what fits a step of 2,000 tokens at some 250 each.
   */
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
   * streams against long readings beside them: they show as first events that come much later than
   * the prompt was handed over.
   */
  readonly maxDecodeReadTokens: number;
  /**
   * Work on jobs that are late already which an engine keeps waiting. None: whoever would be late is
   * told so at once, unless an engine is idle. Late jobs that waited were served late or sent away
   * after a wait, and those behind them were late in turn.
   */
  readonly maxLateBacklogMs: number;
  /**
   * How long a job that can no longer be on time keeps its place: those that come meanwhile go
   * before it, and a caller who is sent away late has waited for nothing. Some decisions long, since
   * a prediction swings by as much when other prompts are read sooner than expected.
   */
  readonly maxLateWaitMs: number;
  /**
   * How long a gateway keeps a connection that is not used: what targets announce, less a margin.
   */
  readonly connectionKeptMs: number;
  /** Wait for a new connection to an engine: two crossings, and the engine's own time for it. */
  readonly connectMs: number;
  /**
   * Requests more that an engine may have to which the gateway has a connection. Little against the
   * slots of an engine: a request more makes each of its tokens a few hundredths slower.
   */
  readonly connectedAdvantage: number;
  /** How often idle engines look at the lines of others; little against the reading of a prompt. */
  readonly stealEveryMs: number;
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

/** Defaults; their reasons stand with the fields. */
export const SCHEDULER_OPTIONS: SchedulerOptions = {
  lookaheadMs: 40,
  maxReading: 8,
  rereadWeight: 1,
  maxDecodeReadTokens: 400,
  copyMsPerThousand: 10,
  maxLateBacklogMs: 0,
  maxLateWaitMs: 50,
  stealEveryMs: 10,
  connectionKeptMs: 30_000,
  connectMs: 4,
  connectedAdvantage: 4,
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
