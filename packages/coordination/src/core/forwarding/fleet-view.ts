/**
 * Maintains one gateway's view of the fleet from a listing of the store and the changes after it.
 * Changes may be missed, duplicated or stale; store revisions put them in order. Entries of targets
 * expire while the store is unavailable and reappear soon after it returns, so a target whose entry
 * disappears around an outage is removed only after a grace period.
 */
import {
  type CrashMemory,
  type CrashNote,
  CrashRemoval,
  CrashSource,
  type OnCrashChange,
  createCrashMemory,
  removeCrash,
  rejectWithdrawnCrash,
  retainListedCrashes,
  rewriteLostCrashes,
  addCrash,
} from './crash-memory.js';
import type { FleetConfiguration, TargetEntry } from './fleet.js';
import { type FixedUsage, rememberFixedUsage } from '../usage/fixed-usage.js';
import type { UsageCounts } from '../usage/ledger.js';
import { type RouteTable, newerRouteTable } from './route-table.js';
import { type StoredOrigins, type StreamAssignment, noteStoredOrigins } from './stored-origins.js';
import { type VersionRecords, putVersionRecord, removeVersionRecord } from './version-record.js';

/** A live gateway. */
export interface GatewayEntry {
  /** The gateway's `host:port` for calls between gateways. */
  readonly id: string;
  readonly failureDomain: string;
  /** Fraction of a CPU core that it may use. */
  readonly coreShare: number;
}

/** A gateway as other gateways see it. */
export interface AnnouncedGateway extends GatewayEntry {
  /** Store revision of its announcement, which is written at each start and after it expired. */
  readonly announcedAtRevision: number;
}

/** The kinds of fleet changes. */
export enum FleetChangeKind {
  Configuration = 'configuration',
  Target = 'target',
  TargetRemoved = 'target-removed',
  Gateway = 'gateway',
  GatewayRemoved = 'gateway-removed',
  Crash = 'crash',
  CrashRemoved = 'crash-forgotten',
  UsageFixed = 'usage-fixed',
  /** The version record of a service was written. */
  Versions = 'versions',
  VersionsRemoved = 'versions-removed',
  /** Origins of streams were written. They expire, which is no change: they stay true. */
  Streams = 'streams',
}

/** A change of the fleet. `revision` is the store's revision; a later change has a higher one. */
export type FleetChange =
  | {
      readonly kind: FleetChangeKind.Configuration;
      readonly revision: number;
      readonly configuration: FleetConfiguration;
    }
  | {
      readonly kind: FleetChangeKind.Target;
      readonly revision: number;
      readonly target: TargetEntry;
    }
  | {
      readonly kind: FleetChangeKind.Gateway;
      readonly revision: number;
      readonly gateway: GatewayEntry;
    }
  | {
      readonly kind: FleetChangeKind.Crash | FleetChangeKind.CrashRemoved;
      readonly revision: number;
      readonly crash: CrashNote;
    }
  | {
      readonly kind: FleetChangeKind.UsageFixed;
      readonly revision: number;
      readonly window: number;
      readonly counts: UsageCounts;
    }
  | {
      readonly kind: FleetChangeKind.Versions;
      readonly revision: number;
      readonly service: string;
      readonly versions: readonly string[];
      readonly completeInEra: number | null;
    }
  | {
      readonly kind: FleetChangeKind.VersionsRemoved;
      readonly revision: number;
      readonly service: string;
    }
  | {
      readonly kind: FleetChangeKind.Streams;
      readonly revision: number;
      readonly streams: readonly StreamAssignment[];
    }
  | {
      readonly kind: FleetChangeKind.TargetRemoved;
      readonly revision: number;
      readonly name: string;
    }
  | {
      readonly kind: FleetChangeKind.GatewayRemoved;
      readonly revision: number;
      readonly id: string;
    };

/** A target's entry was written. */
interface TargetWritten {
  readonly kind: FleetChangeKind.Target;
  readonly revision: number;
  readonly target: TargetEntry;
}

