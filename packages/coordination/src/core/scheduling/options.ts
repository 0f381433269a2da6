import { Activation } from './activation.js';
import { localityOptions } from '../locality/options.js';
import type { DomainCosts } from './domain-cost.js';

/** Tuning parameters of a scheduler, each with the load that it addresses. */
export interface SchedulerOptions {
  /**
   * Predicted prefill time up to which an engine is given further jobs. An engine batches several
   * short prompts into one step, whereas prompts sent one by one each pay the start-up time. The
   * value is the duration of a step of about 1,000 tokens; the latency of prefills comes on top.
   */
  readonly lookaheadMs: number;
  /**
   * Maximum number of prompts that one engine prefills at once, whatever their predicted time.
   * Bounds the work that a crash loses and fits a step of 2,000 tokens at about 250 tokens per
   * prompt.
   */
  readonly maxPrefillsPerEngine: number;
  /**
   * Milliseconds that a job may wait for the engine that holds its cached parts in order to save
   * another engine one millisecond of recomputing them.
   */
  readonly recomputeWeight: number;
  /**
   * Milliseconds that a job may wait for the engine that holds its cached parts to avoid copying a
   * thousand tokens to another engine. A copy evicts other parts, which are then prefilled again at
   * about 35 ms per thousand tokens.
   */
  readonly copyPenaltyMsPerThousand: number;
  /**
   * Longest prompt, in tokens, that a decode engine prefills itself while prefill engines are
   * available. Longer prefills interrupt the streams on the engine, so that first events arrive
   * long after the handover of their prompts.
   */
  readonly maxDecodePrefillTokens: number;
  /**
   * Maximum number of jobs in the queue of an engine; further ones are refused. Each decision reads
   * the queues, and jobs that may wait until their deadline fill them in a long overload. The value
   * exceeds what an engine serves within the deadlines of the shortest prompts: at 100, retries were
   * refused that could have been answered.
   */
  readonly maxQueuedJobsPerEngine: number;
  /**
   * Maximum predicted service time of the late jobs in the queue of an engine. With zero, a job
   * that would be late is refused immediately unless its engine is idle. Queued late jobs were
   * served late or refused after a wait, and delayed the jobs behind them.
   */
  readonly maxLateBacklogMs: number;
  /**
   * How long a queued job that can no longer be on time stays queued. Later arrivals are served
   * before it, and a caller that is refused late has waited in vain. The value spans several
   * scheduling decisions because predictions fluctuate by that much when other prefills finish
   * early.
   */
  readonly maxLateWaitMs: number;
  /**
   * How long a gateway keeps an idle connection: the keep-alive time that targets announce, minus a
   * margin.
   */
  readonly connectionKeepAliveMs: number;
  /**
   * Time to open a connection to an engine: two network round trips plus the engine's setup time.
   */
  readonly connectMs: number;
  /**
   * Additional requests that an engine may have over others if the gateway has a connection to it.
   * Small compared with the slots of an engine: one more request slows each of its tokens by a few
   * percent.
   */
  readonly connectedBonusRequests: number;
  /**
   * Interval at which idle engines try to steal work; short compared with the prefill of a prompt.
   */
  readonly stealIntervalMs: number;
  /** Time from the end of the prefill to the first event at the caller. */
  readonly firstEventMs: number;
  /** Time to transfer the handle of a prefilled prompt to the decode engine. */
  readonly handoverMs: number;
  /** Minimum retry delay that a refused caller is given. */
  readonly minRetryAfterMs: number;
  /**
   * A gateway that has not polled its queued job for this long is assumed to have died or given up.
   */
  readonly abandonedAfterMs: number;
  /** After this long without requests, another scheduler may have been active in the meantime. */
  readonly staleAfterMs: number;
  /**
   * Broken answers in a row after which a target counts as failed. A crash breaks off all answers
   * at once, whereas a single one was lost in transit. Suspending the engine for a single lost
   * answer blocked prefills for up to 800 ms when only two engines decode.
   */
  readonly maxConsecutiveBreaks: number;
  /** Initial suspension of a failed target; doubles with each consecutive failure. */
  readonly initialSuspendMs: number;
  readonly maxSuspendMs: number;
  /**
   * Whether the speed of each engine is learned relative to its service, and work is distributed in
   * proportion to it. Otherwise each engine has its own fit of prefill times, and decode engines are
   * chosen by their number of streams.
   */
  readonly learnsSpeeds: boolean;
  /**
   * Cost of another failure domain: network round trip and the price of leaving. With null, only a
   * fixed penalty keeps the decode engine in the domain of the prefill engine.
   */
  readonly locality: DomainCosts | null;
  /**
   * Fraction of an engine's memory that running requests may use while another engine has room.
   * `Infinity` disables the limit.
   */
  readonly maxRunningShare: number;
  /**
   * Whether requests to engines carry their priority. Engines admit urgent requests first and
   * preempt others when memory is short; without it, urgent requests wait behind long prompts.
   */
  readonly enginePriority: Activation;
  /**
   * Whether retry delays follow the rate at which the engines drain their work. Otherwise all callers
   * of a burst return together after `minRetryAfterMs`.
   */
  readonly drainRateRetries: Activation;
  /**
   * Whether retries precede new jobs of their priority and count as on time until their deadline.
   * Otherwise many callers are refused a second time. In an overload that outlasts
   * the deadlines, new jobs of the least urgent type are then refused first and served as retries,
   * late.
   */
  readonly retriesFirst: Activation;
  /**
   * Whether jobs rank by urgency instead of by value per engine time. By value, an expensive urgent
   * type is late most often of all.
   */
  readonly urgencyOrder: Activation;
  /**
   * Whether jobs that would be late wait until an engine has nothing else to do. Otherwise
   * `maxLateBacklogMs` and `maxLateWaitMs` apply.
   */
  readonly lateJobsWait: Activation;
}

/** Default options; the reasons are documented with the fields. */
export const SCHEDULER_OPTIONS: SchedulerOptions = {
  lookaheadMs: 30,
  maxPrefillsPerEngine: 8,
  recomputeWeight: 1,
  maxDecodePrefillTokens: 400,
  copyPenaltyMsPerThousand: 10,
  maxQueuedJobsPerEngine: 1000,
  maxLateBacklogMs: 0,
  maxLateWaitMs: 50,
  stealIntervalMs: 10,
  connectionKeepAliveMs: 30_000,
  connectMs: 4,
  connectedBonusRequests: 4,
  firstEventMs: 15,
  handoverMs: 25,
  minRetryAfterMs: 300,
  abandonedAfterMs: 700,
  staleAfterMs: 1500,
  maxConsecutiveBreaks: 2,
  initialSuspendMs: 500,
  maxSuspendMs: 2000,
  learnsSpeeds: false,
  locality: localityOptions(),
  maxRunningShare: 0.8,
  enginePriority: Activation.WhenPrioritiesDiffer,
  drainRateRetries: Activation.Never,
  retriesFirst: Activation.Never,
  urgencyOrder: Activation.Never,
  lateJobsWait: Activation.Never,
};
