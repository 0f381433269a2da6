/**
 * Decides which versions the version record of a service lists. The record is in the platform's store
 * and outlives all gateways, so a version that vanishes while all of them are down is still known.
 * A complete record lists every version at which a stream may have begun that can still be resumed.
 */
import { eraOf } from '../model/store-revision.js';
import { type VersionHistory, isHistoryLong, recentVersions } from './version-history.js';

/** The versions that a service had recently, as the store lists them. */
export interface VersionRecord extends RecordedVersions {
  /** Store revision of the record. */
  readonly revision: number;
}

/** What a version record holds. */
export interface RecordedVersions {
  readonly versions: readonly string[];
  /**
   * The era of the store in which the record was complete; null if it never was. A store that comes
   * back from an older copy begins another era, and its copy may lack versions.
   */
  readonly completeInEra: number | null;
}

/** What a gateway knows beside its history when it decides what a record is to hold. */
export interface RecordContext {
  readonly nowMs: number;
  /** The era of the store now. */
  readonly era: number;
  /** Whether no gateway ran before this one and those that started with it. */
  readonly isFirstStart: boolean;
}

/** The records by service. */
export type VersionRecords = Map<string, VersionRecord>;

/** Replaces the record of a service, unless a newer one is known. */
export function putVersionRecord(
  records: VersionRecords,
  service: string,
  { versions, completeInEra, revision }: VersionRecord,
): void {
  const known = records.get(service);
  if (known !== undefined && known.revision > revision) return;
  records.set(service, { versions, completeInEra, revision });
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

/** Returns whether a record is complete. */
export function isCompleteRecord(record: VersionRecord | undefined): boolean {
  return record !== undefined && record.completeInEra === eraOf(record.revision);
}

/**
 * Records what the version record lists. Versions that it did not list before count as seen now: the
 * engines of a version may have come and gone between two readings, and without this rule the
 * version would be removed from the record at once.
 */
export function noteRecordedVersions(
  history: VersionHistory,
  service: string,
  record: VersionRecord,
  nowMs: number,
): void {
  const { versions } = record;
  const listed = history.recorded.get(service) ?? [];
  const lastSeenMs = history.lastSeenMs.get(service) ?? new Map<string, number>();
  for (const version of versions) if (!listed.includes(version)) lastSeenMs.set(version, nowMs);
  history.lastSeenMs.set(service, lastSeenMs);
  history.recorded.set(service, versions);
  if (isCompleteRecord(record)) history.completeInEra.set(service, eraOf(record.revision));
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
 * Returns what the record is to hold, or null if it needs no change. A service without any recent
 * version keeps its record.
 */
export function wantedRecord(
  history: VersionHistory,
  record: VersionRecord | undefined,
  service: string,
  context: RecordContext,
): RecordedVersions | null {
  const recent = recentVersions(history, service, context.nowMs);
  const listed = record?.versions ?? [];
  const isComplete = isCompleteRecord(record) || knowsEarlierVersions(history, service, context);
  const completeInEra = isComplete ? context.era : (record?.completeInEra ?? null);
  const isCurrent =
    listed.length === recent.length &&
    recent.every((version) => listed.includes(version)) &&
    completeInEra === (record?.completeInEra ?? null);
  return recent.length === 0 || isCurrent ? null : { versions: [...recent].sort(), completeInEra };
}

/**
 * Returns whether the history has every version at which a stream may have begun: this gateway has
 * followed the fleet for longer than a stream, or has read a complete record in this era, or nobody
 * ran before.
 */
function knowsEarlierVersions(
  history: VersionHistory,
  service: string,
  { nowMs, era, isFirstStart }: RecordContext,
): boolean {
  if (isFirstStart || isHistoryLong(history, nowMs)) return true;
  return history.completeInEra.get(service) === era;
}
