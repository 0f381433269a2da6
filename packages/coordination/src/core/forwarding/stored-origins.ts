/**
 * Remembers the origins of streams that the platform's store holds: the version of the engine that a
 * turn of an attempt was assigned. They outlive all gateways, so streams can be resumed after all of
 * them were killed.
 */

/** The version that a turn of a caller's attempt was assigned. */
export type StreamAssignment = readonly [attempt: string, turn: number, version: string];

/** The version of a turn; null if two origins of the turn contradict each other. */
export interface TurnOrigin {
  readonly turn: number;
  readonly version: string | null;
}

/** A stored origin, and when this gateway has read it. */
interface ReadOrigin extends TurnOrigin {
  readonly readAtMs: number;
}

/** The stored origins by attempt, those that were read first in front. */
export type StoredOrigins = Map<string, ReadOrigin>;

/** Longer than the store keeps an origin. */
const KEPT_MS = 60_000;
/** Most attempts whose origins are kept. */
export const MAX_STORED_ORIGINS = 20_000;

/** Records origins that were read; the highest turn of an attempt counts. */
export function noteStoredOrigins(
  origins: StoredOrigins,
  streams: readonly StreamAssignment[],
  nowMs: number,
): void {
  for (const [attempt, turn, version] of streams) {
    const known = origins.get(attempt);
    const latest = latestOrigin(
      known === undefined ? [{ turn, version }] : [known, { turn, version }],
    );
    // Deleted first, since the map keeps the position of an entry that is replaced.
    origins.delete(attempt);
    if (latest !== null) origins.set(attempt, { ...latest, readAtMs: nowMs });
  }
  for (const [attempt, { readAtMs }] of origins) {
    if (origins.size <= MAX_STORED_ORIGINS && nowMs - readAtMs <= KEPT_MS) break;
    origins.delete(attempt);
  }
}

/** Returns the stored origin of an attempt, or null. */
export function storedOriginOf(
  origins: StoredOrigins,
  attempt: string,
  nowMs: number,
): TurnOrigin | null {
  const origin = origins.get(attempt);
  if (origin === undefined || nowMs - origin.readAtMs > KEPT_MS) return null;
  return { turn: origin.turn, version: origin.version };
}

/**
 * Returns the origin with the highest turn, or null if there is none. A turn is sent at another version
 * than an earlier one only once its own origin is stored, so the highest turn is the one that ran.
 * Without the contradiction rule, a turn that two schedulers assigned would be resumed at either.
 */
export function latestOrigin(origins: readonly TurnOrigin[]): TurnOrigin | null {
  if (origins.length === 0) return null;
  const turn = Math.max(...origins.map((origin) => origin.turn));
  const versions = new Set(
    origins.filter((origin) => origin.turn === turn).map(({ version }) => version),
  );
  const [version = null] = versions;
  return { turn, version: versions.size === 1 ? version : null };
}
