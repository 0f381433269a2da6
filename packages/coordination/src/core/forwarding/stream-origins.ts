/**
 * Remembers at which software version of an engine streams began, by the attempt of the caller that
 * brought the first event. A stream may only go on at that version.
 */

/** How a gateway knows the version of a stream. */
export enum OriginSource {
  /** It forwarded the first event. */
  Begun = 'begun',
  /** It granted the engine, and does not know whether that one sent anything. */
  Granted = 'granted',
}

/** The version at which a stream began, and how that is known. */
export interface StreamOrigin {
  readonly version: string;
  readonly source: OriginSource;
  /** The gateway that forwards the stream, which knows best. */
  readonly gateway: string;
  /** The turn that a grant was for; absent if it began, and from gateways of the last release. */
  readonly turn?: number;
  /** The era of the store in which it was granted; absent like the turn. */
  readonly era?: number;
}

/** The origins of recent streams, in two generations. */
export interface StreamOrigins {
  recent: Map<string, StreamOrigin>;
  older: Map<string, StreamOrigin>;
  turnedAtMs: number;
}

/** A generation ends after this time, or when it is full. Streams are far shorter. */
const GENERATION_MS = 60_000;
const MAX_PER_GENERATION = 20_000;

/** Creates an empty record. */
export function createStreamOrigins(): StreamOrigins {
  return { recent: new Map(), older: new Map(), turnedAtMs: -Infinity };
}

/** Records the origin of an attempt. A grant does not replace what was seen to begin. */
export function noteOrigin(
  origins: StreamOrigins,
  attempt: string,
  origin: StreamOrigin,
  nowMs: number,
): void {
  const isOver = nowMs - origins.turnedAtMs >= GENERATION_MS;
  if (isOver || origins.recent.size >= MAX_PER_GENERATION) {
    origins.older = origins.recent;
    origins.recent = new Map();
    origins.turnedAtMs = nowMs;
  }
  const isGrant = origin.source === OriginSource.Granted;
  if (isGrant && originOf(origins, attempt)?.source === OriginSource.Begun) return;
  origins.recent.set(attempt, origin);
}

/** Returns the origin of an attempt, or null if it is unknown. */
export function originOf(origins: StreamOrigins, attempt: string): StreamOrigin | null {
  return origins.recent.get(attempt) ?? origins.older.get(attempt) ?? null;
}

/**
 * Returns the version that several gateways agree on, or null. Whoever saw the stream begin knows
 * better than those that granted an engine, which may have failed before the first event.
 */
export function agreedVersion(origins: readonly StreamOrigin[]): string | null {
  const begun = origins.filter(({ source }) => source === OriginSource.Begun);
  const versions = new Set((begun.length > 0 ? begun : origins).map(({ version }) => version));
  const [version = null] = versions;
  return versions.size === 1 ? version : null;
}
