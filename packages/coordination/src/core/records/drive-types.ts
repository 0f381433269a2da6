/**
 * Types of the request machine of an entry: its request, its steps, its guards, its memory. One machine drives one delivery, that is one connection of one caller. A caller that
 * comes back, through whichever entry, starts another, which finds the first one's work by the
 * record.
 */
import type { Failure } from '../failures/failure.js';
import type { Hash32 } from '../hashing/hashing.js';
import type { IsConvicted } from '../poison/ledger.js';
import type { Place } from './place.js';
import type { Random } from '../random/random.js';
import type { RetryBudget, RetryOptions, WithdrawRetry } from '../retries/retries.js';
import type { HolderCall, HolderReply } from './messages.js';
import type { Attempt, RequestRecord } from './record.js';

/** Where a caller goes on: the id of the last event that it read. */
export interface ResumePoint {
  /** Number of tokens that it has. */
  readonly index: number;
  /** Hash over these tokens. */
  readonly hash: number;
}

/** What a caller asks. */
export interface DriveRequest {
  readonly keyText: string;
  readonly workspace: string;
  readonly service: string;
  readonly bodyHash: string;
  readonly repeatable: boolean;
  readonly payload: unknown;
  readonly deadlineMs: number;
  readonly resume: ResumePoint | null;
}

/** The step that a machine is at. */
export enum DrivePhase {
  Creating = 'creating',
  AwaitingAdmission = 'awaiting-admission',
  AwaitingLoneRun = 'awaiting-lone-run',
  OpeningSession = 'opening-session',
  Claiming = 'claiming',
  Noting = 'noting',
  Streaming = 'streaming',
  Cancelling = 'cancelling',
  BackingOff = 'backing-off',
  /** Making all holders agree on the answer before it is told. */
  Reconciling = 'reconciling',
  /** Writing the conviction to the holders before it is told. */
  Convicting = 'convicting',
  /** Taking the record back before "not-run" is told. */
  Releasing = 'releasing',
  Done = 'done',
}

/** Timers of a machine; setting one again replaces it. */
export enum DriveTimer {
  Holders = 'holders',
  Reattach = 'reattach',
  BackOff = 'back-off',
  Cancel = 'cancel',
  Deadline = 'deadline',
}

/** How the claim of a call that may not be repeated went. */
export enum ClaimOutcome {
  Granted = 'granted',
  /** Another attempt holds it. */
  Held = 'held',
  /** The key-value service is out. */
  Unavailable = 'unavailable',
}

/** What the policy or the poison ledger says of a suspect. */
export enum LoneRunOutcome {
  Granted = 'granted',
  Convicted = 'convicted',
  /** Another suspect of the service runs, or the key-value service is out. */
  Later = 'later',
}

/** How a lone run ended, for the ledger. */
export enum LoneRunEnd {
  Finished = 'finished',
  Crashed = 'crashed',
  /** Its sidecar was lost, and perhaps its target with it. */
  Lost = 'lost',
  /** It never ran, or failed without a crash. */
  Aborted = 'aborted',
}

/** What this process knows of a content through the ledger's watch. */
export enum Suspicion {
  /** The ledger has not been read since this process started. */
  Unread = 'unread',
  None = 'none',
  Suspect = 'suspect',
  Convicted = 'convicted',
}

/** One question put to all holders of the key. */
export interface HolderRound {
  readonly id: number;
  readonly call: HolderCall;
  /** Latest reply of each member that answered. */
  readonly replies: Map<string, HolderReply>;
  /** Members that were asked and may still answer: not asked again before their repeat is due. */
  readonly underWay: Set<string>;
  /** Members that answered and have not been up for long. */
  readonly young: Set<string>;
}

/** Decides from the replies of a round whether every holder has done what was asked. */
export type AllHoldersDone = (
  replies: ReadonlyMap<string, HolderReply>,
  holders: readonly string[],
) => boolean;
/** Decides whether tokens that come may follow those that are there. */
export type FitsAnswer = (
  known: readonly string[],
  index: number,
  tokens: readonly string[],
) => boolean;
/** Decides whether the text made matches what a returning caller has read. */
export type MatchesResume = (resume: ResumePoint, hashAtIndex: number) => boolean;
/** Decides whether a call that may not be repeated may be dispatched again. */
export type MayRunAgain = (repeatable: boolean, mayHaveRun: boolean) => boolean;