/** How a target's availability changed in a gateway's view. */
export enum TargetTransition {
  /** It reported that it is shutting down. */
  Draining = 'draining',
  /** Its entry is missing; it stays in use for the grace period. */
  Missing = 'missing',
  /** Its entry was written again within the grace period. */
  Reappeared = 'reappeared',
  /** It is no longer part of the fleet. */
  Removed = 'removed',
  /** Another start has taken its name. */
  Replaced = 'replaced',
  /** It is listed again after it had left, by a store that came back from an older copy. */
  Doubted = 'doubted',
}

/** Called with each transition of a target, and the store revision that caused it. */
export type OnTargetTransition = (
  transition: TargetTransition,
  target: TargetEntry,
  revision: number,
) => void;

/** A target and the state of its entry in the store. */
interface KnownTarget {
  readonly entry: TargetEntry;
  readonly revision: number;
  /** Time since which this start has been listed without a gap. */
  readonly listedSinceMs: number;
  /**
   * End of the grace period in which its entry was found missing; null while the entry exists. It
   * is fixed at that moment: a target that is still missing then has left, whatever the store does.
   */
  goneAtMs: number | null;
}

/** The entry of a target that had left, in a store that came back from an older copy. */
interface DoubtedEntry {
  readonly change: TargetWritten;
  /** From then on the target counts as one that serves, unless its entry was removed. */
  readonly untilMs: number;
}

/** What one gateway knows of the fleet. */
export interface FleetView {
  table: RouteTable | null;
  readonly targets: Map<string, KnownTarget>;
  /** Id of the newest start for each registered name. */
  readonly idsByName: Map<string, string>;
  readonly gateways: Map<string, AnnouncedGateway>;
  /** Store revision up to which all changes are applied; 0 before the first listing. */
  revision: number;
  /** Time of the last answer from the store. */
  confirmedAtMs: number;
  /** Time since which the store has answered without an outage. */
  steadySinceMs: number;
  /** Time from which an answer of the store counts as the end of an outage. */
  outageFromMs: number;
  /**
   * End of the grace period after the last outage, in which a missing entry may merely have
   * expired, or was lost as the store came back from an older copy.
   */
  graceUntilMs: number;
  /** Latest end of a grace period that begins with the last answer. */
  graceEndsByMs: number;
  /** Removal revision by name of removed targets, so that a stale change does not restore them. */
  readonly removedAtRevision: Map<string, number>;
  /** Entries by name that may come from before their targets left. */
  readonly doubted: Map<string, DoubtedEntry>;
  /** Request contents that crashed targets. */
  readonly crashes: CrashMemory;
  readonly fixedUsage: FixedUsage;
  readonly versionRecords: VersionRecords;
  readonly storedOrigins: StoredOrigins;
  readonly onTransition: OnTargetTransition;
}

/**
 * Grace period after an outage in which targets with a missing entry are kept. Expired entries are
 * back within about two seconds. New work must stop within the same time when a target really
 * leaves, so the grace period is shorter.
 */
export const EXPIRY_GRACE_MS = 1500;
/** An answer that is late by more than this counts as the end of a store outage. */
export const OUTAGE_DELAY_MS = 400;
/**
 * How long a target is not used that had left and is listed again by a store that came back from an
 * older copy. Entries of targets that are gone disappear within this time.
 */
export const DOUBT_MS = 6000;
/** Most removed targets whose removal revision is kept. */
const MAX_REMOVED_NAMES = 4096;

