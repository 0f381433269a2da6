/**
 * Dispatch sessions of a sidecar, which distinguish a new dispatch from an outdated, repeated or
 * cancelled one, in bounded memory and for any delivery delay. A session belongs to one incarnation
 * of an entry and one of the sidecar. Its dispatches have sequence numbers, and a sliding window
 * records which ones were seen. Numbers below the window and dispatches of a dropped session never
 * run.
 */
import type { Attempt } from './record.js';

/** Limits of the sessions of a sidecar. */
export interface SessionOptions {
  readonly maxSessions: number;
  /** Sequence numbers recorded per session, which limits how far dispatches may be reordered. */
  readonly windowSize: number;
}

/** A dispatch session. */
export interface DispatchSession {
  readonly sessionId: string;
  readonly entryIncarnation: string;
  /** Sequence numbers up to this one are too old. */
  floor: number;
  /** Sequence numbers above the floor that were received or cancelled. */
  readonly seen: Set<number>;
  /** The seen numbers whose dispatches never run. */
  readonly refused: Set<number>;
}

/** All sessions, least recently used first. */
export interface SessionsState {
  readonly incarnation: string;
  readonly byId: Map<string, DispatchSession>;
  readonly idByEntry: Map<string, string>;
  lastNumber: number;
}

/** Classification of the sequence number of a dispatch. */
export enum SequenceVerdict {
  Fresh = 'fresh',
  /** It was refused earlier and has never run. */
  Refused = 'refused',
  /** It was seen earlier, or is too old to tell. */
  Stale = 'stale',
  /** The session belongs to another incarnation, or was dropped. */
  NoSession = 'no-session',
}

/** Classifies the sequence number of a dispatch. */
export type JudgeSequence = (
  session: DispatchSession | undefined,
  sequence: number,
) => SequenceVerdict;

/**
 * Classifies a sequence number as fresh only once, in one session of one incarnation. Without this,
 * a dispatch that is delivered twice, or after its attempt was cancelled or replaced, would run
 * twice, or run although "not-run" was reported.
 */
export const judgeSequence: JudgeSequence = (session, sequence) => {
  if (session === undefined) return SequenceVerdict.NoSession;
  if (session.refused.has(sequence)) return SequenceVerdict.Refused;
  const isStale = sequence <= session.floor || session.seen.has(sequence);
  return isStale ? SequenceVerdict.Stale : SequenceVerdict.Fresh;
};

/** Creates an empty set of sessions; each start of the sidecar draws a new `incarnation`. */
export function createSessions(incarnation: string): SessionsState {
  return { incarnation, byId: new Map(), idByEntry: new Map(), lastNumber: 0 };
}

/** Returns the id of the session of an entry's incarnation, opening one if there is none. */
export function openSession(
  state: SessionsState,
  entryIncarnation: string,
  options: SessionOptions,
): string {
  const existingId = state.idByEntry.get(entryIncarnation);
  const existing = existingId === undefined ? undefined : state.byId.get(existingId);
  if (existing !== undefined) {
    markRecentlyUsed(state, existing);
    return existing.sessionId;
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

/** Records that the sequence number of an attempt was seen, and whether its dispatch never runs. */
export function markSeen(
  state: SessionsState,
  attempt: Attempt,
  neverRuns: boolean,
  options: SessionOptions,
): void {
  const session = state.byId.get(attempt.sessionId);
  if (session === undefined) return;
  markRecentlyUsed(state, session);
  session.seen.add(attempt.sequence);
  if (neverRuns) session.refused.add(attempt.sequence);
  raiseFloor(session, attempt.sequence - options.windowSize);
}

/** Returns whether this incarnation opened the session, even if it was dropped since. */
export function isOfIncarnation(state: SessionsState, sessionId: string): boolean {
  return sessionId.startsWith(`${state.incarnation}.`);
}

function raiseFloor(session: DispatchSession, floor: number): void {
  for (; session.floor < floor; session.floor += 1) {
    session.seen.delete(session.floor + 1);
    session.refused.delete(session.floor + 1);
  }
}

function markRecentlyUsed(state: SessionsState, session: DispatchSession): void {
  state.byId.delete(session.sessionId);
  state.byId.set(session.sessionId, session);
}

function dropOldest(state: SessionsState): void {
  const oldest = state.byId.values().next().value;
  if (oldest === undefined) return;
  state.byId.delete(oldest.sessionId);
  state.idByEntry.delete(oldest.entryIncarnation);
}