/** Bounds and guards. */
export interface DriveOptions {
  readonly retry: RetryOptions;
  /** Wait before a holder that could not be reached is asked again. */
  readonly holderTimeoutMs: number;
  /** Such waits after which a refusal says `unknown` at the latest. */
  readonly holderRounds: number;
  /** Such waits after which a holder that is silent, though it was reached, is asked once more. */
  readonly holderRepeatRounds: number;
  readonly reattachAfterMs: number;
  /** Times that a stream noted by another entry may be missing at its sidecar before it counts as lost. */
  readonly reattachTries: number;
  readonly cancelTimeoutMs: number;
  /** What a caller is told to wait where nothing better is known. */
  readonly retryAfterMs: number;
  /** Time within which a new member has been handed the records of its keys. */
  readonly settleMs: number;
  /** How long an earlier submission can matter: a holder that is younger proves nothing. */
  readonly absenceHorizonMs: number;
  /** Guards acceptance and dispatch. */
  readonly mayProceed: AllHoldersDone;
  readonly mayTellAnswer: AllHoldersDone;
  readonly fitsAnswer: FitsAnswer;
  readonly matchesResume: MatchesResume;
  readonly mayRunAgain: MayRunAgain;
  readonly withdrawRetry: WithdrawRetry;
  readonly isConvicted: IsConvicted;
}

/** What varies from call to call. */
export interface DriveContext {
  readonly nowMs: number;
  readonly random: Random;
  readonly hash32: Hash32;
  /** Member id of this entry. */
  readonly entryId: string;
  readonly options: DriveOptions;
  readonly budget: RetryBudget;
  /** Present holders of this machine's key, as if the members in `without` were not there. */
  readonly holders: (without?: ReadonlySet<string>) => readonly string[];
  /** Whether a member may be alive: it is not known to be dead, or this entry is too young to know. */
  readonly isLive: (memberId: string) => boolean;
  readonly suspicion: () => Suspicion;
  /** Whether these members' ignorance proves that the request never ran before. */
  readonly provesAbsence: (absentAt: readonly string[]) => boolean;
}

/** What a machine remembers. */
export interface RequestDrive {
  /** Unique over all entries and their restarts; attempts are named after it. */
  readonly id: string;
  readonly request: DriveRequest;
  readonly deadlineAtMs: number;
  phase: DrivePhase;
  /** Everything that is known of the request, joined from all replies. */
  known: RequestRecord;
  round: HolderRound | null;
  /** Waits for the holders of the present round that are over. */
  roundsWaited: number;
  /** Attempt that is prepared, dispatched or attached to. */
  attempt: Attempt | null;
  place: Place | null;
  /** Attempt of whose text `tokens` is known to be the beginning; null for none yet. */
  textAttemptId: string | null;
  /** Incarnation of the sidecar that a lone run was granted for. */
  loneIncarnation: string;
  /** Attempts that are over or out of reach. */
  readonly over: Set<string>;
  /** Of these, the ones that did not and will never run. */
  readonly neverRan: Set<string>;
  /** Members that have been up over the horizon and know of no attempt. */
  readonly absentAt: Set<string>;
  avoidTargets: string[];
  isSuspect: boolean;
  lossCount: number;
  reattachCount: number;
  retryCount: number;
  /** Times that the holders were asked to agree on the answer. */
  reconcileCount: number;
  /** Whether the stream on the present connection was opened. */
  isOpen: boolean;
  readonly tokens: string[];
  /** Hash of the tokens up to each count; entry 0 is of no token. */
  readonly hashes: number[];
  /** Tokens that the caller has. */
  toldCount: number;
  callerPresent: boolean;
  pendingFailure: Failure | null;
  pendingRetryAfterMs: number;
  /** Counts asks, rounds, connections, timers and attempts of this machine. */
  lastId: number;
  askId: number;
  connectionId: number;
  readonly timerIds: Map<DriveTimer, number>;
}
