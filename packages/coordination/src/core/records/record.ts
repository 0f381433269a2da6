/**
 * The record of one request as its two holders keep it, and how two copies that differ are joined.
 * Plain JSON data: it crosses processes as it is.
 */
import type { Failure } from '../failures/failure.js';
import { RecordPhase } from '../model/outcome.js';

/** One run, or intended run, of a request on one target. Its id is the stream's id as well. */
export interface Attempt {
  /** Unique for ever: made from the entry's id, its incarnation and a counter. */
  readonly id: string;
  /** 1 for the first; a higher number replaces a lower one. */
  readonly number: number;
  /** Member id of the sidecar. */
  readonly sidecar: string;
  readonly target: string;
  /** Tokens that earlier attempts had made and this one goes on from. */
  readonly startIndex: number;
  /** Member id of the entry that dispatched it. */
  readonly entry: string;
  /** Session of that entry at the sidecar; names the sidecar's incarnation, which alone may run it. */
  readonly sessionId: string;
  /** Position among the entry's dispatches in the session: 1, 2, 3 … */
  readonly sequence: number;
  /** True for a suspect of crashes, which runs with nothing beside it. */
  readonly alone: boolean;
}

/** The whole answer of a plain service. */
export interface PlainAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly bodyBase64: string;
}

/** How an answer ended. */
export interface AnswerEnding {
  /** Why generation ended: `stop`, `length`; `plain` for a plain service. */
  readonly reason: string;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly outputTokens: number;
  /** Present for a plain service, whose answer has no tokens. */
  readonly plain: PlainAnswer | null;
}

/** A whole answer. */
export interface Answer {
  readonly attemptId: string;
  readonly attemptNumber: number;
  readonly tokens: readonly string[];
  readonly ending: AnswerEnding;
  /**
   * Time since every holder of the time had it, or null before: only then may it have been told to
   * anybody. An age and no clock reading, so that no two clocks are compared; a message that was
   * long under way looks younger than it is.
   */
  readonly committedForMs: number | null;
}

/** Everything that is known of a request. */
export interface RequestRecord {
  /** Text of the {@link RequestKey}. */
  readonly keyText: string;
  readonly service: string;
  /** Hash of the content: a resend with another one is a conflict, and suspects are known by it. */
  readonly bodyHash: string;
  readonly repeatable: boolean;
  /** Names the submission that created the record, so that only it may take it back. */
  readonly creationId: string;
  readonly phase: RecordPhase;
  /** By ascending number. */
  readonly attempts: readonly Attempt[];
  /** Attempts during which their engine crashed; two convict the content. */
  readonly crashedAttemptIds: readonly string[];
  readonly answer: Answer | null;
  /** Final failure, such as the conviction of a request that crashes targets. */
  readonly failure: Failure | null;
  /** Time left until the deadline when this copy was sent; no two clocks are compared. */
  readonly remainingMs: number;
}

/** The attempt that counts: the one with the highest number, or null before the first. */
export function currentAttempt(record: RequestRecord): Attempt | null {
  return record.attempts.at(-1) ?? null;
}

/** Whether nothing more will change. */
export function isFinal(record: RequestRecord): boolean {
  return record.phase === RecordPhase.Answered || record.phase === RecordPhase.Failed;
}

/**
 * Joins two copies of one record: commutative, associative and idempotent, so that copies agree in
 * whatever order they meet. Of two answers a committed one wins, since it may have been told; then
 * the later attempt's: that attempt was noted by all holders, while an earlier one's answer can come
 * to rest on a single holder that was away.
 */
export function joinRecords(left: RequestRecord, right: RequestRecord): RequestRecord {
  if (left.bodyHash !== right.bodyHash) return compareRecords(left, right) >= 0 ? left : right;
  const attempts = joinAttempts(left.attempts, right.attempts);
  const answer = standingAnswer(left.answer, right.answer);
  const failure = firstFailure(left.failure, right.failure);
  return {
    ...left,
    creationId: left.creationId < right.creationId ? left.creationId : right.creationId,
    attempts,
    crashedAttemptIds: [...new Set([...left.crashedAttemptIds, ...right.crashedAttemptIds])].sort(),
    answer,
    failure,
    phase: phaseOf(attempts, answer, failure),
    remainingMs: Math.max(left.remainingMs, right.remainingMs),
  };
}

