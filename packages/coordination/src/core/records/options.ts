/**
 * Default limits, timeouts and decision functions of the request state machines.
 */
import { DEFAULT_AGGREGATOR_OPTIONS } from '../claims/aggregator.js';
import type { ClaimClientOptions } from '../claims/claim-client.js';
import type { PoisonOptions } from '../poison/poison-client-types.js';
import { allowOneLoneRun } from '../poison/poison-client.js';
import { isConvicted } from '../poison/ledger.js';
import { DEFAULT_RETRY_OPTIONS, withdrawRetry } from '../retries/retries.js';
import { mayRunAgain } from './request-attempts.js';
import { fitsAnswer, matchesResume } from './request-delivery.js';
import { allHoldersDone } from './request-rounds.js';
import type { RequestMachineOptions } from './request-types.js';
import type { HolderOptions } from './holder.js';
import { acceptsFinish, acceptsNote } from './holder.js';
import { mayStartBeside } from './host-dispatch.js';
import type { HostOptions } from './host-types.js';
import type { RepairOptions } from './repair.js';
import { judgeSequence } from './sessions.js';

/**
 * Holders normally reply within milliseconds. An unreachable holder is called again every half
 * second for six seconds, which is one second longer than membership needs to detect its death. A
 * holder that is reachable but does not reply is slow; it is called again after two and after four
 * seconds, in case its connection is dead without a visible error.
 */
export const DEFAULT_REQUEST_MACHINE_OPTIONS: RequestMachineOptions = {
  retry: DEFAULT_RETRY_OPTIONS,
  holderWaitMs: 500,
  maxHolderWaits: 12,
  waitsPerHolderRepeat: 4,
  reattachAfterMs: 100,
  maxReattachTries: 10,
  cancelTimeoutMs: 1000,
  retryAfterMs: 1000,
  settleMs: 15_000,
  absenceHorizonMs: 600_000,
  mayProceed: allHoldersDone,
  mayDeliverAnswer: allHoldersDone,
  fitsAnswer,
  matchesResume,
  mayRunAgain,
  withdrawRetry,
  isConvicted,
};

/**
 * Timeout of a call to a holder: as long as its round waits, because a reply is useful until then.
 * With a shorter timeout the call would be repeated, and a holder whose queue is longer than the
 * timeout would be busy all the time without answering any caller.
 */
export const HOLDER_CALL_TIMEOUT_MS =
  DEFAULT_REQUEST_MACHINE_OPTIONS.holderWaitMs * DEFAULT_REQUEST_MACHINE_OPTIONS.maxHolderWaits;

/**
 * 24 MB for records keep a member within its 32 MB for control data. A fifth of it is reserved for
 * answers and failures of requests that were already accepted.
 */
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
 * At 200 records per tick and ten ticks per second, the records of a member are restored within
 * seconds. At most 64 unanswered calls per member sustain that rate if replies take up to 30 ms,
 * and reduce it if the member is slower.
 */
export const DEFAULT_REPAIR_OPTIONS: RepairOptions = {
  repairsPerTick: 200,
  maxInFlightPerMember: 64,
  resendAfterMs: 1000,
  handoverGraceMs: 30_000,
};

/** One session per entry; the window is far larger than the reordering of dispatches can get. */
export const DEFAULT_HOST_OPTIONS: HostOptions = {
  sessions: { maxSessions: 1024, windowSize: 4096 },
  maxAttempts: 2000,
  maxBytes: 64_000_000,
  maxAnswerTokens: 65_536,
  maxSuspectedHashes: 1024,
  maxProbedLoneRuns: 1024,
  loneRunGraceMs: 3000,
  retentionMs: 60_000,
  holderRetryMs: 500,
  holderRepeatMs: 2000,
  commitTimeoutMs: 10_000,
  busyRetryAfterMs: 250,
  judgeSequence,
  mayReportEnd: allHoldersDone,
  mayStartBeside,
};

/** Gives up later than the aggregator, so the aggregator's refusal arrives before this timeout. */
export const DEFAULT_CLAIM_CLIENT_OPTIONS: ClaimClientOptions = {
  resendAfterMs: 1000,
  giveUpAfterMs: DEFAULT_AGGREGATOR_OPTIONS.giveUpAfterMs + 1000,
  maxPending: 2000,
};

/** Crashes are rare; a crash report is retried long enough to survive an outage of one hour. */
export const DEFAULT_POISON_OPTIONS: PoisonOptions = {
  maxOperations: 1000,
  retryMs: 500,
  reportRetryWindowMs: 3_600_000,
  loneRunRetryMs: 500,
  isConvicted,
  mayBeginLoneRun: allowOneLoneRun,
};
