/**
 * Stores the replicas of request records that a member holds. Calls are idempotent, so a caller can
 * resend one whose reply was lost. The table never evicts an unfinished record before it expires:
 * when it is full it refuses new requests, and it reserves room for the results of accepted ones.
 */
import { RecordPhase } from '../model/outcome.js';
import { HolderCallKind, HolderReplyKind } from './messages.js';
import type { HolderCall, HolderReply } from './messages.js';
import {
  compareAttempts,
  coversRecord,
  currentAttempt,
  isFinal,
  joinRecords,
  phaseOf,
} from './record.js';
import type { Answer, Attempt, RequestRecord } from './record.js';

/** Decides whether an answer may be stored as the answer of a record. */
export type AcceptsFinish = (record: RequestRecord, answer: Answer) => boolean;
/** Decides whether an attempt may be noted after the previous attempt that its entry names. */
export type AcceptsNote = (
  record: RequestRecord,
  attempt: Attempt,
  previousId: string | null,
) => boolean;

/** Limits of a holder's table, and the rules by which it accepts changes. */
export interface HolderOptions {
  readonly maxRecords: number;
  /** Limit of the estimated total size of all records. */
  readonly maxBytes: number;
  /** Fraction of `maxBytes` that new records may fill; the rest is reserved for results. */
  readonly createBytesRatio: number;
  readonly answerRetentionMs: number;
  /** How long an unfinished record is kept after its deadline. */
  readonly unfinishedRetentionMs: number;
  /** Retry delay that is returned to a caller when the table is full. */
  readonly fullRetryAfterMs: number;
  /** Number of records checked for expiry per tick. */
  readonly sweepPerTick: number;
  readonly acceptsFinish: AcceptsFinish;
  readonly acceptsNote: AcceptsNote;
}

/** A stored record with its times on this member's clock. */
export interface HeldRecord {
  record: RequestRecord;
  /** When `record` was stored; the age of its answer is counted from this time. */
  storedAtMs: number;
  deadlineAtMs: number;
  expiresAtMs: number;
  sizeBytes: number;
  /** Other holders that acknowledged this version of `record`; null for none. Reset on change. */
  acknowledgedBy: Set<string> | null;
}

/** The records of a holder. */
export interface HolderState {
  readonly startedAtMs: number;
  readonly records: Map<string, HeldRecord>;
  totalBytes: number;
  /** Keys that the current expiry sweep has not checked yet. */
  sweep: string[];
}

/** A reply to which the uptime of the member has not been added yet. */
type UntimedReply = Omit<HolderReply, 'upForMs'>;

/** Estimated size of a record without its tokens: keys, hashes and two attempts. */
const RECORD_BASE_BYTES = 600;
const ATTEMPT_BYTES = 300;
/** Estimated overhead of a short string in an array. */
const TOKEN_BASE_BYTES = 24;

/**
 * Accepts an answer unless a later attempt has replaced the one that produced it. Without this
 * rule, a target that was paused and finishes after its attempt was replaced would store a second
 * answer, and a retry would return another text than the caller received. The later attempt is
 * known here because an attempt is noted at the holders before it is dispatched.
 */
export const acceptsFinish: AcceptsFinish = (record, answer) => {
  const current = currentAttempt(record);
  return current === null || current.id === answer.attemptId || !follows(current, answer);
};

function follows(attempt: Attempt, answer: Answer): boolean {
  if (attempt.number !== answer.attemptNumber) return attempt.number > answer.attemptNumber;
  return attempt.id < answer.attemptId;
}

/**
 * Accepts an attempt only if it directly follows the current one. Without this rule, two entries
 * that serve the same key and both see an attempt fail would each start another one, which doubles
 * the work and produces two texts. Each note names the previous attempt, and a holder accepts only
 * one successor of it.
 */
export const acceptsNote: AcceptsNote = (record, attempt, previousId) => {
  const current = currentAttempt(record);
  if (current === null) return true;
  return current.id === previousId && compareAttempts(current, attempt) < 0;
};

/** Creates the empty table of a member that starts at `startedAtMs`. */
export function createHolder(startedAtMs: number): HolderState {
  return { startedAtMs, records: new Map(), totalBytes: 0, sweep: [] };
}

/** Handles a call to the holder and returns the reply. */
export function handleHolderCall(
  state: HolderState,
  call: HolderCall,
  options: HolderOptions,
  nowMs: number,
): HolderReply {
  const reply = answerCall(state, call, options, nowMs);
  return { ...reply, upForMs: nowMs - state.startedAtMs };
}

