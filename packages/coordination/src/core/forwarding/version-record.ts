/**
 * Decides which versions the version record of a service lists. The record is in the platform's store
 * and outlives all gateways, so a version that vanishes while all of them are down is still known.
 */
import { type VersionHistory, recentVersions } from './version-history.js';

/** The versions that a service had recently, as the store lists them. */
export interface VersionRecord {
  readonly versions: readonly string[];
  /** Store revision of the record. */
  readonly revision: number;
}

/** The records by service. */
export type VersionRecords = Map<string, VersionRecord>;

/** Replaces the record of a service, unless a newer one is known. */
export function putVersionRecord(
  records: VersionRecords,
  service: string,
  { versions, revision }: VersionRecord,
): void {
  const known = records.get(service);
  if (known !== undefined && known.revision > revision) return;
  records.set(service, { versions, revision });
}

/** Removes the record of a service, unless it was written again later. */
export function removeVersionRecord(
  records: VersionRecords,
  service: string,
  revision: number,
): void {
  const known = records.get(service);
  if (known !== undefined && known.revision <= revision) records.delete(service);
}

/**
 * Records that the store lists these versions. Those that it did not list before count as seen now: the
 * engines of a version may have come and gone between two readings, and without this rule the
 * version would be removed from the record at once.
 */
export function noteRecordedVersions(
  history: VersionHistory,
  service: string,
  versions: readonly string[],
  nowMs: number,
): void {
  const listed = history.recorded.get(service) ?? [];
  const lastSeenMs = history.lastSeenMs.get(service) ?? new Map<string, number>();
  for (const version of versions) if (!listed.includes(version)) lastSeenMs.set(version, nowMs);
  history.lastSeenMs.set(service, lastSeenMs);
  history.recorded.set(service, versions);
}

/** Returns the versions that a service had recently: those in the record, and those seen. */
export function versionsInUse(
  history: VersionHistory,
  record: VersionRecord | undefined,
  service: string,
  nowMs: number,
): readonly string[] {
  return [...new Set([...(record?.versions ?? []), ...recentVersions(history, service, nowMs)])];
}

/**
 * Returns the versions that the record is to list, or null if it needs no change. A service without
 * any recent version keeps its record.
 */
export function wantedVersions(
  history: VersionHistory,
  record: VersionRecord | undefined,
  service: string,
  nowMs: number,
): readonly string[] | null {
  const recent = recentVersions(history, service, nowMs);
  const listed = record?.versions ?? [];
  const isCurrent =
    listed.length === recent.length && recent.every((version) => listed.includes(version));
  return recent.length === 0 || isCurrent ? null : [...recent].sort();
}
