/**
 * The fleet as one gateway sees it, from a listing and the changes after it. Changes may be missed,
 * repeated or old; revisions put them in order. Entries of targets lapse while the store is away
 * and come back soon after it, so a target whose entry vanished around an outage stays in doubt for
 * a moment before it is taken as gone.
 */
import {
  type CrashMemory,
  type CrashNote,
  createCrashMemory,
  forgetCrash,
  rememberCrash,
} from './crash-memory.js';
import type { FleetConfiguration, TargetEntry } from './fleet.js';
import { type RouteTable, newerTable } from './route-table.js';

/** Another gateway that lives. */
export interface GatewayEntry {
  /** Its `host:port` for calls between gateways. */
  readonly id: string;
  readonly failureDomain: string;
  /** Part of a core that it may use. */
  readonly coreShare: number;
}

/** A gateway as the others see it. */
export interface AnnouncedGateway extends GatewayEntry {
  /** The store's revision at which it was announced: once at each start, and after a lapse. */
  readonly announcedAtRevision: number;
}

/** Kinds of change. */
export enum FleetChangeKind {
  Configuration = 'configuration',
  Target = 'target',
  TargetRemoved = 'target-removed',
  Gateway = 'gateway',
  GatewayRemoved = 'gateway-removed',
  Crash = 'crash',
  CrashForgotten = 'crash-forgotten',
}

/** One change; `revision` is the store's, and only grows. */
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
      readonly kind: FleetChangeKind.Crash | FleetChangeKind.CrashForgotten;
      readonly revision: number;
      readonly crash: CrashNote;
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

/** A target and what is known of its entry. */
interface SeenTarget {
  readonly entry: TargetEntry;
  readonly revision: number;
  /** When its entry was seen to be missing, null while it stands. */
  missingSinceMs: number | null;
}

/** What a gateway knows. */
export interface FleetView {
  table: RouteTable | null;
  readonly targets: Map<string, SeenTarget>;
  /** The newest start of each name that is registered. */
  readonly idsByName: Map<string, string>;
  readonly gateways: Map<string, AnnouncedGateway>;
  /** The store's revision up to which changes are known; 0 before the first listing. */
  revision: number;
  /** When the store last answered. */
  confirmedAtMs: number;
  /** Until when a missing entry may only have lapsed with the store. */
  doubtUntilMs: number;
  /** Names of targets that left; an old change must not bring them back. */
  readonly goneAtRevision: Map<string, number>;
  /** Requests during which targets broke off. */
  readonly crashes: CrashMemory;
}

/**
 * How long after an outage a missing entry is doubted. Entries that lapsed are back within about
 * two seconds; new work must stop within the same time of a true leaving, so the doubt is shorter.
 */
export const LAPSE_DOUBT_MS = 1500;
/** Silence of the store that counts as an outage; a waiting watch is silent for less. */
export const OUTAGE_SILENCE_MS = 2500;
/** Departures that are remembered. */
const MAX_GONE = 4096;

/** A view of nothing. */
export function createFleetView(): FleetView {
  return {
    table: null,
    targets: new Map(),
    idsByName: new Map(),
    gateways: new Map(),
    revision: 0,
    confirmedAtMs: 0,
    doubtUntilMs: 0,
    goneAtRevision: new Map(),
    crashes: createCrashMemory(),
  };
}

/** The store answered: the view is confirmed up to now. */
export function noteStoreAnswer(view: FleetView, nowMs: number): void {
  const wasAway = view.revision > 0 && nowMs - view.confirmedAtMs > OUTAGE_SILENCE_MS;
  if (wasAway) view.doubtUntilMs = nowMs + LAPSE_DOUBT_MS;
  view.confirmedAtMs = nowMs;
}

/** Takes in a whole listing: what it lacks has left. */
export function applyListing(
  view: FleetView,
  changes: readonly FleetChange[],
  revision: number,
  nowMs: number,
): void {
  const names = new Set<string>();
  const gateways = new Set<string>();
  for (const change of changes) {
    if (change.kind === FleetChangeKind.Target) names.add(change.target.name);
    if (change.kind === FleetChangeKind.Gateway) gateways.add(change.gateway.id);
  }
  for (const { entry } of [...view.targets.values()]) {
    if (!names.has(entry.name)) removeTarget(view, entry.name, revision, nowMs);
  }
  for (const id of view.gateways.keys()) {
    if (!gateways.has(id)) view.gateways.delete(id);
  }
  applyChanges(view, changes, revision, nowMs);
}

