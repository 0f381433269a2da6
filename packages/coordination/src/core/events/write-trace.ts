/**
 * The time line in the Trace Event Format, which Perfetto and Chromium's tracing page open: one
 * process per member, an instant per event, and one asynchronous span per request from the first
 * event that names it to the last.
 */
import type { TimelineEvent } from './event.js';
import { idempotencyKeyIn } from './filter.js';
import type { Timeline, TimelineLane } from './timeline.js';

const US_PER_MS = 1_000;

/** Readings of one millisecond are set apart by a microsecond each, up to the next millisecond. */
const MAX_COUNTER_US = 999;

/** One entry of the format; its field names are the format's. */
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
  const what = target === undefined || target === '' ? kind : target;
  return `${what} ${memberId} (${failureDomain})`;
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

/** The time line as a Trace Event Format document. */
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
