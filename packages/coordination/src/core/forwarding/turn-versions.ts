/**
 * Decides how the turns of one request may change between software versions before its first event.
 * The origin of an earlier turn may already be stored, so a turn at another version must have its own
 * origin stored before it is sent; otherwise the stream would be resumed at the wrong version.
 */

/** The versions that the turns of one request were assigned and run at. */
export interface TurnVersions {
  /** Null stands for an assignment whose version is not known here. */
  readonly assigned: Set<string | null>;
  /** The versions of the turns that may be running, by job id. */
  readonly open: Map<string, string>;
}

/** Creates the state of a request without turns. */
export function createTurnVersions(): TurnVersions {
  return { assigned: new Set(), open: new Map() };
}

/** Returns the version of the turns that may be running; null if none is. */
export function openVersion({ open }: TurnVersions): string | null {
  const [version = null] = open.values();
  return version;
}

/** Returns whether a turn may run at a version: no turn at another version may be running. */
export function mayRunAt({ open }: TurnVersions, version: string): boolean {
  return [...open.values()].every((each) => each === version);
}

/** Returns whether an earlier turn was, or may have been, assigned another version. */
export function isVersionChange({ assigned }: TurnVersions, version: string): boolean {
  return [...assigned].some((each) => each !== version);
}
