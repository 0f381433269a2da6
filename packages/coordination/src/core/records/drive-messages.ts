/**
 * Events that the request machine of an entry handles, and effects that it returns for execution.
 */
import type { UnstampedEvent } from '../events/event.js';
import type { Failure } from '../failures/failure.js';
import type { RunState } from '../model/outcome.js';
import type { ClaimOutcome, DriveTimer, LoneRunEnd, LoneRunOutcome } from './drive-types.js';
import type { Place } from './place.js';
import type {
  CancelOutcome,
  HolderCall,
  HolderReply,
  StreamEnd,
  StreamFailure,
} from './messages.js';
import type { AnswerEnding, Attempt, RequestRecord } from './record.js';

/** Kinds of events of a request machine. */
export enum DriveEventKind {
  CallerArrived = 'caller-arrived',
  CallerGone = 'caller-gone',
  HolderReplied = 'holder-replied',
  HolderFailed = 'holder-failed',
  MembersChanged = 'members-changed',
  Admitted = 'admitted',
  AdmissionRefused = 'admission-refused',
  LoneRunReplied = 'lone-run-replied',
  SessionOpened = 'session-opened',
  SessionFailed = 'session-failed',
  ClaimReplied = 'claim-replied',
  StreamOpened = 'stream-opened',
  StreamTokens = 'stream-tokens',
  StreamEnded = 'stream-ended',
  StreamFailed = 'stream-failed',
  CancelReplied = 'cancel-replied',
  TimerFired = 'timer-fired',
}

/** Input of a request machine. */
export type DriveEvent =
  | { readonly kind: DriveEventKind.CallerArrived }
  | { readonly kind: DriveEventKind.CallerGone }
  | {
      readonly kind: DriveEventKind.HolderReplied;
      readonly roundId: number;
      readonly from: string;
      readonly reply: HolderReply;
    }
  | {
      /** A holder could not be reached, or its reply is known to be lost. */
      readonly kind: DriveEventKind.HolderFailed;
      readonly roundId: number;
      readonly from: string;
    }
  | { readonly kind: DriveEventKind.MembersChanged }
  | { readonly kind: DriveEventKind.Admitted; readonly askId: number; readonly place: Place }
  | {
      readonly kind: DriveEventKind.AdmissionRefused;
      readonly askId: number;
      readonly reason: string;
      readonly retryAfterMs: number;
    }
  | {
      readonly kind: DriveEventKind.LoneRunReplied;
      readonly askId: number;
      readonly outcome: LoneRunOutcome;
      /** Set if granted: where the attempt may run without any other request. */
      readonly place: Place | null;
      /** Incarnation of the sidecar that the lone run was granted for. */
      readonly sidecarIncarnation: string;
      readonly crashes: number;
      readonly retryAfterMs: number;
    }
  | {
      readonly kind: DriveEventKind.SessionOpened;
      readonly askId: number;
      readonly sessionId: string;
      readonly sequence: number;
    }
  | { readonly kind: DriveEventKind.SessionFailed; readonly askId: number }
  | {
      readonly kind: DriveEventKind.ClaimReplied;
      readonly askId: number;
      readonly outcome: ClaimOutcome;
      /**
       * Set if the outcome is `held`: the attempt that holds the claim, and the hash of its body.
       */
      readonly holder: { readonly attempt: Attempt; readonly bodyHash: string } | null;
      readonly retryAfterMs: number;
    }
  | { readonly kind: DriveEventKind.StreamOpened; readonly connectionId: number }
  | {
      readonly kind: DriveEventKind.StreamTokens;
      readonly connectionId: number;
      /** Index of the first of `tokens` in the complete answer. */
      readonly index: number;
      readonly tokens: readonly string[];
    }
  | {
      readonly kind: DriveEventKind.StreamEnded;
      readonly connectionId: number;
      readonly end: StreamEnd;
    }
  | {
      readonly kind: DriveEventKind.StreamFailed;
      readonly connectionId: number;
      readonly failure: StreamFailure;
    }
  | {
      readonly kind: DriveEventKind.CancelReplied;
      readonly attemptId: string;
      readonly outcome: CancelOutcome;
    }
  | {
      readonly kind: DriveEventKind.TimerFired;
      readonly timer: DriveTimer;
      readonly timerId: number;
    };