function answerCall(
  state: HolderState,
  call: HolderCall,
  options: HolderOptions,
  nowMs: number,
): UntimedReply {
  switch (call.kind) {
    case HolderCallKind.Create:
      return create(state, call.record, options, nowMs);
    case HolderCallKind.Note:
      return note(state, call, options, nowMs);
    case HolderCallKind.Finish:
      return finish(state, call, options, nowMs);
    case HolderCallKind.Restore:
      return restore(state, call.record, options, nowMs);
    case HolderCallKind.Release:
      return release(state, call.keyText, call.creationId, nowMs);
    case HolderCallKind.Read: {
      const held = state.records.get(call.keyText);
      return held === undefined ? absent() : standing(held, nowMs);
    }
  }
}

/** Returns the record as sent at `nowMs`, with the remaining time on this member's clock. */
export function recordAt(held: HeldRecord, nowMs: number): RequestRecord {
  const answer = answerAt(held, nowMs);
  return { ...held.record, answer, remainingMs: Math.max(0, held.deadlineAtMs - nowMs) };
}

function answerAt(held: HeldRecord, nowMs: number): Answer | null {
  const { answer } = held.record;
  if (answer?.committedForMs == null) return answer;
  return { ...answer, committedForMs: answer.committedForMs + nowMs - held.storedAtMs };
}

/** Removes expired records, checking at most `sweepPerTick` records per call. */
export function sweepHolder(state: HolderState, options: HolderOptions, nowMs: number): void {
  if (state.sweep.length === 0) state.sweep = [...state.records.keys()];
  for (const keyText of state.sweep.splice(0, options.sweepPerTick)) {
    const held = state.records.get(keyText);
    if (held !== undefined && held.expiresAtMs <= nowMs) dropRecord(state, keyText);
  }
}

/** Removes a record from the table. */
export function dropRecord(state: HolderState, keyText: string): void {
  const held = state.records.get(keyText);
  if (held === undefined) return;
  state.totalBytes -= held.sizeBytes;
  state.records.delete(keyText);
}

function create(
  state: HolderState,
  record: RequestRecord,
  options: HolderOptions,
  nowMs: number,
): UntimedReply {
  const held = state.records.get(record.keyText);
  if (held === undefined) {
    const createBytes = options.maxBytes * options.createBytesRatio;
    if (!hasRoom(state, record, options.maxRecords, createBytes)) return full(options);
    return done(store(state, record, options, nowMs), nowMs);
  }
  if (held.record.bodyHash !== record.bodyHash) return conflict();
  return held.record.creationId === record.creationId ? done(held, nowMs) : standing(held, nowMs);
}

function note(
  state: HolderState,
  call: Extract<HolderCall, { kind: HolderCallKind.Note }>,
  options: HolderOptions,
  nowMs: number,
): UntimedReply {
  const held = state.records.get(call.record.keyText);
  if (held !== undefined && held.record.bodyHash !== call.record.bodyHash) return conflict();
  const base = held === undefined ? call.record : joinRecords(recordAt(held, nowMs), call.record);
  if (currentAttempt(base)?.id === call.attempt.id) return storeIfRoom(state, base, options, nowMs);
  if (isFinal(base) || !options.acceptsNote(base, call.attempt, call.previousId)) {
    return held === undefined ? absent() : standing(held, nowMs);
  }
  const attempts = [...base.attempts, call.attempt].sort(compareAttempts);
  return storeIfRoom(state, { ...base, attempts, phase: RecordPhase.Dispatched }, options, nowMs);
}

function finish(
  state: HolderState,
  call: Extract<HolderCall, { kind: HolderCallKind.Finish }>,
  options: HolderOptions,
  nowMs: number,
): UntimedReply {
  const { answer, failure } = call;
  const held = state.records.get(call.record.keyText);
  if (held !== undefined && held.record.bodyHash !== call.record.bodyHash) return conflict();
  const base = held === undefined ? call.record : joinRecords(recordAt(held, nowMs), call.record);
  if (isFinal(base) && !canBeReplaced(base, answer)) {
    const isSame =
      answer === null ? base.answer === null : base.answer?.attemptId === answer.attemptId;
    return isSame ? storeIfRoom(state, base, options, nowMs) : standingOf(base);
  }
  if (answer !== null && !options.acceptsFinish(base, answer)) return standingOf(base);
  const phase = phaseOf(base.attempts, answer, failure);
  return storeIfRoom(state, { ...base, answer, failure, phase }, options, nowMs);
}

