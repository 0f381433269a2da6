/**
 * What the request machine of an entry is told, and what it asks to be done.
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

/** What a machine is told. */
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

/** One thing that a machine is told. */
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
      /** A holder could not be reached, or its answer is lost for certain. */
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
      /** With a grant: where it may run, with nothing beside it. */
      readonly place: Place | null;
      /** Incarnation of the place's sidecar that the lone run is written for. */
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
      /** With `held`: the attempt that holds the claim, and its body's hash. */
      readonly holder: { readonly attempt: Attempt; readonly bodyHash: string } | null;
      readonly retryAfterMs: number;
    }
  | { readonly kind: DriveEventKind.StreamOpened; readonly connectionId: number }
  | {
      readonly kind: DriveEventKind.StreamTokens;
      readonly connectionId: number;
      /** Position of the first of `tokens` in the whole answer. */
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

/** What a machine asks to be done. */
export enum DriveEffectKind {
  CallHolder = 'call-holder',
  AskAdmission = 'ask-admission',
  AskLoneRun = 'ask-lone-run',
  SettleLoneRun = 'settle-lone-run',
  /** Put a crash into this process's own table of suspicions at once. */
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

/** One thing to be done. */
export type DriveEffect =
  | {
      readonly kind: DriveEffectKind.CallHolder;
      readonly to: string;
      /** Comes back in `HolderReplied`. */
      readonly roundId: number;
      readonly call: HolderCall;
    }
  | {
      readonly kind: DriveEffectKind.AskAdmission;
      readonly askId: number;
      /** Targets that failed this request; to be avoided where others serve. */
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
      /** True: ask the sidecar even when a session is at hand. */
      readonly verify: boolean;
    }
  | { readonly kind: DriveEffectKind.NoteCrash; readonly attemptId: string }
  | { readonly kind: DriveEffectKind.ForgetSession; readonly sidecar: string }
  | {
      readonly kind: DriveEffectKind.TakeClaim;
      readonly askId: number;
      readonly attempt: Attempt;
      /** Attempt that holds the claim and is known never to run, or null. */
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
      /** `<number of tokens so far>-<hash of them>`. */
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
