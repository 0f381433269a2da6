/** From the request machine's failures to what a caller is told over HTTP. */
import {
  ANSWER_DIVERGED,
  CLAIM_UNAVAILABLE,
  DEADLINE_PASSED,
  type Failure,
  KEY_CONFLICT,
  NOT_ADMITTED,
  OUTCOME_UNKNOWN,
  POISONED_REQUEST,
  RECORDS_FULL,
  RECORDS_UNREACHABLE,
  RunState,
  TRIES_SPENT,
} from '@cassiamast/coordination';
import type { Refusal } from './failures.js';

/** HTTP statuses of the request machine's failures; 503 for any other. */
const STATUS_BY_NAME: ReadonlyMap<string, number> = new Map([
  [KEY_CONFLICT.name, 422],
  [POISONED_REQUEST.name, 422],
  [ANSWER_DIVERGED.name, 409],
  [OUTCOME_UNKNOWN.name, 502],
  [TRIES_SPENT.name, 502],
  [DEADLINE_PASSED.name, 504],
  [NOT_ADMITTED.name, 503],
  [RECORDS_FULL.name, 503],
  [RECORDS_UNREACHABLE.name, 503],
  [CLAIM_UNAVAILABLE.name, 503],
]);

const DEFAULT_STATUS = 503;

/** Failures that the same request will meet again, however often it comes. */
const FINAL_NAMES = new Set([KEY_CONFLICT.name, POISONED_REQUEST.name] as string[]);

/** The refusal of a failure as the machine tells it. */
export function toRefusal(
  failure: Failure,
  runState: RunState,
  retryAfterMs: number | null,
): Refusal {
  const isFinal = FINAL_NAMES.has(failure.name);
  return {
    failure,
    status: STATUS_BY_NAME.get(failure.name) ?? DEFAULT_STATUS,
    runState,
    retryAfterMs: isFinal ? null : retryAfterMs,
  };
}

/** A refusal before anything ran. */
export function refuseNotRun(
  failure: Failure,
  status: number,
  retryAfterMs: number | null = null,
): Refusal {
  return { failure, status, runState: RunState.NotRun, retryAfterMs };
}

/**
 * A refusal before this entry looked at the request. A request that brings its own key may be the
 * resend of one that another entry ran, so "not run" would be a guess; without a key it is new.
 */
export function refuseUnseen(
  failure: Failure,
  status: number,
  retryAfterMs: number | null,
  keyFromCaller: boolean,
): Refusal {
  const runState = keyFromCaller ? RunState.Unknown : RunState.NotRun;
  return { failure, status, runState, retryAfterMs };
}
