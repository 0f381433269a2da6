/**
 * Retries that cannot feed on themselves. Each service has a token bucket: a first try puts in a
 * fraction of a token, a retry or hedge takes a whole one. Whatever fails, retries are therefore at
 * most that fraction of first tries plus one bucket; back-off with full jitter spreads them.
 */
import type { Random } from '../random/random.js';

/** Bounds of retrying, per service. */
export interface RetryOptions {
  /** Tokens that one first try puts in: the long-run share of retries. */
  readonly ratio: number;
  /** Most tokens in the bucket: the retries that one burst of failures may use. */
  readonly burst: number;
  readonly baseBackOffMs: number;
  readonly maxBackOffMs: number;
  /** Attempts of one request in all, counting the first. */
  readonly maxAttempts: number;
  /** Attempts that a record holds in all, whoever makes them. */
  readonly maxRecordAttempts: number;
}

/** Tenth of first tries; a burst that covers the loss of an ordinary failure; sub-second back-off. */
export const DEFAULT_RETRY_OPTIONS: RetryOptions = {
  ratio: 0.1,
  burst: 50,
  baseBackOffMs: 50,
  maxBackOffMs: 2000,
  maxAttempts: 4,
  maxRecordAttempts: 16,
};

/** The bucket of one service in one entry. */
export interface RetryBudget {
  tokens: number;
}

/** A full bucket. */
export function createRetryBudget(options: RetryOptions): RetryBudget {
  return { tokens: options.burst };
}

/** Counts a first try. */
export function depositFirstTry(budget: RetryBudget, options: RetryOptions): void {
  budget.tokens = Math.min(options.burst, budget.tokens + options.ratio);
}

/** Takes the token of one retry; false when the budget is spent and the retry must not happen. */
export type WithdrawRetry = (budget: RetryBudget) => boolean;

/**
 * Guards against a retry storm. Failure: an overloaded fleet times requests out, entries try each
 * again, and the load multiplies; it shows as more attempts than requests by a factor. The guard
 * holds because a retry needs a whole token and only first tries bring tokens.
 */
export const withdrawRetry: WithdrawRetry = (budget) => {
  if (budget.tokens < 1) return false;
  budget.tokens -= 1;
  return true;
};

/** Time to wait before retry number `retry` (1, 2, …): full jitter under a doubling bound. */
export function backOffMs(retry: number, options: RetryOptions, random: Random): number {
  const bound = Math.min(options.maxBackOffMs, options.baseBackOffMs * 2 ** (retry - 1));
  return Math.ceil(random() * bound);
}

/** Bounds of a wait that doubles with each failure. */
export interface BackOffBounds {
  readonly firstMs: number;
  readonly mostMs: number;
}

/** Doublings after which any sensible bound is reached. */
const MOST_DOUBLINGS = 16;

/**
 * Time to wait after a number of failures in a row: a random part, at least half, of a doubling
 * bound. For one who goes on until it succeeds, where {@link backOffMs} could ask again at once.
 */
export function waitAfterFailuresMs(
  failures: number,
  { firstMs, mostMs }: BackOffBounds,
  random: Random,
): number {
  const doublings = Math.min(MOST_DOUBLINGS, Math.max(0, failures - 1));
  const boundMs = Math.min(mostMs, firstMs * 2 ** doublings);
  return boundMs * (0.5 + random() / 2);
}

/** What decides whether a second copy of a slow request may run beside the first. */
export interface HedgeQuestion {
  readonly repeatable: boolean;
  readonly suspect: boolean;
  readonly tokensReceived: number;
  readonly waitedMs: number;
  /** Wait that 95 in 100 requests of the service stay under. */
  readonly slowAfterMs: number;
}

/**
 * Whether to hedge. Never for a call that may not be repeated nor for a suspect of crashes, and
 * not once tokens came, since the other copy's text could differ.
 */
export function mayHedge(question: HedgeQuestion, budget: RetryBudget): boolean {
  if (!question.repeatable || question.suspect || question.tokensReceived > 0) return false;
  return question.waitedMs > question.slowAfterMs && withdrawRetry(budget);
}
