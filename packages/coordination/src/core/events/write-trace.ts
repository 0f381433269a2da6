/**
 * Writes the time line in the Trace Event Format, which Perfetto and Chromium's tracing page can
 * open: one process per member, one instant event per event, and one asynchronous span per request
 * from its first event to its last.
 */
import type { TimelineEvent } from './event.js';
import { idempotencyKeyIn } from './filter.js';
import type { Timeline, TimelineLane } from './timeline.js';

const US_PER_MS = 1_000;

/** Events in the same millisecond are one microsecond apart, up to the next millisecond. */
const MAX_COUNTER_US = 999;

/** An entry in the Trace Event Format, which defines the field names. */
export interface TraceEvent {
  readonly name: string;
  readonly cat: string;
  readonly ph: 'M' | 'i' | 'b' | 'e';
  readonly ts: number;
  readonly pid: number;
  readonly tid: number;
  readonly id?: string;
  readonly s?: 'p';
  readonly args: Readonly<Record<string, unknown>>;
}

function timestampUs({ at }: TimelineEvent): number {
  return at.wallMs * US_PER_MS + Math.min(at.counter, MAX_COUNTER_US);
}

function laneName({ memberId, kind, failureDomain, target }: TimelineLane): string {
  const label = target === undefined || target === '' ? kind : target;
  return `${label} ${memberId} (${failureDomain})`;
}

function processEntries(lanes: readonly TimelineLane[]): TraceEvent[] {
  return lanes.map((lane, index) => ({
    name: 'process_name',
    cat: '__metadata',
    ph: 'M',
    ts: 0,
    pid: index + 1,
    tid: 0,
    args: { name: laneName(lane) },
  }));
}

function instantEntry(event: TimelineEvent, pid: number): TraceEvent {
  const { kind, at, process, ...args } = event;
  return {
    name: kind,
    cat: event.service ?? 'process',
    ph: 'i',
    s: 'p',
    ts: timestampUs(event),
    pid,
    tid: 0,
    args: { ...args, process, counter: at.counter },
  };
}

function spanEntries(
  events: readonly TimelineEvent[],
  pidOf: (event: TimelineEvent) => number,
): TraceEvent[] {
  const spans = new Map<string, { first: TimelineEvent; last: TimelineEvent }>();
  for (const event of events) {
    if (event.request === undefined) continue;
    const span = spans.get(event.request);
    if (span === undefined) spans.set(event.request, { first: event, last: event });
    else span.last = event;
  }
  return [...spans].flatMap(([request, { first, last }]) => {
    const pid = pidOf(first);
    const name = idempotencyKeyIn(request) ?? request;
    const common = { name, cat: 'request', pid, tid: 0, id: request };
    return [
      { ...common, ph: 'b' as const, ts: timestampUs(first), args: { request } },
      { ...common, ph: 'e' as const, ts: timestampUs(last), args: {} },
    ];
  });
}

/** Formats the time line as a Trace Event Format document. */
export function timelineTrace(timeline: Timeline): string {
  const pids = new Map(timeline.lanes.map(({ memberId }, index) => [memberId, index + 1]));
  const pidOf = (event: TimelineEvent): number => pids.get(event.process) ?? 0;
  const traceEvents = [
    ...processEntries(timeline.lanes),
    ...timeline.events.map((event) => instantEntry(event, pidOf(event))),
    ...spanEntries(timeline.events, pidOf),
  ];
  return `${JSON.stringify({ displayTimeUnit: 'ms', traceEvents })}\n`;
}
