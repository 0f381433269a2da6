/**
 * Merges the events of all processes into one time line in causal order, and reports which events
 * are missing from it.
 */
import type { MemberKind } from '../model/member.js';
import type { ProcessTimeline } from '../status/status.js';
import type { TimelineEvent } from './event.js';
import { compareHybridTimes } from './hybrid-clock.js';

/** A process whose events could not be fetched. */
export interface UnreachableProcess {
  readonly memberId: string;
  /** Why it could not be reached, in one sentence. */
  readonly reason: string;
}

/** A process in the time line, shown as a lane on the page. */
export interface TimelineLane {
  readonly memberId: string;
  readonly kind: MemberKind;
  readonly failureDomain: string;
  /** The target beside a sidecar; empty or absent for an entry. */
  readonly target?: string;
  /** Number of its events in the time line. */
  readonly events: number;
  /** Number of events overwritten in its ring buffer since it started. */
  readonly dropped: number;
  /** Number of matching events omitted because of the query's limit. */
  readonly omitted: number;
}

/** The merged time line. */
export interface Timeline {
  /** In causal order. */
  readonly events: readonly TimelineEvent[];
  readonly lanes: readonly TimelineLane[];
  readonly unreachable: readonly UnreachableProcess[];
}

/**
 * Compares events by hybrid time, then by process, so that every process sorts them the same way.
 */
export function compareEvents(a: TimelineEvent, b: TimelineEvent): number {
  return compareHybridTimes(a.at, b.at) || compareTexts(a.process, b.process);
}

function compareTexts(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}

/** Merges the answers of several processes. */
export function mergeTimelines(
  processes: readonly ProcessTimeline[],
  unreachable: readonly UnreachableProcess[],
): Timeline {
  const events = processes.flatMap((process) => process.events).sort(compareEvents);
  const lanes = processes
    .map(({ events: processEvents, ...process }) => ({ ...process, events: processEvents.length }))
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

/** Returns one sentence for each gap in the time line; empty if it is complete. */
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
