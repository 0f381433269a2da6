/**
 * Deadlines and retries that flow down the dependencies. An inner call gets what is left of its
 * outer call's deadline less a reserve, and draws its retries from the outer call's allowance; so a
 * failure deep down is not multiplied by every level above it, and no target works on an answer that
 * nobody will wait for. How many retries a whole process may make is the bucket of `retries/`.
 * Budgets hold durations, not instants, as the clocks of two VMs differ.
 */
import type { ServiceSpec } from '../model/configuration.js';

/** What a call may still spend; passed on with it. */
export interface CallBudget {
  /** Time until the answer must be there. */
  readonly remainingMs: number;
  /** Second tries that the call and everything below it may make together. */
  readonly retriesLeft: number;
}

/** Second tries of a whole call tree; two outlive one crash of a target and one of its successor. */
export const MAX_RETRIES_PER_REQUEST = 2;

/** Share of the remaining time that a call keeps to use the inner answer. */
export const RESERVE_RATIO = 0.05;

/** The least that a call keeps: a round trip between failure domains and some work. */
export const MIN_RESERVE_MS = 20;

/** An inner call with less time than this is not made: it could only be cut. */
export const MIN_CALL_MS = 10;

/**
 * The budget with which an entry accepts a call: what was asked for, within the service's own
 * bounds.
 *
 * @param asked the budget that came with the call; null when the caller named none.
 */
export function acceptBudget(
  service: Pick<ServiceSpec, 'deadlineMs'>,
  asked: Partial<CallBudget> | null,
): CallBudget {
  const askedMs = asked?.remainingMs ?? service.deadlineMs;
  const askedRetries = asked?.retriesLeft ?? MAX_RETRIES_PER_REQUEST;
  return {
    remainingMs: Math.max(0, Math.min(service.deadlineMs, askedMs)),
    retriesLeft: Math.max(0, Math.min(MAX_RETRIES_PER_REQUEST, Math.floor(askedRetries))),
  };
}

/**
 * The budget to pass on with an inner call.
 *
 * @param elapsedMs time since the call was accepted with this budget.
 * @returns null when too little is left for the call to be of use.
 */
export function passOnBudget(budget: CallBudget, elapsedMs: number): CallBudget | null {
  const remainingMs = budget.remainingMs - Math.max(0, elapsedMs);
  const reserveMs = Math.max(MIN_RESERVE_MS, remainingMs * RESERVE_RATIO);
  const passedMs = Math.floor(remainingMs - reserveMs);
  return passedMs < MIN_CALL_MS ? null : { ...budget, remainingMs: passedMs };
}

/** Takes one second try from the budget; null when none is left. */
export function takeRetry(budget: CallBudget): CallBudget | null {
  if (budget.retriesLeft < 1) return null;
  return { ...budget, retriesLeft: budget.retriesLeft - 1 };
}
