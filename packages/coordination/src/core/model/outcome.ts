/**
 * Types for the outcome of a request, shared by answers to callers and by records. A rejection
 * always states correctly whether the request ran.
 */

/** Whether a request that was rejected or abandoned has run. */
export enum RunState {
  /** The request was never sent to a target. */
  NotRun = 'not-run',
  /** A target is currently running it. */
  Running = 'running',
  /** It may have run, but no live process knows. */
  Unknown = 'unknown',
  /** It ran to completion. */
  Ran = 'ran',
}

/** Phase of a request's record. */
export enum RecordPhase {
  /** Accepted but not sent to a target yet. */
  Accepted = 'accepted',
  /** Sent to a target. */
  Dispatched = 'dispatched',
  /** The complete answer is known. */
  Answered = 'answered',
  /** The final answer is a typed failure. */
  Failed = 'failed',
}

/** Identifies a request for idempotency. Keys are scoped to their workspace. */
export interface RequestKey {
  readonly workspace: string;
  readonly idempotencyKey: string;
}

/** Serializes a {@link RequestKey} for use as a map key and in placement. */
export function requestKeyText(key: RequestKey): string {
  return JSON.stringify([key.workspace, key.idempotencyKey]);
}