/** Whether a copy holds everything that another one holds. */
export function coversRecord(copy: RequestRecord, other: RequestRecord): boolean {
  const attemptIds = new Set(copy.attempts.map((attempt) => attempt.id));
  const crashed = new Set(copy.crashedAttemptIds);
  const hasAttempts = other.attempts.every((attempt) => attemptIds.has(attempt.id));
  const hasCrashes = other.crashedAttemptIds.every((id) => crashed.has(id));
  const hasAnswer = other.answer === null || coversAnswer(copy.answer, other.answer);
  const hasFailure = other.failure === null || copy.failure !== null;
  return hasAttempts && hasCrashes && hasAnswer && hasFailure;
}

function coversAnswer(copy: Answer | null, other: Answer): boolean {
  if (copy?.attemptId !== other.attemptId) return false;
  return other.committedForMs === null || copy.committedForMs !== null;
}

/** The phase that a record's parts amount to. */
export function phaseOf(
  attempts: readonly Attempt[],
  answer: Answer | null,
  failure: Failure | null,
): RecordPhase {
  if (answer !== null) return RecordPhase.Answered;
  if (failure !== null) return RecordPhase.Failed;
  return attempts.length > 0 ? RecordPhase.Dispatched : RecordPhase.Accepted;
}

function joinAttempts(left: readonly Attempt[], right: readonly Attempt[]): readonly Attempt[] {
  const byId = new Map([...left, ...right].map((attempt) => [attempt.id, attempt]));
  return [...byId.values()].sort(compareAttempts);
}

/** Orders attempts: by number; of two with one number the smaller id is the later one. */
export function compareAttempts(left: Attempt, right: Attempt): number {
  if (left.number !== right.number) return left.number - right.number;
  if (left.id === right.id) return 0;
  return left.id > right.id ? -1 : 1;
}

/** Commits closer to each other than this are told apart by their attempts. */
const SAME_TIME_MS = 50;

/**
 * Of two answers the committed one stays, of two committed ones the older: a run that was forgotten
 * with its holders may bring its answer late, when another one has been told. Else the later
 * attempt's.
 */
function standingAnswer(left: Answer | null, right: Answer | null): Answer | null {
  if (left === null || right === null) return left ?? right;
  const leftAgeMs = left.committedForMs ?? -Infinity;
  const rightAgeMs = right.committedForMs ?? -Infinity;
  if (left.attemptId === right.attemptId) return leftAgeMs >= rightAgeMs ? left : right;
  const isSameTime = leftAgeMs === rightAgeMs || Math.abs(leftAgeMs - rightAgeMs) < SAME_TIME_MS;
  if (!isSameTime) return leftAgeMs > rightAgeMs ? left : right;
  if (left.attemptNumber !== right.attemptNumber) {
    return left.attemptNumber > right.attemptNumber ? left : right;
  }
  return left.attemptId < right.attemptId ? left : right;
}

function firstFailure(left: Failure | null, right: Failure | null): Failure | null {
  if (left === null || right === null) return left ?? right;
  return JSON.stringify(left) <= JSON.stringify(right) ? left : right;
}

/** Of two requests that took one key at once, the one that got further keeps it. */
function compareRecords(left: RequestRecord, right: RequestRecord): number {
  const further = phaseRank(left.phase) - phaseRank(right.phase);
  if (further !== 0) return further;
  return left.creationId < right.creationId ? 1 : -1;
}

function phaseRank(phase: RecordPhase): number {
  return [
    RecordPhase.Accepted,
    RecordPhase.Dispatched,
    RecordPhase.Failed,
    RecordPhase.Answered,
  ].indexOf(phase);
}
