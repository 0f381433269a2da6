/**
 * Requests to a scheduler and its decisions. A job is one attempt of a caller that needs an engine.
 * All times are readings of the scheduler's own clock.
 */
import type { PromptPart } from '../forwarding/fleet.js';

/** A request that needs an engine. */
export interface Job {
  readonly id: string;
  /** Sizes of jobs are compared within their route. */
  readonly route: string;
  /** The workspace of the caller, or null if it is not known by one. */
  readonly workspace: string | null;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** The parts of the prompt in order; the last part is unique to this request. */
  readonly parts: readonly PromptPart[];
  readonly outputTokens: number;
  /** Failure domain that receives the answer. */
  readonly failureDomain: string;
  /** The gateway that forwards the job to engines. */
  readonly gateway: string;
  /** Latency goal: the first event is on time until this time. */
  readonly aimAtMs: number;
  /** Time at which the caller stops waiting. */
  readonly deadlineAtMs: number;
  /** Targets that already failed this job, or that its gateway must not send requests to. */
  readonly avoid: readonly string[];
  /** Time from which the gateway may use an engine that decodes; in the past if it may now. */
  readonly avoidUntilMs: number;
}

/** The engines that run a job. */
export interface Plan {
  /** The engine that prefills the prompt. */
  readonly readAt: string;
  /** The engine that decodes, or null if the prefill engine also decodes. */
  readonly streamAt: string | null;
  /**
   * The engine that transfers cached parts to the prefill engine, or null if nothing is
   * transferred.
   */
  readonly fetchFrom: string | null;
  /**
   * Tokens that are expected to be prefilled; the rest is cached on the engine or transferred to
   * it.
   */
  readonly missingTokens: number;
  readonly predictedReadMs: number;
  readonly waitedMs: number;
}

/** Reason for refusing a job. */
export enum RefusalReason {
  /** No target accepts work of the job's gateway. */
  NoTarget = 'no-target',
  /** The first event would arrive after the caller's deadline. */
  TooLate = 'too-late',
  /**
   * The first event would miss its latency goal, and the remaining capacity goes to jobs that can
   * still be on time.
   */
  Overload = 'overload',
  /** Every engine that could run the job has reached its rate limit. */
  RateLimit = 'rate-limit',
}

/** Kinds of decision. */
export enum DecisionKind {
  Run = 'run',
  Refuse = 'refuse',
}

/** The final decision on one job. */
export type Decision =
  | { readonly kind: DecisionKind.Run; readonly jobId: string; readonly plan: Plan }
  | {
      readonly kind: DecisionKind.Refuse;
      readonly jobId: string;
      readonly reason: RefusalReason;
      /** Time after which the job is likely to be accepted. */
      readonly retryAfterMs: number;
      /** Predicted prefill time that was queued ahead of the job on its engine. */
      readonly aheadMs: number;
      /** Number of jobs that were queued for any engine. */
      readonly waitingJobs: number;
      /** Whether the caller had been refused before. Absent in decisions of earlier versions. */
      readonly isRetry?: boolean;
    };

/** Events that a gateway reports about a running job. */
export enum JobEventKind {
  /** The prompt is prefilled: the first event or the handle of the prefilled prompt arrived. */
  Read = 'read',
  /** The job ended, and no part of it is running. */
  Ended = 'ended',
  /** The target announced that it is shutting down; this event belongs to no job. */
  Leaving = 'leaving',
  /** The job ended with a complete answer from the target. */
  Served = 'served',
  /** The target is unreachable, unresponsive or not accepting work. */
  Failed = 'failed',
  /**
   * The target broke off an answer, because it crashed or because this one answer was lost in
   * transit.
   */
  Broke = 'broke',
}

/** One reported event. */
export interface JobEvent {
  readonly kind: JobEventKind;
  readonly jobId: string;
  /** The target that the event is about. */
  readonly target: string;
}
