/**
 * Types of the request state machine of an entry: its request, phases, timers, options and state.
 * One machine serves one connection of one caller. A caller that reconnects, through the same or
 * another entry, starts a new machine, which finds the work of the first one through the record.
 */
import type { Failure } from '../failures/failure.js';
import type { Hash32 } from '../hashing/hashing.js';
import type { IsConvicted } from '../poison/ledger.js';
import type { Place } from './place.js';
import type { Random } from '../random/random.js';
import type { RetryBudget, RetryOptions, WithdrawRetry } from '../retries/retries.js';
import type { HolderCall, HolderReply } from './messages.js';
import type { Attempt, RequestRecord } from './record.js';

/** Position at which a caller resumes, parsed from the id of the last event that it received. */
export interface ResumePoint {
  /** Number of tokens that the caller has received. */
  readonly index: number;
  /** Hash of these tokens. */
  readonly hash: number;
}

/** The request of a caller. */
export interface CallerRequest {
  readonly keyText: string;
  readonly workspace: string;
  readonly service: string;
  readonly bodyHash: string;
  readonly repeatable: boolean;
  readonly payload: unknown;
  readonly deadlineMs: number;
  readonly resume: ResumePoint | null;
}

/** Phases of a request machine. */
export enum RequestPhase {
  Creating = 'creating',
  AwaitingAdmission = 'awaiting-admission',
  AwaitingLoneRun = 'awaiting-lone-run',
  OpeningSession = 'opening-session',
  Claiming = 'claiming',
  Noting = 'noting',
  Streaming = 'streaming',
  Cancelling = 'cancelling',
  BackingOff = 'backing-off',
  /** Replicating and committing the answer on all holders before it is sent to the caller. */
  Reconciling = 'reconciling',
  /** Storing the conviction on the holders before it is sent to the caller. */
  Convicting = 'convicting',
  /** Deleting the record from the holders before the caller is answered with "not-run". */
  Releasing = 'releasing',
  Done = 'done',
}

/** Timers of a machine. Setting a timer replaces the pending one of the same kind. */
export enum RequestTimer {
  Holders = 'holders',
  Reattach = 'reattach',
  BackOff = 'back-off',
  Cancel = 'cancel',
  Deadline = 'deadline',
}

/** Result of claiming a call that may not be repeated. */
export enum ClaimOutcome {
  Granted = 'granted',
  /** Another attempt holds the claim. */
  Held = 'held',
  /** The key-value service is unavailable. */
  Unavailable = 'unavailable',
}

/** Result of requesting a lone run for a request that is suspected of crashing engines. */
export enum LoneRunOutcome {
  Granted = 'granted',
  Convicted = 'convicted',
  /** Another suspect of the service is running, or the key-value service is unavailable. */
  Later = 'later',
}

/** How a lone run ended, as reported to the poison ledger. */
export enum LoneRunEnd {
  Finished = 'finished',
  Crashed = 'crashed',
  /** The sidecar was lost, possibly together with its target. */
  Lost = 'lost',
  /** The attempt never ran, or failed without a crash. */
  Aborted = 'aborted',
}

/** Status of a content in the copy of the poison ledger that this process watches. */
export enum Suspicion {
  /** The ledger has not been read since this process started. */
  Unread = 'unread',
  None = 'none',
  Suspect = 'suspect',
  Convicted = 'convicted',
}

/** A round: one call that is sent to all holders of the key, and their replies. */
export interface HolderRound {
  readonly id: number;
  readonly call: HolderCall;
  /** Latest reply of each member that has replied. */
  readonly replies: Map<string, HolderReply>;
  /** Members that may still reply; they are not called again before the next repeat is due. */
  readonly pending: Set<string>;
  /** Members that replied and have started recently. */
  readonly recentlyStarted: Set<string>;
}

/** Decides from the replies of a round whether every holder has applied the call. */
export type AllHoldersDone = (
  replies: ReadonlyMap<string, HolderReply>,
  holders: readonly string[],
) => boolean;
/** Decides whether received tokens are consistent with the known ones and continue them. */
export type FitsAnswer = (
  known: readonly string[],
  index: number,
  tokens: readonly string[],
) => boolean;
/** Decides whether the generated text matches the text that a resuming caller has received. */
export type MatchesResume = (resume: ResumePoint, hashAtIndex: number) => boolean;
/** Decides whether a call may be dispatched again after an attempt that may have run. */
export type MayRunAgain = (repeatable: boolean, mayHaveRun: boolean) => boolean;

