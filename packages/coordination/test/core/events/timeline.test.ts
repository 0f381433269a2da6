/** Ring buffer, filters, order and writers of the time line. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { EventKind } from '../../../src/core/events/event.js';
import { matchesFilter, MAX_QUERY_EVENTS, queryEvents } from '../../../src/core/events/filter.js';
import { timelinePage } from '../../../src/core/events/page/page.js';
import {
  createEventRing,
  droppedEvents,
  putEvent,
  ringEvents,
} from '../../../src/core/events/ring.js';
import { compareEvents, mergeTimelines, missingFrom } from '../../../src/core/events/timeline.js';
import { timelineJson, timelineText } from '../../../src/core/events/write-text.js';
import { timelineTrace, type TraceEvent } from '../../../src/core/events/write-trace.js';
import { SAMPLE_TIMELINE, SAMPLE_PROCESSES, SAMPLE_REQUEST } from '../../fixtures/timelines.js';

const EVENTS = SAMPLE_TIMELINE.events;

function kindsFor(filter: Parameters<typeof matchesFilter>[0]): EventKind[] {
  return EVENTS.filter((event) => matchesFilter(filter, event)).map(({ kind }) => kind);
}

describe('the time line', () => {
  describe('the ring buffer of a process', () => {
    it('keeps the latest events in order and counts the overwritten ones', () => {
      const ring = createEventRing(3);
      for (const event of EVENTS.slice(0, 5)) putEvent(ring, event);
      assert.deepEqual(ringEvents(ring), EVENTS.slice(2, 5));
      assert.equal(droppedEvents(ring), 2);
      assert.equal(ring.slots.length, 3);
    });

    it('loses nothing before it is full', () => {
      const ring = createEventRing(3);
      for (const event of EVENTS.slice(0, 2)) putEvent(ring, event);
      assert.deepEqual(ringEvents(ring), EVENTS.slice(0, 2));
      assert.equal(droppedEvents(ring), 0);
    });
  });

  describe('filters', () => {
    it('select the events of a request by its whole key or its idempotency key', () => {
      const requestKinds = kindsFor({ request: SAMPLE_REQUEST });
      assert.deepEqual(requestKinds, [
        EventKind.RequestAccepted,
        EventKind.RequestDispatched,
        EventKind.RequestRetried,
        EventKind.RequestTakenOver,
        EventKind.RequestAnswered,
      ]);
      assert.deepEqual(kindsFor({ request: 'finding-7' }), requestKinds);
      assert.deepEqual(kindsFor({ request: 'finding-7', workspace: 'other' }), []);
    });

    it('select by target, service and kind', () => {
      assert.deepEqual(kindsFor({ target: 'inspect-1' }), [
        EventKind.RequestDispatched,
        EventKind.EngineCrashed,
      ]);
      assert.deepEqual(kindsFor({ kinds: [EventKind.AuthorityGained], service: 'inspect-llm' }), [
        EventKind.AuthorityGained,
      ]);
    });

    it('return the latest events up to the limit and count the rest', () => {
      const { events, omitted } = queryEvents(EVENTS, { limit: 2 });
      assert.deepEqual(events, EVENTS.slice(-2));
      assert.equal(omitted, EVENTS.length - 2);
      assert.deepEqual(queryEvents(EVENTS, { limit: Number.NaN }).events.length, EVENTS.length);
      const many = Array.from({ length: MAX_QUERY_EVENTS + 1 }, () => EVENTS[0]).flatMap(
        (e) => e ?? [],
      );
      assert.equal(queryEvents(many, { limit: 1e9 }).events.length, MAX_QUERY_EVENTS);
    });
  });

  describe('merging', () => {
    it('orders the events of all processes, whatever the order of the answers', () => {
      const reversed = mergeTimelines([...SAMPLE_PROCESSES].reverse(), SAMPLE_TIMELINE.unreachable);
      assert.deepEqual(reversed, SAMPLE_TIMELINE);
      for (const [index, event] of EVENTS.entries()) {
        const next = EVENTS[index + 1];
        if (next !== undefined) assert.ok(compareEvents(event, next) < 0);
      }
    });

    it('reports what is missing', () => {
      const processes = SAMPLE_PROCESSES.map((each) => ({ ...each, dropped: 2, omitted: 1 }));
      const missing = missingFrom(mergeTimelines(processes, SAMPLE_TIMELINE.unreachable));
      assert.equal(missing.length, 1 + 2 * SAMPLE_PROCESSES.length);
      assert.equal(missing[0], '10.3.0.11:7000 could not be reached: connection refused');
    });
  });

  describe('writers', () => {
    it('text: the gaps first, then a line per event', () => {
      const lines = timelineText(SAMPLE_TIMELINE).trimEnd().split('\n');
      assert.match(lines[0] ?? '', /^# 10\.3\.0\.11:7000 could not be reached/);
      assert.equal(lines.length, EVENTS.length + 1);
      const crash = lines.find((line) => line.includes('engine-crashed')) ?? '';
      assert.match(crash, /^06:00:00\.240Z 10\.1\.0\.11:7000 .* target inspect-1 .* running=3$/);
    });

    it('JSON: the complete time line', () => {
      assert.deepEqual(
        JSON.parse(timelineJson(SAMPLE_TIMELINE)),
        JSON.parse(JSON.stringify(SAMPLE_TIMELINE)),
      );
    });

    it('Trace Event Format: named processes, instants and a span per request', () => {
      const { traceEvents } = JSON.parse(timelineTrace(SAMPLE_TIMELINE)) as {
        traceEvents: TraceEvent[];
      };
      const phases = traceEvents.map(({ ph }) => ph);
      assert.equal(phases.filter((ph) => ph === 'M').length, SAMPLE_TIMELINE.lanes.length);
      assert.equal(phases.filter((ph) => ph === 'i').length, EVENTS.length);
      const span = traceEvents.filter(({ cat }) => cat === 'request');
      assert.deepEqual(
        span.map(({ ph, name }) => [ph, name]),
        [
          ['b', 'finding-7'],
          ['e', 'finding-7'],
        ],
      );
      assert.equal((span[1]?.ts ?? 0) - (span[0]?.ts ?? 0), 510_000);
    });

    it('HTML: self-contained, and event values are never markup', () => {
      const page = timelinePage(SAMPLE_TIMELINE);
      assert.doesNotMatch(page, /https?:\/\//);
      assert.doesNotMatch(page, /<b>"x"/);
      assert.equal(page.match(/<\/script>/g)?.length, 2);
      assert.match(page, /Not on this page/);
      const json = /id="data">(.*?)<\/script>/s.exec(page)?.[1] ?? '';
      const data = JSON.parse(json) as { events: unknown[] };
      assert.equal(data.events.length, EVENTS.length);
    });
  });
});