/** Takes in changes up to a revision. */
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
      view.table = newerTable(view.table, change.configuration);
      return;
    case FleetChangeKind.Target:
      putTarget(view, change.target, change.revision);
      return;
    case FleetChangeKind.TargetRemoved:
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
      rememberCrash(view.crashes, change.crash);
      return;
    case FleetChangeKind.CrashForgotten:
      forgetCrash(view.crashes, change.crash);
      return;
  }
}

/**
 * Guards against a target that starts again under its name: it shows as requests, reports and
 * caches of the earlier start that are taken for the new one's. Each start is a target of its own,
 * so all that is known by id ends with it; an entry of an earlier start that arrives late is older
 * by its birth, whatever its revision says.
 */
function putTarget(view: FleetView, entry: TargetEntry, revision: number): void {
  const known = currentOf(view, entry.name);
  if (known !== undefined && known.revision > revision) return;
  if ((view.goneAtRevision.get(entry.name) ?? -1) > revision) return;
  if (known !== undefined && known.entry.bornAtMs > entry.bornAtMs) return;
  // A target that reports its leaving never takes that back; only an old entry says otherwise.
  const isSameStart = known?.entry.id === entry.id;
  if (isSameStart && known.entry.draining && !entry.draining) return;
  if (known !== undefined && !isSameStart) dropTarget(view, known);
  view.goneAtRevision.delete(entry.name);
  view.targets.set(entry.id, { entry, revision, missingSinceMs: null });
  view.idsByName.set(entry.name, entry.id);
}

function currentOf(view: FleetView, name: string): SeenTarget | undefined {
  const id = view.idsByName.get(name);
  return id === undefined ? undefined : view.targets.get(id);
}

function dropTarget(view: FleetView, { entry }: SeenTarget): void {
  view.targets.delete(entry.id);
  if (view.idsByName.get(entry.name) === entry.id) view.idsByName.delete(entry.name);
}

function removeTarget(view: FleetView, name: string, revision: number, nowMs: number): void {
  const known = currentOf(view, name);
  if (known === undefined || known.revision > revision) return;
  view.goneAtRevision.set(name, revision);
  const oldest = view.goneAtRevision.keys().next().value;
  if (view.goneAtRevision.size > MAX_GONE && oldest !== undefined) {
    view.goneAtRevision.delete(oldest);
  }
  if (nowMs < view.doubtUntilMs && !known.entry.draining) known.missingSinceMs = nowMs;
  else dropTarget(view, known);
}

/** Drops targets whose doubt has passed. */
export function settleDoubts(view: FleetView, nowMs: number): void {
  for (const seen of [...view.targets.values()]) {
    if (seen.missingSinceMs !== null && nowMs >= view.doubtUntilMs) dropTarget(view, seen);
  }
}

/**
 * Whether a target may take work. A doubt ends by the clock, not with the next news: after an outage
 * news may take longer than the time in which new work must stop.
 */
function maySend(view: FleetView, seen: SeenTarget, nowMs: number): boolean {
  const isGone = seen.missingSinceMs !== null && nowMs >= view.doubtUntilMs;
  return !seen.entry.draining && !isGone;
}

/** A target that may take work, null where it leaves, is gone or was never there. */
export function servingTarget(view: FleetView, id: string, nowMs: number): TargetEntry | null {
  const seen = view.targets.get(id);
  return seen !== undefined && maySend(view, seen, nowMs) ? seen.entry : null;
}

/** Whether a target has started again since: nothing that the earlier start held is there. */
export function hasStartedAgain(view: FleetView, { id, name }: TargetEntry): boolean {
  const newest = view.idsByName.get(name);
  return newest !== undefined && newest !== id;
}

/** The targets of a service that may take work. */
export function servingTargets(
  view: FleetView,
  service: string,
  nowMs: number,
): readonly TargetEntry[] {
  return [...view.targets.values()]
    .filter((seen) => seen.entry.service === service && maySend(view, seen, nowMs))
    .map((seen) => seen.entry);
}