/** Kinds of effects of a request machine. */
export enum DriveEffectKind {
  CallHolder = 'call-holder',
  AskAdmission = 'ask-admission',
  AskLoneRun = 'ask-lone-run',
  SettleLoneRun = 'settle-lone-run',
  /** Adds a crash to this process's own table of suspicions without waiting for the ledger. */
  NoteCrash = 'note-crash',
  OpenSession = 'open-session',
  ForgetSession = 'forget-session',
  TakeClaim = 'take-claim',
  Dispatch = 'dispatch',
  Attach = 'attach',
  CloseStream = 'close-stream',
  CancelAttempt = 'cancel-attempt',
  TellTokens = 'tell-tokens',
  TellAnswer = 'tell-answer',
  TellRefusal = 'tell-refusal',
  SetTimer = 'set-timer',
  Emit = 'emit',
}

/** Side effect that the caller of a request machine must execute. */
export type DriveEffect =
  | {
      readonly kind: DriveEffectKind.CallHolder;
      readonly to: string;
      /** Returned in `HolderReplied` and `HolderFailed`. */
      readonly roundId: number;
      readonly call: HolderCall;
    }
  | {
      readonly kind: DriveEffectKind.AskAdmission;
      readonly askId: number;
      /** Targets that failed this request; they are avoided if others can serve it. */
      readonly avoidTargets: readonly string[];
    }
  | {
      readonly kind: DriveEffectKind.AskLoneRun;
      readonly askId: number;
      readonly attemptId: string;
    }
  | {
      readonly kind: DriveEffectKind.SettleLoneRun;
      readonly attemptId: string;
      readonly end: LoneRunEnd;
    }
  | {
      readonly kind: DriveEffectKind.OpenSession;
      readonly askId: number;
      readonly sidecar: string;
      /** Whether to contact the sidecar even if a session is already known. */
      readonly verify: boolean;
    }
  | { readonly kind: DriveEffectKind.NoteCrash; readonly attemptId: string }
  | { readonly kind: DriveEffectKind.ForgetSession; readonly sidecar: string }
  | {
      readonly kind: DriveEffectKind.TakeClaim;
      readonly askId: number;
      readonly attempt: Attempt;
      /** Attempt that holds the claim and is known to never run, or null. */
      readonly replacesId: string | null;
    }
  | {
      readonly kind: DriveEffectKind.Dispatch;
      readonly connectionId: number;
      readonly attempt: Attempt;
      readonly record: RequestRecord;
      readonly continueFrom: readonly string[];
      readonly remainingMs: number;
    }
  | {
      readonly kind: DriveEffectKind.Attach;
      readonly connectionId: number;
      readonly attempt: Attempt;
      readonly record: RequestRecord;
      readonly fromIndex: number;
    }
  | { readonly kind: DriveEffectKind.CloseStream; readonly connectionId: number }
  | { readonly kind: DriveEffectKind.CancelAttempt; readonly attempt: Attempt }
  | {
      readonly kind: DriveEffectKind.TellTokens;
      readonly index: number;
      readonly tokens: readonly string[];
      /** Formatted as `<number of tokens so far>-<hash of them>`. */
      readonly eventId: string;
    }
  | {
      readonly kind: DriveEffectKind.TellAnswer;
      readonly ending: AnswerEnding;
      readonly eventId: string;
    }
  | {
      readonly kind: DriveEffectKind.TellRefusal;
      readonly failure: Failure;
      readonly runState: RunState;
      readonly retryAfterMs: number | null;
    }
  | {
      readonly kind: DriveEffectKind.SetTimer;
      readonly timer: DriveTimer;
      readonly timerId: number;
      readonly afterMs: number;
    }
  | { readonly kind: DriveEffectKind.Emit; readonly event: UnstampedEvent };
