/**
 * What became of a request, in the words that callers and records use. A refusal says truly whether
 * the request ran.
 */

/** Whether work was done for a request that is refused or given up. */
export enum RunState {
  /** No target was ever handed the request. */
  NotRun = 'not-run',
  /** A target is working on it now. */
  Running = 'running',
  /** It may have run; nobody left alive can say. */
  Unknown = 'unknown',
  /** It ran to its end. */
  Ran = 'ran',
}

/** The life of a request's record. */
export enum RecordPhase {
  /** Accepted, not handed to a target yet. */
  Accepted = 'accepted',
  /** Handed to a target. */
  Dispatched = 'dispatched',
  /** Whole answer is known. */
  Answered = 'answered',
  /** Final answer is a typed failure. */
  Failed = 'failed',
}

/** Identifies a request for idempotency: the same key in another workspace is another request. */
export interface RequestKey {
  readonly workspace: string;
  readonly idempotencyKey: string;
}

/** One text that stands for a {@link RequestKey} in maps and placement. */
export function requestKeyText(key: RequestKey): string {
  return JSON.stringify([key.workspace, key.idempotencyKey]);
}
