/**
 * Events that the request machine of an entry handles, and effects that it returns for execution.
 */
import type { UnstampedEvent } from '../events/event.js';
import type { Failure } from '../failures/failure.js';
import type { RunState } from '../model/outcome.js';
import type { ClaimOutcome, RequestTimer, LoneRunEnd, LoneRunOutcome } from './request-types.js';
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
export enum RequestEventKind {
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
export type RequestEvent =
  | { readonly kind: RequestEventKind.CallerArrived }
  | { readonly kind: RequestEventKind.CallerGone }
  | {
      readonly kind: RequestEventKind.HolderReplied;
      readonly roundId: number;
      readonly from: string;
      readonly reply: HolderReply;
    }
  | {
      /** A holder could not be reached, or its reply is known to be lost. */
      readonly kind: RequestEventKind.HolderFailed;
      readonly roundId: number;
      readonly from: string;
    }
  | { readonly kind: RequestEventKind.MembersChanged }
  | { readonly kind: RequestEventKind.Admitted; readonly askId: number; readonly place: Place }
  | {
      readonly kind: RequestEventKind.AdmissionRefused;
      readonly askId: number;
      readonly reason: string;
      readonly retryAfterMs: number;
    }
  | {
      readonly kind: RequestEventKind.LoneRunReplied;
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
      readonly kind: RequestEventKind.SessionOpened;
      readonly askId: number;
      readonly sessionId: string;
      readonly sequence: number;
    }
  | { readonly kind: RequestEventKind.SessionFailed; readonly askId: number }
  | {
      readonly kind: RequestEventKind.ClaimReplied;
      readonly askId: number;
      readonly outcome: ClaimOutcome;
      /**
       * Set if the outcome is `held`: the attempt that holds the claim, and the hash of its body.
       */
      readonly holder: { readonly attempt: Attempt; readonly bodyHash: string } | null;
      readonly retryAfterMs: number;
    }
  | { readonly kind: RequestEventKind.StreamOpened; readonly connectionId: number }
  | {
      readonly kind: RequestEventKind.StreamTokens;
      readonly connectionId: number;
      /** Index of the first of `tokens` in the complete answer. */
      readonly index: number;
      readonly tokens: readonly string[];
    }
  | {
      readonly kind: RequestEventKind.StreamEnded;
      readonly connectionId: number;
      readonly end: StreamEnd;
    }
  | {
      readonly kind: RequestEventKind.StreamFailed;
      readonly connectionId: number;
      readonly failure: StreamFailure;
    }
  | {
      readonly kind: RequestEventKind.CancelReplied;
      readonly attemptId: string;
      readonly outcome: CancelOutcome;
    }
  | {
      readonly kind: RequestEventKind.TimerFired;
      readonly timer: RequestTimer;
      readonly timerId: number;
    };

/** Kinds of effects of a request machine. */
export enum RequestEffectKind {
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
export type RequestEffect =
  | {
      readonly kind: RequestEffectKind.CallHolder;
      readonly to: string;
      /** Returned in `HolderReplied` and `HolderFailed`. */
      readonly roundId: number;
      readonly call: HolderCall;
    }
  | {
      readonly kind: RequestEffectKind.AskAdmission;
      readonly askId: number;
      /** Targets that failed this request; they are avoided if others can serve it. */
      readonly avoidTargets: readonly string[];
    }
  | {
      readonly kind: RequestEffectKind.AskLoneRun;
      readonly askId: number;
      readonly attemptId: string;
    }
  | {
      readonly kind: RequestEffectKind.SettleLoneRun;
      readonly attemptId: string;
      readonly end: LoneRunEnd;
    }
  | {
      readonly kind: RequestEffectKind.OpenSession;
      readonly askId: number;
      readonly sidecar: string;
      /** Whether to contact the sidecar even if a session is already known. */
      readonly verify: boolean;
    }
  | { readonly kind: RequestEffectKind.NoteCrash; readonly attemptId: string }
  | { readonly kind: RequestEffectKind.ForgetSession; readonly sidecar: string }
  | {
      readonly kind: RequestEffectKind.TakeClaim;
      readonly askId: number;
      readonly attempt: Attempt;
      /** Attempt that holds the claim and is known to never run, or null. */
      readonly replacesId: string | null;
    }
  | {
      readonly kind: RequestEffectKind.Dispatch;
      readonly connectionId: number;
      readonly attempt: Attempt;
      readonly record: RequestRecord;
      readonly continueFrom: readonly string[];
      readonly remainingMs: number;
    }
  | {
      readonly kind: RequestEffectKind.Attach;
      readonly connectionId: number;
      readonly attempt: Attempt;
      readonly record: RequestRecord;
      readonly fromIndex: number;
    }
  | { readonly kind: RequestEffectKind.CloseStream; readonly connectionId: number }
  | { readonly kind: RequestEffectKind.CancelAttempt; readonly attempt: Attempt }
  | {
      readonly kind: RequestEffectKind.TellTokens;
      readonly index: number;
      readonly tokens: readonly string[];
      /** Formatted as `<number of tokens so far>-<hash of them>`. */
      readonly eventId: string;
    }
  | {
      readonly kind: RequestEffectKind.TellAnswer;
      readonly ending: AnswerEnding;
      readonly eventId: string;
    }
  | {
      readonly kind: RequestEffectKind.TellRefusal;
      readonly failure: Failure;
      readonly runState: RunState;
      readonly retryAfterMs: number | null;
    }
  | {
      readonly kind: RequestEffectKind.SetTimer;
      readonly timer: RequestTimer;
      readonly timerId: number;
      readonly afterMs: number;
    }
  | { readonly kind: RequestEffectKind.Emit; readonly event: UnstampedEvent };
