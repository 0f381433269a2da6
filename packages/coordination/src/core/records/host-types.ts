/**
 * Types of the state machine with which a sidecar hosts the attempts that run on its target,
 * buffers their answers, and stores them at the holders.
 */
import type { UnstampedEvent } from '../events/event.js';
import type {
  AttachMessage,
  DispatchMessage,
  HolderCall,
  HolderReply,
  StreamEnd,
  StreamFailure,
} from './messages.js';
import type { AnswerEnding, Attempt, RequestRecord } from './record.js';
import type { JudgeSequence, SessionOptions, SessionsState } from './sessions.js';

/** Lifecycle phase of a hosted attempt. */
export enum HostedPhase {
  /** Not started yet; a lone run waits until nothing else runs on the target. */
  Waiting = 'waiting',
  /** Reattaching to an engine stream that an earlier incarnation of the sidecar started. */
  Resuming = 'resuming',
  Running = 'running',
  /** The answer is complete and is being stored at the holders. */
  Committing = 'committing',
  Ended = 'ended',
  Failed = 'failed',
}

/** A reader of the stream of an attempt. */
export interface Attachment {
  nextIndex: number;
  /** True while its connection applies backpressure; tokens then stay in the shared buffer. */
  paused: boolean;
}

/** An attempt that is hosted for this target. */
export interface HostedAttempt {
  readonly attempt: Attempt;
  record: RequestRecord;
  readonly payload: unknown;
  phase: HostedPhase;
  /** Whether the ledger still names it as the lone run, as checked just before its start. */
  loneRunConfirmed: boolean;
  loneRunCheckedAtMs: number;
  /** All tokens of the answer so far, including those of earlier attempts. */
  readonly tokens: string[];
  ending: AnswerEnding | null;
  failure: StreamFailure | null;
  readonly attachments: Map<string, Attachment>;
  /** The call that holders have yet to acknowledge: the answer, its commit mark or a crash. */
  holderCall: HolderCall | null;
  readonly holderReplies: Map<string, HolderReply>;
  holdersCalledAtMs: number;
  /** When each holder that may still reply was called. */
  readonly holderCallsInFlight: Map<string, number>;
  /** When readers are handed the answer if the holders have not committed it. */
  delegateCommitAtMs: number;
  readonly deadlineAtMs: number;
  expiresAtMs: number;
  sizeBytes: number;
}

/** A lone run that was probed before its dispatch arrived. */
export interface ProbedLoneRun {
  readonly firstProbedAtMs: number;
  forbidden: boolean;
}

/** Streams in the engine that an earlier incarnation of the sidecar started. */
export interface InheritedStreams {
  readonly count: number;
  /** True if one of them may be a lone run, which nothing may run beside. */
  readonly mayBeLone: boolean;
}

/** State of the attempts of a sidecar. */
export interface HostState {
  readonly sidecarId: string;
  readonly target: string;
  readonly sessions: SessionsState;
  readonly attempts: Map<string, HostedAttempt>;
  totalBytes: number;
  draining: boolean;
  /** Streams of an earlier incarnation; null until the engine has been queried. */
  inherited: InheritedStreams | null;
  /** Hashes of contents that crashed a target, oldest first. */
  readonly suspectedHashes: Set<string>;
  /**
   * Lone runs that were probed before their dispatch arrived, oldest first and bounded in number.
   * Those that do not arrive within the grace period are forbidden.
   */
  readonly probedLoneRuns: Map<string, ProbedLoneRun>;
}

/** Kinds of events that the state machine handles. */
export enum HostEventKind {
  Dispatched = 'dispatched',
  Attached = 'attached',
  Detached = 'detached',
  ReaderPaused = 'reader-paused',
  ReaderResumed = 'reader-resumed',
  EngineTokens = 'engine-tokens',
  EngineEnded = 'engine-ended',
  /** One stream failed while the engine is still running. */
  EngineStreamFailed = 'engine-stream-failed',
  /** The engine has no such stream. */
  EngineStreamMissing = 'engine-stream-missing',
  EngineCrashed = 'engine-crashed',
  /** The engine reported which streams it runs. */
  EngineInherited = 'engine-inherited',
  HolderReplied = 'holder-replied',
  HolderFailed = 'holder-failed',
  MembersChanged = 'members-changed',
  LoneRunChecked = 'lone-run-checked',
  ContentSuspected = 'content-suspected',
  ContentCleared = 'content-cleared',
  DrainChanged = 'drain-changed',
  Tick = 'tick',
}

