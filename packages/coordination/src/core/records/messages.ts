/**
 * Messages about requests that entries, holders and sidecars exchange. All of them are JSON data.
 */
import type { Failure } from '../failures/failure.js';
import type { Answer, AnswerEnding, Attempt, RequestRecord } from './record.js';

/** Kinds of calls to a holder of a record. */
export enum HolderCallKind {
  /** Creates the record. The first writer wins; later writers receive the existing record. */
  Create = 'record.create',
  /** Adds an attempt to the record before the attempt is dispatched. */
  Note = 'record.note',
  /** Stores the complete answer or the final failure. */
  Finish = 'record.finish',
  /** Merges another copy into the holder's copy. */
  Restore = 'record.restore',
  /** Deletes a record of which no attempt was ever dispatched. */
  Release = 'record.release',
  Read = 'record.read',
}

/** A call to a holder. */
export type HolderCall =
  | { readonly kind: HolderCallKind.Create; readonly record: RequestRecord }
  | {
      readonly kind: HolderCallKind.Note;
      readonly record: RequestRecord;
      readonly attempt: Attempt;
      /**
       * The attempt it follows; the holder rejects the call if its latest attempt is another one.
       */
      readonly previousId: string | null;
    }
  | {
      readonly kind: HolderCallKind.Finish;
      readonly record: RequestRecord;
      readonly answer: Answer | null;
      readonly failure: Failure | null;
    }
  | { readonly kind: HolderCallKind.Restore; readonly record: RequestRecord }
  | {
      readonly kind: HolderCallKind.Release;
      readonly keyText: string;
      readonly creationId: string;
    }
  | { readonly kind: HolderCallKind.Read; readonly keyText: string };

/** Kinds of replies of a holder. */
export enum HolderReplyKind {
  /** The call was applied; `record` is the resulting state. */
  Done = 'done',
  /**
   * The call was not applied because the holder already has another state; `record` is that state.
   */
  Standing = 'standing',
  /** The key is in use for a different body. */
  Conflict = 'conflict',
  /** The holder has no record for the key. */
  Absent = 'absent',
  /** The holder has no room for a new record; retry after `retryAfterMs`. */
  Full = 'full',
}

/** A holder's reply to any call. */
export interface HolderReply {
  readonly kind: HolderReplyKind;
  readonly record: RequestRecord | null;
  readonly retryAfterMs: number;
  /** Time since this holder started with an empty memory, by its own clock. */
  readonly upForMs: number;
}

/** Dispatches an attempt to a sidecar and opens its stream at `attempt.startIndex`. */
export interface DispatchMessage {
  readonly attempt: Attempt;
  /**
   * The record with the attempt. The sidecar needs it to store the result on holders that lost it.
   */
  readonly record: RequestRecord;
  /** Tokens of earlier attempts to continue from; they are already sent or buffered. */
  readonly continueFrom: readonly string[];
  /** The request for the engine or plain service; not interpreted here. */
  readonly payload: unknown;
  readonly remainingMs: number;
}

/** Attaches to a running stream, or to the retained result of an ended one, at a token index. */
export interface AttachMessage {
  readonly attempt: Attempt;
  readonly record: RequestRecord;
  readonly fromIndex: number;
}

/**
 * Requests a session from a sidecar, which returns the existing session of the entry's incarnation.
 */
export interface OpenSessionMessage {
  /** Member id and incarnation of the entry, in one string. */
  readonly entryIncarnation: string;
}

/** Cancels a dispatch unless the sidecar has already received it. */
export interface CancelMessage {
  readonly attempt: Attempt;
}

/** Result of cancelling a dispatch. */
export enum CancelOutcome {
  /** The attempt has not run here and never will: a dispatch that arrives late is rejected. */
  NeverRuns = 'never-runs',
  Started = 'started',
  /** This incarnation does not know the attempt, but an earlier one may have run it. */
  Unknown = 'unknown',
}

/** Why a stream ended without an answer. */
export enum StreamFailureReason {
  /** The connection broke; the stream itself may still be running. */
  ConnectionLost = 'connection-lost',
  /** The dispatch named a session that this incarnation did not issue or has dropped. */
  SessionRequired = 'session-required',
  /** The sequence number of the dispatch is below the session's window. */
  TooOld = 'too-old',
  /** The sidecar does not accept new work at the moment. */
  Busy = 'busy',
  /** The attempt was cancelled before it started. */
  Cancelled = 'cancelled',
  /** Neither this incarnation nor its engine knows the attempt. */
  Lost = 'lost',
  /** The engine failed this stream only. */
  EngineFailed = 'engine-failed',
  /** The engine crashed, which ended all of its streams. */
  EngineCrashed = 'engine-crashed',
  /** The stream was stopped because another target crashed on the same content. */
  Suspected = 'suspected',
  /** The holders have a later attempt or another answer; see `record`. */
  Superseded = 'superseded',
  /** The deadline passed before it started. */
  Expired = 'expired',
}

/** Failure of a stream as reported to the entry. */
export interface StreamFailure {
  readonly reason: StreamFailureReason;
  /** False only if this attempt has not run and never will. */
  readonly mayHaveRun: boolean;
  readonly record: RequestRecord | null;
  readonly retryAfterMs: number;
}

/** The end of a complete stream, sent only after every holder has stored the answer. */
export interface StreamEnd {
  readonly ending: AnswerEnding;
  /** Number of tokens in the complete answer. */
  readonly tokenCount: number;
}

/**
 * State of a lone run, which is an attempt that runs on a target without any other request, as its
 * sidecar reports it. The state is `gone` if the sidecar is dead.
 */
export enum LoneRunStatus {
  Running = 'running',
  /** The run ended without a crash, or will never start. */
  Over = 'over',
  /** The run crashed its engine; the crash report may not have arrived yet. */
  Crashed = 'crashed',
  /** The sidecar is dead or has restarted, so the run may have crashed its target. */
  Gone = 'gone',
}

/**
 * Queries the state of a lone run at its sidecar, and prevents the run if it has not arrived there.
 */
export interface ProbeMessage {
  readonly attemptId: string;
  readonly sidecarIncarnation: string;
}
