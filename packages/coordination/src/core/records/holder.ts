/**
 * A member's table of the records that it holds. Calls are idempotent, so that a lost answer is met
 * by asking again. The table never drops an unfinished record before its time: when it is full, new
 * requests are refused, and room is kept back for the ends of those that were accepted.
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

/** Decides whether an answer may become the record's answer. */
export type AcceptsFinish = (record: RequestRecord, answer: Answer) => boolean;
/** Decides whether an attempt may be noted after the one that its entry knows of. */
export type AcceptsNote = (
  record: RequestRecord,
  attempt: Attempt,
  previousId: string | null,
) => boolean;

/** Bounds and guards of a table. */
export interface HolderOptions {
  readonly maxRecords: number;
  /** Estimated size of all records together. */
  readonly maxBytes: number;
  /** Part of `maxBytes` beyond which no new record is created: the rest is for ends. */
  readonly createBytesRatio: number;
  readonly answerRetentionMs: number;
  /** Time after the deadline for which an unfinished record is kept. */
  readonly unfinishedRetentionMs: number;
  /** What a caller is told to wait when the table is full. */
  readonly fullRetryAfterMs: number;
  /** Records looked at for expiry in one tick. */
  readonly sweepPerTick: number;
  readonly acceptsFinish: AcceptsFinish;
  readonly acceptsNote: AcceptsNote;
}

/** A record with this member's own times for it. */
export interface HeldRecord {
  record: RequestRecord;
  /** When `record` was stored; its answer's age is counted from then. */
  storedAtMs: number;
  deadlineAtMs: number;
  expiresAtMs: number;
  sizeBytes: number;
  /** Other holders that acknowledged a copy of `record`; null for none. A new record starts anew. */
  acknowledgedBy: Set<string> | null;
}

/** The table. */
export interface HolderState {
  readonly startedAtMs: number;
  readonly records: Map<string, HeldRecord>;
  totalBytes: number;
  /** Keys still to be looked at in the present sweep. */
  sweep: string[];
}

/** A reply before the member's own uptime is added. */
type UntimedReply = Omit<HolderReply, 'upForMs'>;

/** Estimated bytes of a record beside its tokens: keys, hashes, two attempts. */
const RECORD_BASE_BYTES = 600;
const ATTEMPT_BYTES = 300;
/** Estimated bytes of one short string in an array. */
const TOKEN_BASE_BYTES = 24;

/**
 * Guards against two answers to one request. Failure: a target that was paused finishes after its
 * attempt was replaced; it shows as a resend that gets another text than was sent. The guard holds
 * because the later attempt was noted here before it was dispatched.
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
 * Guards against two attempts at once. Failure: two entries that hold the same key both see the
 * first attempt fail; it shows as double work and two texts. The guard holds because each names the
 * attempt that it follows, and a holder lets only one follow.
 */
export const acceptsNote: AcceptsNote = (record, attempt, previousId) => {
  const current = currentAttempt(record);
  if (current === null) return true;
  return current.id === previousId && compareAttempts(current, attempt) < 0;
};

/** The empty table of a member that has just started. */
export function createHolder(startedAtMs: number): HolderState {
  return { startedAtMs, records: new Map(), totalBytes: 0, sweep: [] };
}

/** Answers a call at `nowMs`. */
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

/** The record as it is sent at `nowMs`: with the time that is left by this member's clock. */
export function recordAt(held: HeldRecord, nowMs: number): RequestRecord {
  const answer = agedAnswer(held, nowMs);
  return { ...held.record, answer, remainingMs: Math.max(0, held.deadlineAtMs - nowMs) };
}

function agedAnswer(held: HeldRecord, nowMs: number): Answer | null {
  const { answer } = held.record;
  if (answer?.committedForMs == null) return answer;
  return { ...answer, committedForMs: answer.committedForMs + nowMs - held.storedAtMs };
}

/** Drops what has expired, a bounded number of records at a time. */
export function sweepHolder(state: HolderState, options: HolderOptions, nowMs: number): void {
  if (state.sweep.length === 0) state.sweep = [...state.records.keys()];
  for (const keyText of state.sweep.splice(0, options.sweepPerTick)) {
    const held = state.records.get(keyText);
    if (held !== undefined && held.expiresAtMs <= nowMs) dropRecord(state, keyText);
  }
}

/** Takes a record out of the table. */
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
  if (currentAttempt(base)?.id === call.attempt.id) return keep(state, base, options, nowMs);
  if (isFinal(base) || !options.acceptsNote(base, call.attempt, call.previousId)) {
    return held === undefined ? absent() : standing(held, nowMs);
  }
  const attempts = [...base.attempts, call.attempt].sort(compareAttempts);
  return keep(state, { ...base, attempts, phase: RecordPhase.Dispatched }, options, nowMs);
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
  if (isFinal(base) && !givesWay(base, answer)) {
    const isSame =
      answer === null ? base.answer === null : base.answer?.attemptId === answer.attemptId;
    return isSame ? keep(state, base, options, nowMs) : standingOf(base);
  }
  if (answer !== null && !options.acceptsFinish(base, answer)) return standingOf(base);
  const phase = phaseOf(base.attempts, answer, failure);
  return keep(state, { ...base, answer, failure, phase }, options, nowMs);
}

/**
 * An answer that is not committed gives way to a later attempt's. Failure: a holder that was away
 * misses the note of the second attempt and takes the first one's answer; it shows as a caller that
 * reads the second attempt and is cut at its end. Safe, since the holders that took that note refuse
 * the first answer, which can therefore never be committed.
 */
function givesWay(record: RequestRecord, answer: Answer | null): boolean {
  const standingAnswer = record.answer;
  if (answer === null || standingAnswer === null) return false;
  if (standingAnswer.committedForMs !== null) return false;
  return answer.attemptNumber > standingAnswer.attemptNumber;
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
  return keep(state, joined, options, nowMs);
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

function keep(
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
  const grownBytes = sizeOf(record) - (held?.sizeBytes ?? 0);
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
  const endedBefore = before !== undefined && isFinal(before.record);
  const expiresAtMs = isFinal(record)
    ? endedBefore
      ? before.expiresAtMs
      : nowMs + options.answerRetentionMs
    : deadlineAtMs + options.unfinishedRetentionMs;
  const held: HeldRecord = {
    record,
    storedAtMs: nowMs,
    deadlineAtMs,
    expiresAtMs,
    sizeBytes: sizeOf(record),
    acknowledgedBy: null,
  };
  state.totalBytes += held.sizeBytes - (before?.sizeBytes ?? 0);
  state.records.set(record.keyText, held);
  return held;
}

function sizeOf(record: RequestRecord): number {
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
