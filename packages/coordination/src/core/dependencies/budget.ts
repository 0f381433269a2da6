/**
 * Propagates deadlines and retry budgets along service dependencies. An inner call gets the remaining
 * time of its outer call less a reserve, and takes its retries from the outer call's budget. A failure
 * at the bottom is therefore not multiplied by retries at every level above, and no target works on
 * an answer that arrives after the caller's deadline. The retries of a whole process are limited
 * separately, by the token bucket in `retries/`. Budgets contain durations instead of points in time,
 * as the clocks of two VMs differ.
 */
import type { ServiceSpec } from '../model/configuration.js';

/** Remaining time and retries of a call, sent along with it. */
export interface CallBudget {
  /** Time until the answer must have arrived. */
  readonly remainingMs: number;
  /** Retries that the call and all of its inner calls may make together. */
  readonly retriesLeft: number;
}

/** Retries of a whole call tree. Two cover a crash of a target and one of the target tried next. */
export const MAX_RETRIES_PER_REQUEST = 2;

/** Fraction of the remaining time that a call reserves for processing the inner answer. */
export const RESERVE_RATIO = 0.05;

/** Minimum reserve of a call: a round trip between failure domains and some processing. */
export const MIN_RESERVE_MS = 20;

/** Minimum time of an inner call. With less time it is not made, as it could only be cut off. */
export const MIN_CALL_MS = 10;

/**
 * Returns the budget with which an entry accepts a call: the requested one, within the limits of the
 * service.
 *
 * @param requested - Budget that was sent with the call, or null if there was none.
 */
export function acceptBudget(
  service: Pick<ServiceSpec, 'deadlineMs'>,
  requested: Partial<CallBudget> | null,
): CallBudget {
  const requestedMs = requested?.remainingMs ?? service.deadlineMs;
  const requestedRetries = requested?.retriesLeft ?? MAX_RETRIES_PER_REQUEST;
  return {
    remainingMs: Math.max(0, Math.min(service.deadlineMs, requestedMs)),
    retriesLeft: Math.max(0, Math.min(MAX_RETRIES_PER_REQUEST, Math.floor(requestedRetries))),
  };
}

/**
 * Returns the budget to send with an inner call.
 *
 * @param elapsedMs - Time since the outer call was accepted with `budget`.
 * @returns null if too little time remains for an inner call to be useful.
 */
export function deriveInnerBudget(budget: CallBudget, elapsedMs: number): CallBudget | null {
  const remainingMs = budget.remainingMs - Math.max(0, elapsedMs);
  const reserveMs = Math.max(MIN_RESERVE_MS, remainingMs * RESERVE_RATIO);
  const innerMs = Math.floor(remainingMs - reserveMs);
  return innerMs < MIN_CALL_MS ? null : { ...budget, remainingMs: innerMs };
}

/** Takes one retry from the budget. Returns null if none is left. */
export function takeRetry(budget: CallBudget): CallBudget | null {
  if (budget.retriesLeft < 1) return null;
  return { ...budget, retriesLeft: budget.retriesLeft - 1 };
}