/**
 * Returns whether an uncommitted answer may be replaced by the answer of a later attempt. Without
 * this, a holder that was unreachable while the second attempt was noted could accept the first
 * attempt's answer, and the stream of the second attempt would fail at its end. Replacing is safe:
 * the holders that accepted the note refuse the first answer, so it can never be committed.
 */
function canBeReplaced(record: RequestRecord, answer: Answer | null): boolean {
  const storedAnswer = record.answer;
  if (answer === null || storedAnswer === null) return false;
  if (storedAnswer.committedForMs !== null) return false;
  return answer.attemptNumber > storedAnswer.attemptNumber;
}

function restore(
  state: HolderState,
  record: RequestRecord,
  options: HolderOptions,
  nowMs: number,
): UntimedReply {
  const held = state.records.get(record.keyText);
  if (held !== undefined && coversRecord(held.record, record)) return done(held, nowMs);
  const joined = held === undefined ? record : joinRecords(recordAt(held, nowMs), record);
  return storeIfRoom(state, joined, options, nowMs);
}

function release(
  state: HolderState,
  keyText: string,
  creationId: string,
  nowMs: number,
): UntimedReply {
  const held = state.records.get(keyText);
  if (held === undefined) return absent();
  const isUntouched = held.record.phase === RecordPhase.Accepted;
  if (!isUntouched || held.record.creationId !== creationId) return standing(held, nowMs);
  dropRecord(state, keyText);
  return { kind: HolderReplyKind.Done, record: null, retryAfterMs: 0 };
}

function storeIfRoom(
  state: HolderState,
  record: RequestRecord,
  options: HolderOptions,
  nowMs: number,
): UntimedReply {
  if (!hasRoom(state, record, options.maxRecords, options.maxBytes)) return full(options);
  return done(store(state, record, options, nowMs), nowMs);
}

function hasRoom(
  state: HolderState,
  record: RequestRecord,
  maxRecords: number,
  maxBytes: number,
): boolean {
  const held = state.records.get(record.keyText);
  const grownBytes = estimateSizeBytes(record) - (held?.sizeBytes ?? 0);
  if (held === undefined && state.records.size >= maxRecords) return false;
  return grownBytes <= 0 || state.totalBytes + grownBytes <= maxBytes;
}

function store(
  state: HolderState,
  record: RequestRecord,
  options: HolderOptions,
  nowMs: number,
): HeldRecord {
  const before = state.records.get(record.keyText);
  const deadlineAtMs = before?.deadlineAtMs ?? nowMs + record.remainingMs;
  const wasFinal = before !== undefined && isFinal(before.record);
  const expiresAtMs = isFinal(record)
    ? wasFinal
      ? before.expiresAtMs
      : nowMs + options.answerRetentionMs
    : deadlineAtMs + options.unfinishedRetentionMs;
  const held: HeldRecord = {
    record,
    storedAtMs: nowMs,
    deadlineAtMs,
    expiresAtMs,
    sizeBytes: estimateSizeBytes(record),
    acknowledgedBy: null,
  };
  state.totalBytes += held.sizeBytes - (before?.sizeBytes ?? 0);
  state.records.set(record.keyText, held);
  return held;
}

function estimateSizeBytes(record: RequestRecord): number {
  let bytes = RECORD_BASE_BYTES + record.attempts.length * ATTEMPT_BYTES;
  for (const token of record.answer?.tokens ?? []) bytes += TOKEN_BASE_BYTES + token.length;
  return bytes + (record.answer?.ending.plain?.bodyBase64.length ?? 0);
}

function done(held: HeldRecord, nowMs: number): UntimedReply {
  return { kind: HolderReplyKind.Done, record: recordAt(held, nowMs), retryAfterMs: 0 };
}

function standing(held: HeldRecord, nowMs: number): UntimedReply {
  return standingOf(recordAt(held, nowMs));
}

function standingOf(record: RequestRecord): UntimedReply {
  return { kind: HolderReplyKind.Standing, record, retryAfterMs: 0 };
}

function conflict(): UntimedReply {
  return { kind: HolderReplyKind.Conflict, record: null, retryAfterMs: 0 };
}

function absent(): UntimedReply {
  return { kind: HolderReplyKind.Absent, record: null, retryAfterMs: 0 };
}

function full(options: HolderOptions): UntimedReply {
  return { kind: HolderReplyKind.Full, record: null, retryAfterMs: options.fullRetryAfterMs };
}
