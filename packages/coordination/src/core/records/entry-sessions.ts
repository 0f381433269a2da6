/**
 * Tracks the dispatch sessions of an entry: its session at each sidecar and the sequence number of
 * its last dispatch there. The table is bounded; an evicted session is requested again when needed.
 */

/** A session at one sidecar. */
interface KnownSession {
  readonly sessionId: string;
  lastSequence: number;
}

/** Sessions by sidecar, least recently used first. */
export interface EntrySessions {
  readonly bySidecar: Map<string, KnownSession>;
  readonly maxSidecars: number;
}

/** Creates an empty table of sessions. */
export function createEntrySessions(maxSidecars: number): EntrySessions {
  return { bySidecar: new Map(), maxSidecars };
}

/**
 * Returns the session at a sidecar and the sequence number of the next dispatch, or null if the
 * entry has no session there and must request one.
 */
export function takeSequence(
  sessions: EntrySessions,
  sidecar: string,
): { readonly sessionId: string; readonly sequence: number } | null {
  const known = sessions.bySidecar.get(sidecar);
  if (known === undefined) return null;
  known.lastSequence += 1;
  sessions.bySidecar.delete(sidecar);
  sessions.bySidecar.set(sidecar, known);
  return { sessionId: known.sessionId, sequence: known.lastSequence };
}

/**
 * Stores a session issued by a sidecar; a session that is already known keeps its sequence number.
 */
export function rememberSession(sessions: EntrySessions, sidecar: string, sessionId: string): void {
  const known = sessions.bySidecar.get(sidecar);
  if (known?.sessionId === sessionId) return;
  sessions.bySidecar.set(sidecar, { sessionId, lastSequence: 0 });
  const leastRecentlyUsed = sessions.bySidecar.keys().next().value;
  const isOverLimit = sessions.bySidecar.size > sessions.maxSidecars;
  if (isOverLimit && leastRecentlyUsed !== undefined) sessions.bySidecar.delete(leastRecentlyUsed);
}

/** Drops the session at a sidecar that restarted or rejected the session. */
export function forgetSession(sessions: EntrySessions, sidecar: string): void {
  sessions.bySidecar.delete(sidecar);
}