/** Creates an empty view. */
export function createFleetView(
  onTransition: OnTargetTransition = () => undefined,
  onCrashChange: OnCrashChange = () => undefined,
): FleetView {
  return {
    table: null,
    targets: new Map(),
    idsByName: new Map(),
    gateways: new Map(),
    revision: 0,
    confirmedAtMs: 0,
    steadySinceMs: 0,
    outageFromMs: Infinity,
    graceUntilMs: 0,
    graceEndsByMs: Infinity,
    removedAtRevision: new Map(),
    doubted: new Map(),
    crashes: createCrashMemory(onCrashChange),
    fixedUsage: new Map(),
    versionRecords: new Map(),
    storedOrigins: new Map(),
    onTransition,
  };
}

/**
 * Records that the store answered. An answer after an outage starts the grace period.
 *
 * @param nextAnswerInMs - Time within which the next answer is expected: the gateway's own pause
 * before the next call, and the time that the call waits for changes.
 * @param graceEndsByMs - Latest end of the grace period, from `latestGraceEndMs`.
 */
export function recordStoreAnswer(
  view: FleetView,
  nowMs: number,
  nextAnswerInMs: number,
  graceEndsByMs = Infinity,
): void {
  view.graceEndsByMs = graceEndsByMs;
  if (nowMs > view.outageFromMs) beginGracePeriod(view, nowMs);
  view.confirmedAtMs = nowMs;
  view.outageFromMs = nowMs + nextAnswerInMs + OUTAGE_DELAY_MS;
}

function beginGracePeriod(view: FleetView, nowMs: number): void {
  view.graceUntilMs = Math.min(nowMs + EXPIRY_GRACE_MS, view.graceEndsByMs);
  view.steadySinceMs = nowMs;
}

/** A store that came back from an older copy. */
export interface StoreRestore {
  /** When this gateway writes again what gateways had written since that copy. */
  readonly rewriteAtMs: number;
}

/**
 * Applies a complete listing and removes the targets and gateways that it does not contain.
 *
 * @param restore - Set if the store has come back from an older copy since the last reading. What
 * such a listing lacks may have been lost rather than removed.
 */
export function applyListing(
  view: FleetView,
  changes: readonly FleetChange[],
  revision: number,
  nowMs: number,
  restore: StoreRestore | null = null,
): void {
  if (restore !== null) {
    beginGracePeriod(view, nowMs);
    // Origins of later turns may have been lost before this gateway has read them.
    view.storedOrigins.clear();
  }
  const names = new Set<string>();
  const gateways = new Set<string>();
  const crashes: CrashNote[] = [];
  for (const change of changes) {
    if (change.kind === FleetChangeKind.Crash) crashes.push(change.crash);
    if (change.kind === FleetChangeKind.Target) names.add(change.target.name);
    if (change.kind === FleetChangeKind.Gateway) gateways.add(change.gateway.id);
  }
  for (const { entry } of [...view.targets.values()]) {
    if (!names.has(entry.name)) removeTarget(view, entry.name, revision, nowMs);
  }
  for (const id of view.gateways.keys()) {
    if (!gateways.has(id)) view.gateways.delete(id);
  }
  for (const name of view.doubted.keys()) {
    if (!names.has(name)) view.doubted.delete(name);
  }
  // The listing has those that are left. A record that was lost must not keep its revision, with
  // which no further write of it would succeed.
  view.versionRecords.clear();
  if (restore === null) retainListedCrashes(view.crashes, crashes);
  else rewriteLostCrashes(view.crashes, crashes, restore.rewriteAtMs);
  const isRestored = restore !== null;
  const believed = changes.filter(
    (change) =>
      !doubtEntry(view, change, isRestored, nowMs) && !(isRestored && isWithdrawn(view, change)),
  );
  applyChanges(view, believed, revision, nowMs);
}

/**
 * Puts a listed entry in doubt whose target had left, as it may come from before that. Returns whether
 * the entry is in doubt. Nobody but the gateways that knew of the departure can tell.
 */
