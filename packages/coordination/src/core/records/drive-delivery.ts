/**
 * Delivery to the caller: the text grows only at its end, each event's id names the text so far,
 * and what a caller has read stays true. Text that does not follow from it is never sent.
 */
import { EventKind } from '../events/event.js';
import { RunState } from '../model/outcome.js';
import { DriveEffectKind } from './drive-messages.js';
import { DrivePhase, DriveTimer } from './drive-types.js';
import type { FitsAnswer, MatchesResume, RequestDrive, ResumePoint } from './drive-types.js';
import { clearTimer, emit, finishDrive } from './drive-support.js';
import type { Turn } from './drive-support.js';
import { ANSWER_DIVERGED } from './failures.js';
import type { Answer, AnswerEnding } from './record.js';
import type { Hash32 } from '../hashing/hashing.js';

const EVENT_ID = /^(\d{1,9})-(\d{1,10})$/;

/** Hash of the empty text. */
export const EMPTY_TEXT_HASH = 0;

/** Hash of a text that is one token longer. */
export function extendHash(hash32: Hash32, hash: number, token: string): number {
  return hash32(`${String(hash)}/${token}`);
}

/** The id of the event after which a caller has `index` tokens. */
export function eventIdOf(index: number, hash: number): string {
  return `${String(index)}-${String(hash)}`;
}

/** Reads a caller's Last-Event-ID; null when it is none of ours. */
export function parseEventId(text: string): ResumePoint | null {
  const match = EVENT_ID.exec(text);
  if (match === null) return null;
  return { index: Number(match[1]), hash: Number(match[2]) };
}

/**
 * Guards against a second half from another text, or one token twice. Failure: a stream is taken up
 * at a wrong place, or an overlap differs; it shows as a garbled finding. The guard holds because
 * tokens are taken only where they continue the known ones, and an overlap must be equal.
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
 * Guards a caller that returns. Failure: everything that held its first half has died and the rerun
 * made another text; it shows as two halves that do not belong together. The guard holds because
 * the id that the caller brings is a hash of all that it has read.
 */
export const matchesResume: MatchesResume = (resume, hashAtIndex) => resume.hash === hashAtIndex;

/** Takes tokens from a stream; false when they do not follow from what is known. */
export function takeTokens(turn: Turn, index: number, tokens: readonly string[]): boolean {
  const { drive, context } = turn;
  if (!context.options.fitsAnswer(drive.tokens, index, tokens)) return false;
  for (const token of tokens.slice(Math.max(0, drive.tokens.length - index))) {
    const hash = extendHash(context.hash32, drive.hashes.at(-1) ?? EMPTY_TEXT_HASH, token);
    drive.tokens.push(token);
    drive.hashes.push(hash);
  }
  tellNews(turn);
  return true;
}

/** Takes a whole answer and tells the rest of it and its end. */
export function deliverAnswer(turn: Turn, answer: Answer): void {
  forgetUntold(turn);
  const fits = takeTokens(turn, 0, answer.tokens);
  if (turn.drive.phase === DrivePhase.Done) return;
  if (fits && turn.drive.tokens.length === answer.tokens.length) deliverEnd(turn, answer.ending);
  else tellDiverged(turn);
}

/** Tells the end of an answer whose tokens are all known. */
export function deliverEnd(turn: Turn, ending: AnswerEnding): void {
  const { drive } = turn;
  if (drive.tokens.length < resumeIndex(drive) || !resumeHolds(turn)) {
    tellDiverged(turn);
    return;
  }
  const eventId = eventIdOf(drive.tokens.length, drive.hashes.at(-1) ?? EMPTY_TEXT_HASH);
  if (drive.callerPresent) turn.out.push({ kind: DriveEffectKind.TellAnswer, ending, eventId });
  emit(turn, EventKind.RequestAnswered, 'the answer is whole and recorded', {
    figures: { tokens: drive.tokens.length, attempts: drive.known.attempts.length },
  });
  closeStream(turn);
  finishDrive(turn);
}

/** Forgets text that the caller has not been sent, so that another attempt's may take its place. */
export function forgetUntold(turn: Turn): void {
  const { drive } = turn;
  const sentHere = drive.toldCount > resumeIndex(drive) ? drive.toldCount : 0;
  drive.tokens.length = Math.min(drive.tokens.length, sentHere);
  drive.hashes.length = drive.tokens.length + 1;
}

/** Refuses since the text that the caller has read cannot be continued. */
export function tellDiverged(turn: Turn): void {
  const { drive } = turn;
  const failure = ANSWER_DIVERGED.of({ service: drive.request.service, index: drive.toldCount });
  if (drive.callerPresent) {
    turn.out.push({
      kind: DriveEffectKind.TellRefusal,
      failure,
      runState: RunState.Unknown,
      retryAfterMs: null,
    });
  }
  emit(turn, EventKind.RequestFailed, 'the text differs from what the caller has read');
  closeStream(turn);
  finishDrive(turn);
}

/** Leaves the present stream, which runs on at its sidecar. */
export function closeStream(turn: Turn): void {
  const { drive } = turn;
  clearTimer(turn, DriveTimer.Reattach);
  if (drive.connectionId === 0) return;
  turn.out.push({ kind: DriveEffectKind.CloseStream, connectionId: drive.connectionId });
  drive.connectionId = 0;
}

function tellNews(turn: Turn): void {
  const { drive } = turn;
  if (!drive.callerPresent || drive.tokens.length <= drive.toldCount) return;
  if (!resumeHolds(turn)) {
    tellDiverged(turn);
    return;
  }
  const index = drive.toldCount;
  const tokens = drive.tokens.slice(index);
  drive.toldCount = drive.tokens.length;
  const eventId = eventIdOf(drive.toldCount, drive.hashes[drive.toldCount] ?? EMPTY_TEXT_HASH);
  turn.out.push({ kind: DriveEffectKind.TellTokens, index, tokens, eventId });
}

function resumeHolds(turn: Turn): boolean {
  const { resume } = turn.drive.request;
  if (resume === null) return true;
  const hash = turn.drive.hashes[resume.index];
  return hash === undefined || turn.context.options.matchesResume(resume, hash);
}

function resumeIndex(drive: RequestDrive): number {
  return drive.request.resume?.index ?? 0;
}
