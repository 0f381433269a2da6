/**
 * Ordinary bounds of the request machines, with the reason for each, and all guards in place.
 */
import { DEFAULT_AGGREGATOR_OPTIONS } from '../claims/aggregator.js';
import type { ClaimClientOptions } from '../claims/client.js';
import type { PoisonOptions } from '../poison/client-types.js';
import { mayBegin } from '../poison/client.js';
import { isConvicted } from '../poison/ledger.js';
import { DEFAULT_RETRY_OPTIONS, withdrawRetry } from '../retries/retries.js';
import { mayRunAgain } from './drive-attempts.js';
import { fitsAnswer, matchesResume } from './drive-delivery.js';
import { allHoldersDone } from './drive-rounds.js';
import type { DriveOptions } from './drive-types.js';
import type { HolderOptions } from './holder.js';
import { acceptsFinish, acceptsNote } from './holder.js';
import { leavesAlone } from './host-dispatch.js';
import type { HostOptions } from './host-types.js';
import type { RepairOptions } from './repair.js';
import { judgeSequence } from './sessions.js';

/**
 * Holders answer within milliseconds. One that can't be reached is asked every half second, for six
 * seconds: a second longer than membership takes to notice its death. One that is reached and silent
 * is slow; it is asked after two and four seconds more, since a connection may be dead unnoticed.
 */
export const DEFAULT_DRIVE_OPTIONS: DriveOptions = {
  retry: DEFAULT_RETRY_OPTIONS,
  holderTimeoutMs: 500,
  holderRounds: 12,
  holderRepeatRounds: 4,
  reattachAfterMs: 100,
  reattachTries: 10,
  cancelTimeoutMs: 1000,
  retryAfterMs: 1000,
  settleMs: 15_000,
  absenceHorizonMs: 600_000,
  mayProceed: allHoldersDone,
  mayTellAnswer: allHoldersDone,
  fitsAnswer,
  matchesResume,
  mayRunAgain,
  withdrawRetry,
  isConvicted,
};

/**
 * A reply is of use as long as its round waits. Thrown away earlier, it is asked for again, and a
 * holder whose line is longer than the limit answers nobody though it works all the time.
 */
export const HOLDER_CALL_TIMEOUT_MS =
  DEFAULT_DRIVE_OPTIONS.holderTimeoutMs * DEFAULT_DRIVE_OPTIONS.holderRounds;

/** 24 MB leave a member within its 32 MB for control; a fifth is kept for ends. */
export const DEFAULT_HOLDER_OPTIONS: HolderOptions = {
  maxRecords: 20_000,
  maxBytes: 24_000_000,
  createBytesRatio: 0.8,
  answerRetentionMs: 600_000,
  unfinishedRetentionMs: 600_000,
  fullRetryAfterMs: 5000,
  sweepPerTick: 500,
  acceptsFinish,
  acceptsNote,
};

/**
 * 200 records a tick: at ten ticks a second a member's records are restored within seconds. 64 under
 * way to a member keep that pace at answers within 30 ms, and slow down where it is slower.
 */
export const DEFAULT_REPAIR_OPTIONS: RepairOptions = {
  repairsPerTick: 200,
  maxUnderWay: 64,
  resendAfterMs: 1000,
  handoverGraceMs: 30_000,
};

/** One session an entry; the window is far beyond the dispatches that can overtake each other. */
export const DEFAULT_HOST_OPTIONS: HostOptions = {
  sessions: { maxSessions: 1024, windowSize: 4096 },
  maxAttempts: 2000,
  maxBytes: 64_000_000,
  maxAnswerTokens: 65_536,
  maxSuspectedHashes: 1024,
  maxAwaitedLoneRuns: 1024,
  loneRunGraceMs: 3000,
  retentionMs: 60_000,
  holderRetryMs: 500,
  holderRepeatMs: 2000,
  commitPatienceMs: 10_000,
  busyRetryAfterMs: 250,
  judgeSequence,
  mayTellEnd: allHoldersDone,
  leavesAlone,
};

/** Longer than the aggregator's own limit, so that its refusal arrives before this one. */
export const DEFAULT_CLAIM_CLIENT_OPTIONS: ClaimClientOptions = {
  resendAfterMs: 1000,
  giveUpAfterMs: DEFAULT_AGGREGATOR_OPTIONS.giveUpAfterMs + 1000,
  maxPending: 2000,
};

/** Crashes are rare; a report outlives an outage of an hour. */
export const DEFAULT_POISON_OPTIONS: PoisonOptions = {
  maxOperations: 1000,
  retryMs: 500,
  reportForMs: 3_600_000,
  laterMs: 500,
  isConvicted,
  mayBegin,
};