/** Limits, timeouts and decision functions of a request machine. */
export interface RequestMachineOptions {
  readonly retry: RetryOptions;
  /** Wait before an unreachable holder is called again. */
  readonly holderWaitMs: number;
  /** Number of these waits after which the machine gives up with the run state `unknown`. */
  readonly maxHolderWaits: number;
  /** Number of these waits after which a reachable holder that has not replied is called again. */
  readonly waitsPerHolderRepeat: number;
  readonly reattachAfterMs: number;
  /**
   * Number of times that a stream dispatched by another entry may be missing at its sidecar before
   * it counts as lost.
   */
  readonly maxReattachTries: number;
  readonly cancelTimeoutMs: number;
  /** Retry delay that is sent to a caller if no better estimate is available. */
  readonly retryAfterMs: number;
  /** Time within which a new member receives the records of its keys from other members. */
  readonly settleMs: number;
  /**
   * How long an earlier submission can matter. A holder that has been up for less time may have
   * lost its record, so its lack of a record proves nothing.
   */
  readonly absenceHorizonMs: number;
  /** Decides whether a request may be accepted or an attempt dispatched. */
  readonly mayProceed: AllHoldersDone;
  readonly mayDeliverAnswer: AllHoldersDone;
  readonly fitsAnswer: FitsAnswer;
  readonly matchesResume: MatchesResume;
  readonly mayRunAgain: MayRunAgain;
  readonly withdrawRetry: WithdrawRetry;
  readonly isConvicted: IsConvicted;
}

/** Inputs that may differ between calls of the machine. */
export interface RequestContext {
  readonly nowMs: number;
  readonly random: Random;
  readonly hash32: Hash32;
  /** Member id of this entry. */
  readonly entryId: string;
  readonly options: RequestMachineOptions;
  readonly budget: RetryBudget;
  /**
   * Returns the current holders of the request's key, computed without the members in `without`.
   */
  readonly holders: (without?: ReadonlySet<string>) => readonly string[];
  /**
   * Whether a member may be alive: not known to be dead, or this entry has started too recently to
   * know.
   */
  readonly isLive: (memberId: string) => boolean;
  readonly suspicion: () => Suspicion;
  /** Whether the lack of attempts at these members proves that the request never ran before. */
  readonly provesAbsence: (absentAt: readonly string[]) => boolean;
}

/** State of a request machine. */
export interface RequestMachine {
  /** Unique across all entries and their restarts; it is the prefix of attempt ids. */
  readonly id: string;
  readonly request: CallerRequest;
  readonly deadlineAtMs: number;
  phase: RequestPhase;
  /** State of the request, merged from all replies. */
  known: RequestRecord;
  round: HolderRound | null;
  /** Number of completed waits for the holders of the current round. */
  roundsWaited: number;
  /** Attempt that is being prepared, is dispatched, or is attached to. */
  attempt: Attempt | null;
  place: Place | null;
  /** Attempt whose text is known to start with `tokens`, or null if there is none yet. */
  textAttemptId: string | null;
  /** Incarnation of the sidecar that a lone run was granted for. */
  loneRunIncarnation: string;
  /** Ids of attempts that have ended or whose sidecar is unreachable. */
  readonly over: Set<string>;
  /** Ids of those that have not run and never will. */
  readonly neverRan: Set<string>;
  /** Members that have been up for at least `absenceHorizonMs` and have no attempt on record. */
  readonly absentAt: Set<string>;
  avoidTargets: string[];
  isSuspect: boolean;
  lossCount: number;
  reattachCount: number;
  retryCount: number;
  /** Number of rounds used to make the holders agree on the answer. */
  reconcileCount: number;
  /** Whether the stream on the current connection has been opened. */
  isOpen: boolean;
  readonly tokens: string[];
  /** Hash of the first n tokens at each index n; index 0 is the hash of the empty text. */
  readonly hashes: number[];
  /** Number of tokens sent to the caller, on this connection or before it resumed. */
  sentCount: number;
  callerPresent: boolean;
  pendingFailure: Failure | null;
  pendingRetryAfterMs: number;
  /** Last id issued to a query, round, connection, timer or attempt of this machine. */
  lastId: number;
  askId: number;
  connectionId: number;
  readonly timerIds: Map<RequestTimer, number>;
}
