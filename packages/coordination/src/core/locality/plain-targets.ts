/**
 * Chooses among the targets of one plain service for one gateway. The gateway sees only its own
 * requests; the load that others put on a target shows in the response times.
 */
import { type AverageTime, createAverageTime, recordServiceTime } from './average-time.js';
import { type BusyTime, addBusyTime, busyTimeAt, createBusyTime } from './busy-time.js';
import { type LeavingShare, createLeavingShare } from './leaving-share.js';
import { type LocalityDecision, decideLocality } from './locality-decision.js';
import type { LocalityOptions } from './options.js';
import {
  type RecentTime,
  createRecentTime,
  recentTimeAt,
  recordRecentTime,
} from './recent-time.js';
import { type Slowness, createSlowness, recordSlowness, slownessAt } from './slowness.js';

/** A target that may take the request. */
export interface PlainTarget {
  readonly id: string;
  readonly failureDomain: string;
  /** Requests that it serves at once; 0 if it does not say. */
  readonly slots: number;
}

/** What a gateway knows of one target. */
interface KnownTarget {
  readonly slowness: Slowness;
  readonly busy: BusyTime;
  inFlight: number;
  /** Mean number of requests in flight while the response times were measured. */
  usualInFlight: number;
  readonly recent: RecentTime;
}

/** What a gateway knows of the targets of one service. */
export interface PlainTargets {
  readonly average: AverageTime;
  readonly byId: Map<string, KnownTarget>;
  readonly leaving: LeavingShare;
}

/** A request that was sent to a target. */
export interface SentRequest {
  readonly id: string;
  readonly isLocal: boolean;
  readonly sentAtMs: number;
  /** Requests of this gateway that the target had before it. */
  readonly inFlight: number;
}

/** A candidate with the cost that its choice adds. */
export interface PlainCandidate<T extends PlainTarget> {
  readonly target: T;
  readonly isLocal: boolean;
  readonly expectedMs: number;
  readonly balanceMs: number;
  readonly isKnown: boolean;
}

/**
 * Bound of the table; far above the targets of a service. Beyond it the least recently used target
 * without requests in flight is forgotten.
 */
const MAX_KNOWN_TARGETS = 4096;

/** Returns the neutral state of a service. */
export function createPlainTargets(): PlainTargets {
  return { average: createAverageTime(), byId: new Map(), leaving: createLeavingShare() };
}

/**
 * Chooses the target of a request of a gateway in the given failure domain; null without candidates.
 * `random` (0 to 1) breaks ties.
 */
export function choosePlainTarget<T extends PlainTarget>(
  targets: PlainTargets,
  entries: readonly T[],
  failureDomain: string,
  options: LocalityOptions,
  random: () => number,
  nowMs: number,
): LocalityDecision<PlainCandidate<T>> | null {
  const usable = entries.filter((entry) => mayUse(targets, entry, failureDomain, nowMs));
  const candidates = (usable.length > 0 ? usable : entries).map((target): PlainCandidate<T> => {
    const known = targets.byId.get(target.id);
    const slots = slotsOf(target);
    const busyMs = known === undefined ? 0 : busyTimeAt(known.busy, nowMs) / slots;
    const expectedMs = expectedServiceMs(targets, known, nowMs) * crowdingOf(known, slots);
    return {
      target,
      isLocal: target.failureDomain === failureDomain,
      expectedMs,
      balanceMs: busyMs + random() * TIE_BREAK_MS,
      isKnown: isKnownAt(known, nowMs),
    };
  });
  return decideLocality(candidates, targets.leaving, options, nowMs);
}

/**
 * Returns whether a target may be used: one of another domain whose speed is not known yet gets one
 * request at a time. Without this limit, gateways that know a free domain only by its average
 * flooded it.
 */
function mayUse(
  targets: PlainTargets,
  target: PlainTarget,
  failureDomain: string,
  nowMs: number,
): boolean {
  const known = targets.byId.get(target.id);
  if (target.failureDomain === failureDomain || known === undefined || known.inFlight === 0) {
    return true;
  }
  return isKnownAt(known, nowMs);
}

function isKnownAt(known: KnownTarget | undefined, nowMs: number): boolean {
  if (known === undefined) return false;
  slownessAt(known.slowness, nowMs);
  return known.slowness.isKnown;
}

/** Far below any service time. */
const TIE_BREAK_MS = 0.1;

/** Records that a request is sent to a target. */
export function notePlainSent(
  targets: PlainTargets,
  target: PlainTarget,
  failureDomain: string,
  nowMs: number,
): SentRequest {
  const known = targets.byId.get(target.id) ?? {
    slowness: createSlowness(),
    busy: createBusyTime(),
    inFlight: 0,
    usualInFlight: 0,
    recent: createRecentTime(),
  };
  const sent: SentRequest = {
    id: target.id,
    isLocal: target.failureDomain === failureDomain,
    sentAtMs: nowMs,
    inFlight: known.inFlight,
  };
  addBusyTime(known.busy, expectedServiceMs(targets, known, nowMs), nowMs);
  known.inFlight += 1;
  // Reinserted at the end so that the least recently used target is first in the map.
  targets.byId.delete(target.id);
  targets.byId.set(target.id, known);
  if (targets.byId.size > MAX_KNOWN_TARGETS) forgetOne(targets);
  return sent;
}

/**
 * Records that a request ended. `isMeasured`: its duration tells the speed of the target, because it
 * was answered, or because it was given up while it took too long.
 */
export function notePlainDone(
  targets: PlainTargets,
  sent: SentRequest,
  isMeasured: boolean,
  options: LocalityOptions,
  nowMs: number,
): void {
  const known = targets.byId.get(sent.id);
  if (known !== undefined) known.inFlight = Math.max(0, known.inFlight - 1);
  if (!isMeasured) return;
  const networkMs = sent.isLocal ? 0 : options.roundTripMs;
  const responseMs = Math.max(0, nowMs - sent.sentAtMs - networkMs);
  recordServiceTime(targets.average, responseMs, nowMs);
  if (known === undefined) return;
  recordSlowness(known.slowness, responseMs, targets.average.meanMs, nowMs);
  const lastingMs = targets.average.meanMs * slownessAt(known.slowness, nowMs);
  recordRecentTime(known.recent, responseMs, lastingMs, nowMs);
  known.usualInFlight += IN_FLIGHT_WEIGHT * (sent.inFlight - known.usualInFlight);
}

function expectedServiceMs(
  { average }: PlainTargets,
  known: KnownTarget | undefined,
  nowMs: number,
): number {
  if (known === undefined) return average.meanMs;
  const lastingMs = average.meanMs * slownessAt(known.slowness, nowMs);
  return recentTimeAt(known.recent, lastingMs, nowMs);
}

/** Weight of a new sample of the requests in flight. */
const IN_FLIGHT_WEIGHT = 0.05;

/**
 * Returns by how much one more request takes longer than the measured ones, because this gateway has
 * more requests in flight than the target has slots, and more than while it measured. Response times
 * that are outstanding, as those of a target that has stalled, show only in this number.
 */
function crowdingOf(known: KnownTarget | undefined, slots: number): number {
  if (known === undefined) return 1;
  return Math.max(1, (known.inFlight + 1) / Math.max(slots, known.usualInFlight + 1));
}

function slotsOf({ slots }: PlainTarget): number {
  return Math.max(1, slots);
}

function forgetOne(targets: PlainTargets): void {
  for (const [id, { inFlight }] of targets.byId) {
    if (inFlight > 0) continue;
    targets.byId.delete(id);
    return;
  }
}