/** An event that the state machine handles. */
export type HostEvent =
  | {
      readonly kind: HostEventKind.Dispatched;
      /** Identifies the connection to which the stream is sent. */
      readonly attachId: string;
      readonly message: DispatchMessage;
    }
  | {
      readonly kind: HostEventKind.Attached;
      readonly attachId: string;
      readonly message: AttachMessage;
    }
  | {
      readonly kind:
        HostEventKind.Detached | HostEventKind.ReaderPaused | HostEventKind.ReaderResumed;
      readonly attachId: string;
    }
  | {
      readonly kind: HostEventKind.EngineTokens;
      readonly attemptId: string;
      readonly index: number;
      readonly tokens: readonly string[];
    }
  | {
      readonly kind: HostEventKind.EngineEnded;
      readonly attemptId: string;
      readonly ending: AnswerEnding;
    }
  | {
      readonly kind: HostEventKind.EngineStreamFailed;
      readonly attemptId: string;
      /** False only if the engine refused it before doing any work. */
      readonly mayHaveRun: boolean;
    }
  | { readonly kind: HostEventKind.EngineStreamMissing; readonly attemptId: string }
  | { readonly kind: HostEventKind.EngineCrashed }
  | { readonly kind: HostEventKind.EngineInherited; readonly inherited: InheritedStreams }
  | {
      readonly kind: HostEventKind.HolderReplied;
      readonly attemptId: string;
      readonly from: string;
      readonly reply: HolderReply;
    }
  | {
      /** A holder could not be reached, or its reply is known to be lost. */
      readonly kind: HostEventKind.HolderFailed;
      readonly attemptId: string;
      readonly from: string;
    }
  | { readonly kind: HostEventKind.MembersChanged }
  | {
      readonly kind: HostEventKind.LoneRunChecked;
      readonly attemptId: string;
      /** Whether the key-value service names this attempt as the lone run of the service. */
      readonly isCurrentLoneRun: boolean;
    }
  | {
      readonly kind: HostEventKind.ContentSuspected | HostEventKind.ContentCleared;
      readonly bodyHash: string;
    }
  | { readonly kind: HostEventKind.DrainChanged; readonly draining: boolean }
  | { readonly kind: HostEventKind.Tick };

/** Kinds of effects that the state machine requests. */
export enum HostEffectKind {
  StartEngine = 'start-engine',
  ResumeEngine = 'resume-engine',
  CancelEngine = 'cancel-engine',
  OpenStream = 'open-stream',
  SendTokens = 'send-tokens',
  EndStream = 'end-stream',
  FailStream = 'fail-stream',
  CallHolder = 'call-holder',
  ReportCrash = 'report-crash',
  /** Read the lone run of the service. The result is `LoneRunChecked`, or nothing in an outage. */
  CheckLoneRun = 'check-lone-run',
  Emit = 'emit',
}

/** A request that was running when its engine crashed. */
export interface CrashSuspect {
  readonly attemptId: string;
  readonly bodyHash: string;
  readonly alone: boolean;
}

/** An effect that the state machine requests. */
export type HostEffect =
  | {
      readonly kind: HostEffectKind.StartEngine;
      readonly attempt: Attempt;
      readonly payload: unknown;
      readonly continueFrom: readonly string[];
    }
  | {
      readonly kind: HostEffectKind.ResumeEngine;
      readonly attemptId: string;
      readonly fromIndex: number;
    }
  | { readonly kind: HostEffectKind.CancelEngine; readonly attemptId: string }
  | {
      readonly kind: HostEffectKind.CheckLoneRun;
      readonly attemptId: string;
      readonly service: string;
    }
  | { readonly kind: HostEffectKind.OpenStream; readonly attachId: string }
  | {
      readonly kind: HostEffectKind.SendTokens;
      readonly attachId: string;
      readonly index: number;
      readonly tokens: readonly string[];
    }
  | { readonly kind: HostEffectKind.EndStream; readonly attachId: string; readonly end: StreamEnd }
  | {
      readonly kind: HostEffectKind.FailStream;
      readonly attachId: string;
      readonly failure: StreamFailure;
    }
  | {
      readonly kind: HostEffectKind.CallHolder;
      readonly to: string;
      /** Returned in `HolderReplied`. */
      readonly attemptId: string;
      readonly call: HolderCall;
    }
  | {
      readonly kind: HostEffectKind.ReportCrash;
      readonly service: string;
      readonly suspects: readonly CrashSuspect[];
    }
  | { readonly kind: HostEffectKind.Emit; readonly event: UnstampedEvent };

/** Decides whether enough holders have an answer for its end to be reported to readers. */
export type MayReportEnd = (
  replies: ReadonlyMap<string, HolderReply>,
  holders: readonly string[],
) => boolean;
/** Decides whether an attempt may start beside the running ones, given that lone runs run alone. */
export type MayStartBeside = (running: readonly HostedAttempt[], alone: boolean) => boolean;

/** Limits of the state machine, and the rules by which it accepts and ends attempts. */
export interface HostOptions {
  readonly sessions: SessionOptions;
  readonly maxAttempts: number;
  readonly maxBytes: number;
  readonly maxAnswerTokens: number;
  readonly maxSuspectedHashes: number;
  readonly maxProbedLoneRuns: number;
  /** Time within which the dispatch of a probed lone run must arrive before it is forbidden. */
  readonly loneRunGraceMs: number;
  /** How long an ended attempt is kept for readers. */
  readonly retentionMs: number;
  readonly holderRetryMs: number;
  /** Delay before a call is repeated to a holder that was reached but has not replied. */
  readonly holderRepeatMs: number;
  /** Time after which readers are handed an answer that this sidecar could not commit. */
  readonly commitTimeoutMs: number;
  readonly busyRetryAfterMs: number;
  readonly judgeSequence: JudgeSequence;
  readonly mayReportEnd: MayReportEnd;
  readonly mayStartBeside: MayStartBeside;
}

/** Inputs that vary from call to call. */
export interface HostContext {
  readonly nowMs: number;
  readonly options: HostOptions;
  readonly holdersOfKey: (keyText: string) => readonly string[];
}
