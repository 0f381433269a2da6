/** Remembers which software versions the targets of each service had lately. */
import type { TargetEntry } from './fleet.js';

type VersionedTarget = Pick<TargetEntry, 'service' | 'version'>;

/** The versions of each service, with the time at which each was last seen. */
export interface VersionHistory {
  readonly lastSeenMs: Map<string, Map<string, number>>;
  /** The versions that the version record of each service listed last. */
  readonly recorded: Map<string, readonly string[]>;
  /** The latest era of the store in which the version record of a service was read as complete. */
  readonly completeInEra: Map<string, number>;
  /** The targets that were listed last. */
  listed: readonly VersionedTarget[];
  /** Since when the fleet has been followed; null before its first listing. */
  followedSinceMs: number | null;
}

/** Longer than a stream and the pauses of its caller. */
const RECENT_MS = 120_000;

/** Creates an empty history. */
export function createVersionHistory(): VersionHistory {
  return {
    lastSeenMs: new Map(),
    recorded: new Map(),
    completeInEra: new Map(),
    listed: [],
    followedSinceMs: null,
  };
}

/**
 * Records the versions of all targets that are listed now. Those that were listed until now count as
 * seen as well: after a time without news, streams may have begun at them up to now.
 */
export function noteVersions(
  history: VersionHistory,
  entries: readonly VersionedTarget[],
  nowMs: number,
): void {
  history.followedSinceMs ??= nowMs;
  for (const { service, version } of [...history.listed, ...entries]) {
    const versions = history.lastSeenMs.get(service) ?? new Map<string, number>();
    versions.set(version, nowMs);
    history.lastSeenMs.set(service, versions);
  }
  history.listed = entries;
}

/**
 * Records that the store came back from an older copy. Versions that were recorded and not read before
 * it may be lost, so what this gateway knows no longer shows that there were no others.
 */
export function noteHistoryGap(history: VersionHistory, nowMs: number): void {
  history.followedSinceMs = nowMs;
  history.completeInEra.clear();
}

/** Returns the versions that a service had lately. */
export function recentVersions(
  { lastSeenMs }: VersionHistory,
  service: string,
  nowMs: number,
): readonly string[] {
  const versions = lastSeenMs.get(service) ?? new Map<string, number>();
  for (const [version, seenAtMs] of versions) {
    if (nowMs - seenAtMs > RECENT_MS) versions.delete(version);
  }
  return [...versions.keys()];
}

/** Returns whether the history is as long as a stream can be. */
export function isHistoryLong({ followedSinceMs }: VersionHistory, nowMs: number): boolean {
  return followedSinceMs !== null && nowMs - followedSinceMs > RECENT_MS;
}