function doubtEntry(
  view: FleetView,
  change: FleetChange,
  isRestored: boolean,
  nowMs: number,
): boolean {
  if (change.kind !== FleetChangeKind.Target || change.target.draining) return false;
  const { name } = change.target;
  const isNew = isRestored && view.removedAtRevision.has(name);
  if (isNew) {
    view.doubted.set(name, { change, untilMs: nowMs + DOUBT_MS });
    view.onTransition(TargetTransition.Doubted, change.target, change.revision);
  }
  return isNew || view.doubted.get(name)?.change.revision === change.revision;
}

function isWithdrawn({ crashes }: FleetView, change: FleetChange): boolean {
  return change.kind === FleetChangeKind.Crash && rejectWithdrawnCrash(crashes, change.crash);
}

/** Adds the targets whose entries were doubted and are still there when the doubt ends. */
export function admitDoubtedTargets(view: FleetView, nowMs: number): void {
  for (const [name, { change, untilMs }] of [...view.doubted]) {
    if (nowMs < untilMs) continue;
    view.doubted.delete(name);
    putTarget(view, change.target, change.revision, nowMs);
  }
}

/** Applies all changes up to a revision. */
export function applyChanges(
  view: FleetView,
  changes: readonly FleetChange[],
  revision: number,
  nowMs: number,
): void {
  for (const change of changes) applyChange(view, change, nowMs);
  view.revision = Math.max(view.revision, revision);
}

function applyChange(view: FleetView, change: FleetChange, nowMs: number): void {
  switch (change.kind) {
    case FleetChangeKind.Configuration:
      view.table = newerRouteTable(view.table, change.configuration);
      return;
    case FleetChangeKind.Target:
      view.doubted.delete(change.target.name);
      putTarget(view, change.target, change.revision, nowMs);
      return;
    case FleetChangeKind.TargetRemoved:
      view.doubted.delete(change.name);
      removeTarget(view, change.name, change.revision, nowMs);
      return;
    case FleetChangeKind.Gateway:
      view.gateways.set(change.gateway.id, {
        ...change.gateway,
        announcedAtRevision: change.revision,
      });
      return;
    case FleetChangeKind.GatewayRemoved:
      view.gateways.delete(change.id);
      return;
    case FleetChangeKind.Crash:
      addCrash(view.crashes, change.crash, CrashSource.Store, nowMs);
      return;
    case FleetChangeKind.CrashRemoved:
      removeCrash(view.crashes, change.crash, CrashRemoval.Store);
      return;
    case FleetChangeKind.UsageFixed:
      rememberFixedUsage(view.fixedUsage, change.window, change.counts);
      return;
    case FleetChangeKind.Versions:
      putVersionRecord(view.versionRecords, change.service, change);
      return;
    case FleetChangeKind.VersionsRemoved:
      removeVersionRecord(view.versionRecords, change.service, change.revision);
      return;
    case FleetChangeKind.Streams:
      noteStoredOrigins(view.storedOrigins, change.streams, nowMs);
      return;
  }
}

/**
 * Adds or updates a target. Each start of a target is a separate target with its own id, so that
 * requests, reports and caches of an earlier start are not attributed to a later one under the same
 * name. A late entry of an earlier start is recognized by its start time, whatever its revision.
 */
function putTarget(view: FleetView, entry: TargetEntry, revision: number, nowMs: number): void {
  const known = currentTarget(view, entry.name);
  if (known !== undefined && known.revision > revision) return;
  if ((view.removedAtRevision.get(entry.name) ?? -1) > revision) return;
  if (known !== undefined && known.entry.bornAtMs > entry.bornAtMs) return;
  // Draining is never reverted within one start, so an entry that does so is stale.
  const isSameStart = known?.entry.id === entry.id;
  if (isSameStart && known.entry.draining && !entry.draining) return;
  if (known !== undefined && !isSameStart) {
    dropTarget(view, known);
    view.onTransition(TargetTransition.Replaced, known.entry, revision);
  }
  view.removedAtRevision.delete(entry.name);
  const isListed = isSameStart && known.goneAtMs === null;
  const listedSinceMs = isListed ? known.listedSinceMs : nowMs;
  view.targets.set(entry.id, { entry, revision, listedSinceMs, goneAtMs: null });
  view.idsByName.set(entry.name, entry.id);
  const wasDraining = isSameStart && known.entry.draining;
  if (entry.draining && !wasDraining) view.onTransition(TargetTransition.Draining, entry, revision);
  const wasMissing = isSameStart && known.goneAtMs !== null;
  if (wasMissing) view.onTransition(TargetTransition.Reappeared, entry, revision);
}

