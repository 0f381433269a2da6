/**
 * Delivers tokens and the end of the answer to the caller. Text is only appended, the id of each
 * event identifies the text up to it, and text that does not continue what the caller has received
 * is never sent.
 */
import { EventKind } from '../events/event.js';
import { RunState } from '../model/outcome.js';
import { RequestEffectKind } from './request-events.js';
import { RequestPhase, RequestTimer } from './request-types.js';
import type { FitsAnswer, MatchesResume, RequestMachine, ResumePoint } from './request-types.js';
import { clearTimer, emit, finishRequest } from './request-support.js';
import type { Turn } from './request-support.js';
import { ANSWER_DIVERGED } from './failures.js';
import type { Answer, AnswerEnding } from './record.js';
import type { Hash32 } from '../hashing/hashing.js';

const EVENT_ID = /^(\d{1,9})-(\d{1,10})$/;

/** Hash of the empty text. */
export const EMPTY_TEXT_HASH = 0;

/** Returns the hash of a text after appending one token. */
export function extendHash(hash32: Hash32, hash: number, token: string): number {
  return hash32(`${String(hash)}/${token}`);
}

/** Returns the id of the event after which a caller has received `index` tokens. */
export function eventIdOf(index: number, hash: number): string {
  return `${String(index)}-${String(hash)}`;
}

/** Parses a caller's Last-Event-ID; returns null if it does not have the format of an event id. */
export function parseEventId(text: string): ResumePoint | null {
  const match = EVENT_ID.exec(text);
  if (match === null) return null;
  return { index: Number(match[1]), hash: Number(match[2]) };
}

/**
 * Accepts tokens only if they leave no gap after the known ones and if the overlap is equal.
 * Without this check, a stream that resumes at the wrong index or belongs to another text would
 * garble the answer or repeat tokens.
 */
export const fitsAnswer: FitsAnswer = (known, index, tokens) => {
  if (index > known.length) return false;
  const overlap = Math.min(tokens.length, known.length - index);
  for (let offset = 0; offset < overlap; offset += 1) {
    if (tokens[offset] !== known[index + offset]) return false;
  }
  return true;
};

/**
 * Accepts a resuming caller only if the hash in its event id equals the hash of the text at that
 * index. If all processes that had the first part of the text have died, a rerun may generate a
 * different text, and the caller would receive two parts that do not belong together.
 */
export const matchesResume: MatchesResume = (resume, hashAtIndex) => resume.hash === hashAtIndex;

/** Appends tokens of a stream; returns false if they do not continue the known tokens. */
export function appendTokens(turn: Turn, index: number, tokens: readonly string[]): boolean {
  const { machine, context } = turn;
  if (!context.options.fitsAnswer(machine.tokens, index, tokens)) return false;
  for (const token of tokens.slice(Math.max(0, machine.tokens.length - index))) {
    const hash = extendHash(context.hash32, machine.hashes.at(-1) ?? EMPTY_TEXT_HASH, token);
    machine.tokens.push(token);
    machine.hashes.push(hash);
  }
  sendNewTokens(turn);
  return true;
}

/** Delivers the rest of a complete answer and its end. */
export function deliverAnswer(turn: Turn, answer: Answer): void {
  discardUnsentTokens(turn);
  const fits = appendTokens(turn, 0, answer.tokens);
  if (turn.machine.phase === RequestPhase.Done) return;
  if (fits && turn.machine.tokens.length === answer.tokens.length) deliverEnd(turn, answer.ending);
  else refuseDivergedText(turn);
}

/** Delivers the end of an answer whose tokens are all known. */
export function deliverEnd(turn: Turn, ending: AnswerEnding): void {
  const { machine } = turn;
  if (machine.tokens.length < resumeIndex(machine) || !resumePointMatches(turn)) {
    refuseDivergedText(turn);
    return;
  }
  const eventId = eventIdOf(machine.tokens.length, machine.hashes.at(-1) ?? EMPTY_TEXT_HASH);
  if (machine.callerPresent) turn.out.push({ kind: RequestEffectKind.TellAnswer, ending, eventId });
  emit(turn, EventKind.RequestAnswered, 'the answer is whole and recorded', {
    figures: { tokens: machine.tokens.length, attempts: machine.known.attempts.length },
  });
  closeStream(turn);
  finishRequest(turn);
}

/** Discards tokens not yet sent to the caller, so tokens of another attempt can replace them. */
export function discardUnsentTokens(turn: Turn): void {
  const { machine } = turn;
  const keptCount = machine.sentCount > resumeIndex(machine) ? machine.sentCount : 0;
  machine.tokens.length = Math.min(machine.tokens.length, keptCount);
  machine.hashes.length = machine.tokens.length + 1;
}

/** Ends with a refusal because the text that the caller has received cannot be continued. */
export function refuseDivergedText(turn: Turn): void {
  const { machine } = turn;
  const failure = ANSWER_DIVERGED.of({
    service: machine.request.service,
    index: machine.sentCount,
  });
  if (machine.callerPresent) {
    turn.out.push({
      kind: RequestEffectKind.TellRefusal,
      failure,
      runState: RunState.Unknown,
      retryAfterMs: null,
    });
  }
  emit(turn, EventKind.RequestFailed, 'the text differs from what the caller has read');
  closeStream(turn);
  finishRequest(turn);
}

/** Closes the connection to the current stream, which keeps running at its sidecar. */
export function closeStream(turn: Turn): void {
  const { machine } = turn;
  clearTimer(turn, RequestTimer.Reattach);
  if (machine.connectionId === 0) return;
  turn.out.push({ kind: RequestEffectKind.CloseStream, connectionId: machine.connectionId });
  machine.connectionId = 0;
}

function sendNewTokens(turn: Turn): void {
  const { machine } = turn;
  if (!machine.callerPresent || machine.tokens.length <= machine.sentCount) return;
  if (!resumePointMatches(turn)) {
    refuseDivergedText(turn);
    return;
  }
  const index = machine.sentCount;
  const tokens = machine.tokens.slice(index);
  machine.sentCount = machine.tokens.length;
  const eventId = eventIdOf(
    machine.sentCount,
    machine.hashes[machine.sentCount] ?? EMPTY_TEXT_HASH,
  );
  turn.out.push({ kind: RequestEffectKind.TellTokens, index, tokens, eventId });
}

function resumePointMatches(turn: Turn): boolean {
  const { resume } = turn.machine.request;
  if (resume === null) return true;
  const hash = turn.machine.hashes[resume.index];
  return hash === undefined || turn.context.options.matchesResume(resume, hash);
}

function resumeIndex(machine: RequestMachine): number {
  return machine.request.resume?.index ?? 0;
}
