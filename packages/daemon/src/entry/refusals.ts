/** Converts failures of the request state machine to HTTP refusals. */
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

/** HTTP status of each state machine failure; other failures use {@link DEFAULT_STATUS}. */
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

/** Permanent failures: retrying the same request always fails again. */
const PERMANENT_FAILURE_NAMES = new Set([KEY_CONFLICT.name, POISONED_REQUEST.name] as string[]);

/** Converts a failure of the request state machine to a refusal. */
export function toRefusal(
  failure: Failure,
  runState: RunState,
  retryAfterMs: number | null,
): Refusal {
  const isPermanent = PERMANENT_FAILURE_NAMES.has(failure.name);
  return {
    failure,
    status: STATUS_BY_NAME.get(failure.name) ?? DEFAULT_STATUS,
    runState,
    retryAfterMs: isPermanent ? null : retryAfterMs,
  };
}

/** Creates a refusal of a request that has not run. */
export function refuseNotRun(
  failure: Failure,
  status: number,
  retryAfterMs: number | null = null,
): Refusal {
  return { failure, status, runState: RunState.NotRun, retryAfterMs };
}

/**
 * Creates a refusal of a request whose record was not looked up. A request with a caller's key may
 * be a retry of one that ran at another entry, so its run state is unknown. A request without a key
 * is new and has not run.
 */
export function refuseWithoutLookup(
  failure: Failure,
  status: number,
  retryAfterMs: number | null,
  keyFromCaller: boolean,
): Refusal {
  const runState = keyFromCaller ? RunState.Unknown : RunState.NotRun;
  return { failure, status, runState, retryAfterMs };
}
