/**
 * What a scheduler is asked and what it decides. A job is one attempt of a caller that needs an
 * engine; all times are readings of the scheduler's own clock.
 */
import type { PromptPart } from '../forwarding/fleet.js';

/** A request that waits for an engine. */
export interface Job {
  readonly id: string;
  /** Jobs of one route are compared by size with each other. */
  readonly route: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** The parts of the prompt in order; the last one is the request's own. */
  readonly parts: readonly PromptPart[];
  readonly outputTokens: number;
  /** Where its answer goes. */
  readonly failureDomain: string;
  /** The gateway that sends it to engines. */
  readonly gateway: string;
  /** The first event is on time until then. */
  readonly aimAtMs: number;
  /** The caller leaves then. */
  readonly deadlineAtMs: number;
  /** Targets that already failed this job. */
  readonly avoid: readonly string[];
}

/** Where a job runs. */
export interface Plan {
  /** The engine that reads the prompt. */
  readonly readAt: string;
  /** The engine that makes the tokens, null where the first one does that as well. */
  readonly streamAt: string | null;
  /** The engine that hands over parts which the reader lacks, null where there is none. */
  readonly fetchFrom: string | null;
  /** Tokens that are expected to be read; the rest is in the engine's cache or fetched. */
  readonly missingTokens: number;
  readonly predictedReadMs: number;
  readonly waitedMs: number;
}

/** Why a job is refused. */
export enum RefusalReason {
  /** No target takes work. */
  NoTarget = 'no-target',
  /** It would not be read before its caller leaves. */
  TooLate = 'too-late',
  /** Others that can still be on time need all that the engines can do. */
  Overload = 'overload',
  /** Each engine that could take it names a rate limit that is used up. */
  RateLimit = 'rate-limit',
}

/** Kinds of decision. */
export enum DecisionKind {
  Run = 'run',
  Refuse = 'refuse',
}

/** A decision on one job; it is final. */
export type Decision =
  | { readonly kind: DecisionKind.Run; readonly jobId: string; readonly plan: Plan }
  | {
      readonly kind: DecisionKind.Refuse;
      readonly jobId: string;
      readonly reason: RefusalReason;
      /** When the job is likely to be taken. */
      readonly retryAfterMs: number;
      /** Reading that its engine had to do before it. */
      readonly aheadMs: number;
      /** Jobs that waited for any engine. */
      readonly waitingJobs: number;
    };

/** What a gateway reports of a job that runs. */
export enum JobEventKind {
  /** The prompt is read: the first event came, or the handle of the prompt. */
  Read = 'read',
  /** It ended; nothing of it runs any more. */
  Ended = 'ended',
  /** It ended, and the target had answered it whole. */
  Served = 'served',
  /** The target can't be reached, is silent, or takes no work. */
  Failed = 'failed',
  /** The target broke off an answer: a crash, or one answer lost on its way. */
  Broke = 'broke',
}

/** One report. */
export interface JobEvent {
  readonly kind: JobEventKind;
  readonly jobId: string;
  /** The target that it is about. */
  readonly target: string;
}
