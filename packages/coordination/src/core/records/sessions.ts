/**
 * Dispatch sessions of a sidecar: what tells a fresh dispatch from one that is old, repeated or
 * taken back, in bounded memory and however late it arrives. A session belongs to one incarnation
 * of an entry and one of the sidecar; within it dispatches are counted, and a window over the
 * numbers remembers which were seen. A number below the window, or a session that was dropped, is
 * refused for ever.
 */
import type { Attempt } from './record.js';

/** Bounds of the sessions of a sidecar. */
export interface SessionOptions {
  readonly maxSessions: number;
  /** Numbers remembered per session: how far dispatches may overtake each other. */
  readonly windowSize: number;
}

/** One session. */
export interface DispatchSession {
  readonly sessionId: string;
  readonly entryIncarnation: string;
  /** Numbers at or below it are too old. */
  floor: number;
  readonly seen: Set<number>;
  /** Of the seen ones, those that never run. */
  readonly refused: Set<number>;
}

/** All sessions, least recently used first. */
export interface SessionsState {
  readonly incarnation: string;
  readonly byId: Map<string, DispatchSession>;
  readonly idByEntry: Map<string, string>;
  lastNumber: number;
}

/** What a dispatch number turns out to be. */
export enum SequenceVerdict {
  Fresh = 'fresh',
  /** Refused before: it never ran. */
  Refused = 'refused',
  /** Seen before, or too old to say. */
  Stale = 'stale',
  /** The session is not one of this incarnation, or was dropped. */
  NoSession = 'no-session',
}

/** Judges the number of a dispatch. */
export type JudgeSequence = (
  session: DispatchSession | undefined,
  sequence: number,
) => SequenceVerdict;

/**
 * Guards a call against running twice. Failure: a dispatch is delivered again, or so late that its
 * attempt was taken back or replaced; it shows as work that runs after "not-run" was said, or runs
 * twice. The guard holds because a number is fresh once, in one session of one incarnation.
 */
export const judgeSequence: JudgeSequence = (session, sequence) => {
  if (session === undefined) return SequenceVerdict.NoSession;
  if (session.refused.has(sequence)) return SequenceVerdict.Refused;
  const isStale = sequence <= session.floor || session.seen.has(sequence);
  return isStale ? SequenceVerdict.Stale : SequenceVerdict.Fresh;
};

/** No sessions; `incarnation` is drawn anew at each start of the sidecar. */
export function createSessions(incarnation: string): SessionsState {
  return { incarnation, byId: new Map(), idByEntry: new Map(), lastNumber: 0 };
}

/** The session of an entry's incarnation: the one that it has, or a new one. */
export function openSession(
  state: SessionsState,
  entryIncarnation: string,
  options: SessionOptions,
): string {
  const knownId = state.idByEntry.get(entryIncarnation);
  const known = knownId === undefined ? undefined : state.byId.get(knownId);
  if (known !== undefined) {
    touch(state, known);
    return known.sessionId;
  }
  while (state.byId.size >= options.maxSessions) dropOldest(state);
  state.lastNumber += 1;
  const sessionId = `${state.incarnation}.${String(state.lastNumber)}`;
  const session: DispatchSession = {
    sessionId,
    entryIncarnation,
    floor: 0,
    seen: new Set(),
    refused: new Set(),
  };
  state.byId.set(sessionId, session);
  state.idByEntry.set(entryIncarnation, sessionId);
  return sessionId;
}

/** Remembers that a number was seen, and whether its dispatch never runs. */
export function markSeen(
  state: SessionsState,
  attempt: Attempt,
  neverRuns: boolean,
  options: SessionOptions,
): void {
  const session = state.byId.get(attempt.sessionId);
  if (session === undefined) return;
  touch(state, session);
  session.seen.add(attempt.sequence);
  if (neverRuns) session.refused.add(attempt.sequence);
  raiseFloor(session, attempt.sequence - options.windowSize);
}

/** Whether a session was given by this incarnation, dropped or not. */
export function isOfIncarnation(state: SessionsState, sessionId: string): boolean {
  return sessionId.startsWith(`${state.incarnation}.`);
}

function raiseFloor(session: DispatchSession, floor: number): void {
  for (; session.floor < floor; session.floor += 1) {
    session.seen.delete(session.floor + 1);
    session.refused.delete(session.floor + 1);
  }
}

function touch(state: SessionsState, session: DispatchSession): void {
  state.byId.delete(session.sessionId);
  state.byId.set(session.sessionId, session);
}

function dropOldest(state: SessionsState): void {
  const oldest = state.byId.values().next().value;
  if (oldest === undefined) return;
  state.byId.delete(oldest.sessionId);
  state.idByEntry.delete(oldest.entryIncarnation);
}
