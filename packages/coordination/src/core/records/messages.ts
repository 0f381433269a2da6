/**
 * What entries, holders and sidecars say to each other about requests. JSON data throughout.
 */
import type { Failure } from '../failures/failure.js';
import type { Answer, AnswerEnding, Attempt, RequestRecord } from './record.js';

/** Calls to a holder of a record. */
export enum HolderCallKind {
  /** First writer wins; the existing record comes back to all others. */
  Create = 'record.create',
  /** Notes an attempt before it is dispatched. */
  Note = 'record.note',
  /** Brings the whole answer, or the final failure. */
  Finish = 'record.finish',
  /** Joins another copy into this one. */
  Restore = 'record.restore',
  /** Takes back a record of which nothing was ever dispatched. */
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
      /** The attempt that it follows; the holder refuses when it knows another one. */
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

/** How a holder answers. */
export enum HolderReplyKind {
  /** Done as asked; `record` is the state after it. */
  Done = 'done',
  /** Not done since another state stands; `record` is that state. */
  Standing = 'standing',
  /** The key is in use with another body. */
  Conflict = 'conflict',
  /** Nothing is known of the key. */
  Absent = 'absent',
  /** No room for a new record; come back after `retryAfterMs`. */
  Full = 'full',
}

/** A holder's answer to any call. */
export interface HolderReply {
  readonly kind: HolderReplyKind;
  readonly record: RequestRecord | null;
  readonly retryAfterMs: number;
  /** For how long this holder has kept its memory, by its own clock. */
  readonly upForMs: number;
}

/** Hands an attempt to a sidecar; opens its stream from `attempt.startIndex`. */
export interface DispatchMessage {
  readonly attempt: Attempt;
  /** The record as noted, from which the sidecar writes the finish even to holders that lost it. */
  readonly record: RequestRecord;
  /** Tokens of earlier attempts, to go on from; they count as sent or buffered. */
  readonly continueFrom: readonly string[];
  /** The request for the engine or plain service; opaque to the decisions. */
  readonly payload: unknown;
  readonly remainingMs: number;
}

/** Joins a stream that runs, or its kept end, from a token index. */
export interface AttachMessage {
  readonly attempt: Attempt;
  readonly record: RequestRecord;
  readonly fromIndex: number;
}

/** Asks a sidecar for a session; the one that the entry's incarnation has already comes back. */
export interface OpenSessionMessage {
  /** Member id and incarnation of the entry, as one text. */
  readonly entryIncarnation: string;
}

/** Takes a dispatch back unless the sidecar received it already. */
export interface CancelMessage {
  readonly attempt: Attempt;
}

/** What taking back came to. */
export enum CancelOutcome {
  /** It did not and will not run here: a late dispatch will be refused. */
  NeverRuns = 'never-runs',
  Started = 'started',
  /** Not known to this incarnation, and an earlier one may have run it. */
  Unknown = 'unknown',
}

/** Why a stream ended without an answer. */
export enum StreamFailureReason {
  /** The connection broke; the stream itself may run on. */
  ConnectionLost = 'connection-lost',
  /** The dispatch named a session that this incarnation did not give or has dropped. */
  SessionRequired = 'session-required',
  /** This dispatch is older than the session's window. */
  TooOld = 'too-old',
  /** The sidecar takes no new work now. */
  Busy = 'busy',
  /** Taken back before it started. */
  Cancelled = 'cancelled',
  /** This incarnation knows no such attempt and its engine has no such stream. */
  Lost = 'lost',
  /** The engine failed this stream, alone. */
  EngineFailed = 'engine-failed',
  /** The engine crashed with everything that it ran. */
  EngineCrashed = 'engine-crashed',
  /** Stopped since another target crashed on the same content. */
  Suspected = 'suspected',
  /** A later attempt or another answer stands at the holders: see `record`. */
  Superseded = 'superseded',
  /** The deadline passed before it started. */
  Expired = 'expired',
}

/** A failed stream as the entry sees it. */
export interface StreamFailure {
  readonly reason: StreamFailureReason;
  /** False only when this attempt did not and will never run. */
  readonly mayHaveRun: boolean;
  readonly record: RequestRecord | null;
  readonly retryAfterMs: number;
}

/** The whole end of a stream, told only once every holder has it. */
export interface StreamEnd {
  readonly ending: AnswerEnding;
  /** Number of tokens in the whole answer. */
  readonly tokenCount: number;
}

/** What a sidecar says of a lone run when asked; a dead one says `gone`. */
export enum LoneProbe {
  Running = 'running',
  /** Over without a crash; or it will never begin. */
  Over = 'over',
  /** It crashed its engine; the report may still be under way. */
  Crashed = 'crashed',
  /** The sidecar is dead or restarted: it may have crashed its target. */
  Gone = 'gone',
}

/** Asks a sidecar what became of a lone run, and forbids it if it has not come. */
export interface ProbeMessage {
  readonly attemptId: string;
  readonly sidecarIncarnation: string;
}