function currentTarget(view: FleetView, name: string): KnownTarget | undefined {
  const id = view.idsByName.get(name);
  return id === undefined ? undefined : view.targets.get(id);
}

function dropTarget(view: FleetView, { entry }: KnownTarget): void {
  view.targets.delete(entry.id);
  if (view.idsByName.get(entry.name) === entry.id) view.idsByName.delete(entry.name);
}

function removeTarget(view: FleetView, name: string, revision: number, nowMs: number): void {
  const known = currentTarget(view, name);
  if (known === undefined || known.revision > revision) return;
  view.removedAtRevision.set(name, revision);
  const oldest = view.removedAtRevision.keys().next().value;
  if (view.removedAtRevision.size > MAX_REMOVED_NAMES && oldest !== undefined) {
    view.removedAtRevision.delete(oldest);
  }
  if (nowMs < view.graceUntilMs && !known.entry.draining) {
    if (known.goneAtMs !== null) return;
    known.goneAtMs = view.graceUntilMs;
    view.onTransition(TargetTransition.Missing, known.entry, revision);
    return;
  }
  dropTarget(view, known);
  view.onTransition(TargetTransition.Removed, known.entry, revision);
}

/** Removes targets whose entry is still missing at the end of the grace period. */
export function removeMissingTargets(view: FleetView, nowMs: number): void {
  for (const known of [...view.targets.values()]) {
    if (!isGone(known, nowMs)) continue;
    dropTarget(view, known);
    view.onTransition(TargetTransition.Removed, known.entry, view.revision);
  }
}

/**
 * Returns whether a target may receive new work. The grace period ends by the clock rather than
 * with the next update, because after an outage an update may take longer than the time within
 * which new work must stop.
 */
function mayReceiveWork(view: FleetView, known: KnownTarget, nowMs: number): boolean {
  return !known.entry.draining && !isGone(known, nowMs);
}

function isGone({ goneAtMs }: KnownTarget, nowMs: number): boolean {
  return goneAtMs !== null && nowMs >= goneAtMs;
}

/** Returns a target that may receive new work, or null if it is draining, removed or unknown. */
export function servingTarget(view: FleetView, id: string, nowMs: number): TargetEntry | null {
  const known = view.targets.get(id);
  return known !== undefined && mayReceiveWork(view, known, nowMs) ? known.entry : null;
}

/**
 * Returns whether a target has restarted since this entry, which loses all state of the earlier
 * start.
 */
export function hasRestarted(view: FleetView, { id, name }: TargetEntry): boolean {
  const newest = view.idsByName.get(name);
  return newest !== undefined && newest !== id;
}

/**
 * Returns the time since which a target has certainly lived: its entry has been listed, and the store
 * has answered without an outage, in which entries outlive their targets. Null if its entry is
 * missing or the store's answer is overdue.
 */
export function livesSinceMs(view: FleetView, id: string, nowMs: number): number | null {
  const known = view.targets.get(id);
  if (known === undefined || known.goneAtMs !== null || nowMs > view.outageFromMs) return null;
  return Math.max(known.listedSinceMs, view.steadySinceMs);
}

/** Returns the targets of a service that may receive new work. */
export function servingTargets(
  view: FleetView,
  service: string,
  nowMs: number,
): readonly TargetEntry[] {
  return [...view.targets.values()]
    .filter((known) => known.entry.service === service && mayReceiveWork(view, known, nowMs))
    .map((known) => known.entry);
}
