/**
 * Retry budgets and backoff. Each service has a token bucket: a first attempt adds a fraction of a
 * token, and a retry or hedge takes a whole token. Retries are therefore limited to that fraction
 * of the first attempts plus one bucket, even if everything fails. Backoff with full jitter spreads
 * them over time.
 */
import type { Random } from '../random/random.js';

/** Limits of retries for one service. */
export interface RetryOptions {
  /** Tokens added by one first attempt, which is the long-term ratio of retries. */
  readonly ratio: number;
  /** Capacity of the bucket, which is the number of retries that a burst of failures may use. */
  readonly burst: number;
  readonly baseBackOffMs: number;
  readonly maxBackOffMs: number;
  /** Maximum attempts of one request, including the first. */
  readonly maxAttempts: number;
  /** Maximum attempts that the record of a request holds, by any entry. */
  readonly maxRecordAttempts: number;
}

/**
 * Default limits: retries for a tenth of the first attempts, a burst that covers the losses of an
 * ordinary failure, and a base backoff well below a second.
 */
export const DEFAULT_RETRY_OPTIONS: RetryOptions = {
  ratio: 0.1,
  burst: 50,
  baseBackOffMs: 50,
  maxBackOffMs: 2000,
  maxAttempts: 4,
  maxRecordAttempts: 16,
};

/** The token bucket of one service in one entry. */
export interface RetryBudget {
  tokens: number;
}

/**
 * Creates a bucket with the retries of one request. A full bucket would allow another burst at each
 * restart of an entry.
 */
export function createRetryBudget({ burst, maxAttempts }: RetryOptions): RetryBudget {
  return { tokens: Math.min(burst, maxAttempts - 1) };
}

/** Adds the tokens of a first attempt. */
export function depositFirstAttempt(budget: RetryBudget, options: RetryOptions): void {
  budget.tokens = Math.min(options.burst, budget.tokens + options.ratio);
}

/** Takes the token of one retry. Returns false if the budget is exhausted: do not retry then. */
export type WithdrawRetry = (budget: RetryBudget) => boolean;

/**
 * Takes the token of one retry, which prevents retry storms. Without a budget, requests that time
 * out in an overloaded fleet are all retried and the load multiplies. The budget limits this
 * because a retry needs a whole token and only first attempts add tokens.
 */
export const withdrawRetry: WithdrawRetry = (budget) => {
  if (budget.tokens < 1) return false;
  budget.tokens -= 1;
  return true;
};

/** Returns the wait before retry number `retry` (1, 2, …): full jitter under a doubling bound. */
export function backOffMs(retry: number, options: RetryOptions, random: Random): number {
  const boundMs = Math.min(options.maxBackOffMs, options.baseBackOffMs * 2 ** (retry - 1));
  return Math.ceil(random() * boundMs);
}

/** Limits of a wait that doubles with each failure. */
export interface BackOffBounds {
  readonly initialMs: number;
  readonly maxMs: number;
}

/** Maximum number of doublings; any sensible limit is reached earlier. */
const MAX_DOUBLINGS = 16;

/**
 * Returns the wait after a number of consecutive failures: a random part, at least half, of a
 * doubling bound. Intended for callers that retry until they succeed; {@link backOffMs} could let
 * them retry at once.
 */
export function waitAfterFailuresMs(
  failures: number,
  { initialMs, maxMs }: BackOffBounds,
  random: Random,
): number {
  const doublings = Math.min(MAX_DOUBLINGS, Math.max(0, failures - 1));
  const boundMs = Math.min(maxMs, initialMs * 2 ** doublings);
  return boundMs * (0.5 + random() / 2);
}

/** A slow request that may be hedged, which means to run a second copy beside the first. */
export interface HedgeCandidate {
  readonly repeatable: boolean;
  readonly suspect: boolean;
  readonly tokensReceived: number;
  readonly waitedMs: number;
  /** The 95th percentile of the service's wait, in milliseconds. */
  readonly slowAfterMs: number;
}

/**
 * Returns whether to hedge a slow request, and takes a retry token if so. Requests that may not be
 * repeated or are suspected of crashing engines are never hedged, nor are requests that have
 * received tokens, because the text of the second copy could differ.
 */
export function mayHedge(candidate: HedgeCandidate, budget: RetryBudget): boolean {
  if (!candidate.repeatable || candidate.suspect || candidate.tokensReceived > 0) return false;
  return candidate.waitedMs > candidate.slowAfterMs && withdrawRetry(budget);
}
