/**
 * The time line over all processes: their events in causal order, and what is missing from it.
 */
import type { MemberKind } from '../model/member.js';
import type { ProcessTimeline } from '../status/status.js';
import type { TimelineEvent } from './event.js';
import { compareHybridTimes } from './hybrid-clock.js';

/** A process whose events could not be had. */
export interface UnreachableProcess {
  readonly memberId: string;
  /** Why, in one sentence. */
  readonly reason: string;
}

/** One process of the time line; a lane of its page. */
export interface TimelineLane {
  readonly memberId: string;
  readonly kind: MemberKind;
  readonly failureDomain: string;
  /** The target beside a sidecar; empty or absent for an entry. */
  readonly target?: string;
  readonly events: number;
  /** Events lost to the bound of its ring since it started. */
  readonly dropped: number;
  /** Matching events left out by the query's limit. */
  readonly omitted: number;
}

/** Everything that was gathered. */
export interface Timeline {
  /** In causal order. */
  readonly events: readonly TimelineEvent[];
  readonly lanes: readonly TimelineLane[];
  readonly unreachable: readonly UnreachableProcess[];
}

/** Orders events: by hybrid time, then by process so that the order is the same everywhere. */
export function compareEvents(a: TimelineEvent, b: TimelineEvent): number {
  return compareHybridTimes(a.at, b.at) || compareTexts(a.process, b.process);
}

function compareTexts(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}

/** Puts the answers of many processes together. */
export function mergeTimelines(
  processes: readonly ProcessTimeline[],
  unreachable: readonly UnreachableProcess[],
): Timeline {
  const events = processes.flatMap((process) => process.events).sort(compareEvents);
  const lanes = processes
    .map(({ events: own, ...process }) => ({ ...process, events: own.length }))
    .sort(compareLanes);
  return { events, lanes, unreachable };
}

function compareLanes(a: TimelineLane, b: TimelineLane): number {
  return (
    compareTexts(a.kind, b.kind) ||
    compareTexts(a.failureDomain, b.failureDomain) ||
    compareTexts(a.memberId, b.memberId)
  );
}

/** One sentence for each thing that the time line lacks; none when it is whole. */
export function missingFrom(timeline: Timeline): readonly string[] {
  const unreachable = timeline.unreachable.map(
    ({ memberId, reason }) => `${memberId} could not be reached: ${reason}`,
  );
  const dropped = timeline.lanes
    .filter((lane) => lane.dropped > 0)
    .map((lane) => `${lane.memberId} no longer has its ${String(lane.dropped)} oldest events`);
  const omitted = timeline.lanes
    .filter((lane) => lane.omitted > 0)
    .map((lane) => `${lane.memberId} left out ${String(lane.omitted)} matching events`);
  return [...unreachable, ...dropped, ...omitted];
}
