/**
 * An entry's side of the dispatch sessions: the session it has at each sidecar and the number of
 * its last dispatch there. Bounded; a forgotten session is simply asked for again.
 */

/** One session as the entry knows it. */
interface KnownSession {
  readonly sessionId: string;
  lastSequence: number;
}

/** Sessions by sidecar, least recently used first. */
export interface EntrySessions {
  readonly bySidecar: Map<string, KnownSession>;
  readonly maxSidecars: number;
}

/** No sessions. */
export function createEntrySessions(maxSidecars: number): EntrySessions {
  return { bySidecar: new Map(), maxSidecars };
}

/** The session at hand and the number for the next dispatch; null when one must be asked for. */
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

/** Keeps a session that a sidecar gave; the same one again keeps its count. */
export function rememberSession(sessions: EntrySessions, sidecar: string, sessionId: string): void {
  const known = sessions.bySidecar.get(sidecar);
  if (known?.sessionId === sessionId) return;
  sessions.bySidecar.set(sidecar, { sessionId, lastSequence: 0 });
  const oldest = sessions.bySidecar.keys().next().value;
  const isOver = sessions.bySidecar.size > sessions.maxSidecars;
  if (isOver && oldest !== undefined) sessions.bySidecar.delete(oldest);
}

/** Drops the session with a sidecar, which restarted or refused it. */
export function forgetSession(sessions: EntrySessions, sidecar: string): void {
  sessions.bySidecar.delete(sidecar);
}
