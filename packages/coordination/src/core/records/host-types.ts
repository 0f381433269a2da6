/**
 * Types of the attempt machine of a sidecar: it hosts the attempts that run on its target, keeps
 * their answers while they are made, and sees to it that the holders get them.
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

/** The life of a hosted attempt. */
export enum HostedPhase {
  /** Alone, and something else still runs. */
  Waiting = 'waiting',
  /** Asking the engine for a stream of before this sidecar's start. */
  Resuming = 'resuming',
  Running = 'running',
  /** Whole; the holders are being told. */
  Committing = 'committing',
  Ended = 'ended',
  Failed = 'failed',
}

/** A reader of an attempt's stream. */
export interface Attachment {
  nextIndex: number;
  /** True while its connection takes nothing: tokens stay in the one copy that is kept anyway. */
  paused: boolean;
}

/** An attempt on this target. */
export interface HostedAttempt {
  readonly attempt: Attempt;
  record: RequestRecord;
  readonly payload: unknown;
  phase: HostedPhase;
  /** Whether the ledger still names it as the lone run; asked just before it starts. */
  loneRunStands: boolean;
  loneRunAskedAtMs: number;
  /** The whole answer so far, with what earlier attempts had made. */
  readonly tokens: string[];
  ending: AnswerEnding | null;
  failure: StreamFailure | null;
  readonly attachments: Map<string, Attachment>;
  /** What the holders have yet to take: the finish or the news of a crash. */
  holderCall: HolderCall | null;
  readonly holderReplies: Map<string, HolderReply>;
  holdersAskedAtMs: number;
  /** Holders that were asked and may still answer, and when they were. */
  readonly holdersUnderWay: Map<string, number>;
  /** Time until which readers wait for the holders, from the end on. */
  patienceUntilMs: number;
  readonly deadlineAtMs: number;
  expiresAtMs: number;
  sizeBytes: number;
}

/** A lone run that has not come. */
export interface AwaitedLoneRun {
  readonly askedAtMs: number;
  forbidden: boolean;
}

/** What a sidecar finds in its engine that it did not start itself. */
export interface InheritedStreams {
  readonly count: number;
  /** One of them may be a lone run: nothing is started beside it. */
  readonly mayBeLone: boolean;
}

/** All that a sidecar knows of attempts. */
export interface HostState {
  readonly sidecarId: string;
  readonly target: string;
  readonly sessions: SessionsState;
  readonly attempts: Map<string, HostedAttempt>;
  totalBytes: number;
  draining: boolean;
  /** Streams of a former incarnation; null until the engine was asked. */
  inherited: InheritedStreams | null;
  /** Contents that crashed a target, oldest first. */
  readonly suspectedHashes: Set<string>;
  /**
   * Lone runs that were asked after before they came, with the time of the first question; those
   * that did not come within the grace are forbidden. Bounded, oldest first.
   */
  readonly awaitedLoneRuns: Map<string, AwaitedLoneRun>;
}

/** What the machine is told. */
export enum HostEventKind {
  Dispatched = 'dispatched',
  Attached = 'attached',
  Detached = 'detached',
  ReaderPaused = 'reader-paused',
  ReaderResumed = 'reader-resumed',
  EngineTokens = 'engine-tokens',
  EngineEnded = 'engine-ended',
  /** One stream failed; the engine lives. */
  EngineStreamFailed = 'engine-stream-failed',
  /** The engine has no such stream. */
  EngineStreamMissing = 'engine-stream-missing',
  EngineCrashed = 'engine-crashed',
  /** The engine was asked what it runs. */
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

/** One thing that the machine is told. */
export type HostEvent =
  | {
      readonly kind: HostEventKind.Dispatched;
      /** Names the connection, for the answers to it. */
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
      /** False only when the engine refused it before any work. */
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
      /** A holder could not be reached, or its answer is lost for certain. */
      readonly kind: HostEventKind.HolderFailed;
      readonly attemptId: string;
      readonly from: string;
    }
  | { readonly kind: HostEventKind.MembersChanged }
  | {
      readonly kind: HostEventKind.LoneRunChecked;
      readonly attemptId: string;
      /** Whether the service's lone run in the key-value service is this attempt. */
      readonly stands: boolean;
    }
  | {
      readonly kind: HostEventKind.ContentSuspected | HostEventKind.ContentCleared;
      readonly bodyHash: string;
    }
  | { readonly kind: HostEventKind.DrainChanged; readonly draining: boolean }
  | { readonly kind: HostEventKind.Tick };

/** What the machine asks to be done. */
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
  /** Read the service's lone run; comes back as `LoneRunChecked`, or not at all in an outage. */
  CheckLoneRun = 'check-lone-run',
  Emit = 'emit',
}

/** A request that ran while its engine crashed. */
export interface CrashSuspect {
  readonly attemptId: string;
  readonly bodyHash: string;
  readonly alone: boolean;
}

/** One thing to be done. */
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
      /** Comes back in `HolderReplied`. */
      readonly attemptId: string;
      readonly call: HolderCall;
    }
  | {
      readonly kind: HostEffectKind.ReportCrash;
      readonly service: string;
      readonly suspects: readonly CrashSuspect[];
    }
  | { readonly kind: HostEffectKind.Emit; readonly event: UnstampedEvent };

/** Decides whether an answer is held safely enough for its end to be told. */
export type MayTellEnd = (
  replies: ReadonlyMap<string, HolderReply>,
  holders: readonly string[],
) => boolean;
/** Decides whether a dispatch must wait or be refused because of a lone run. */
export type LeavesAlone = (running: readonly HostedAttempt[], alone: boolean) => boolean;

/** Bounds and guards. */
export interface HostOptions {
  readonly sessions: SessionOptions;
  readonly maxAttempts: number;
  readonly maxBytes: number;
  readonly maxAnswerTokens: number;
  readonly maxSuspectedHashes: number;
  readonly maxAwaitedLoneRuns: number;
  /** Time that a lone run has to come before it gives way to another. */
  readonly loneRunGraceMs: number;
  /** Time for which an ended attempt is kept for readers. */
  readonly retentionMs: number;
  readonly holderRetryMs: number;
  /** Wait before a holder that is silent, though it was reached, is asked once more. */
  readonly holderRepeatMs: number;
  /** Time after which readers are handed an answer that could not be committed from here. */
  readonly commitPatienceMs: number;
  readonly busyRetryAfterMs: number;
  readonly judgeSequence: JudgeSequence;
  readonly mayTellEnd: MayTellEnd;
  readonly leavesAlone: LeavesAlone;
}

/** What varies from call to call. */
export interface HostContext {
  readonly nowMs: number;
  readonly options: HostOptions;
  readonly holdersOfKey: (keyText: string) => readonly string[];
}
