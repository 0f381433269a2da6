/** Ring, filters, order and writers of the time line. */
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
import { STORY, STORY_PROCESSES, STORY_REQUEST } from '../../fixtures/timelines.js';

const EVENTS = STORY.events;

function kindsFor(filter: Parameters<typeof matchesFilter>[0]): EventKind[] {
  return EVENTS.filter((event) => matchesFilter(filter, event)).map(({ kind }) => kind);
}

describe('the time line', () => {
  describe('the ring of a process', () => {
    it('keeps the latest events in order and counts those it lost', () => {
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
    it('tell one request’s story by its whole key or its idempotency key', () => {
      const story = kindsFor({ request: STORY_REQUEST });
      assert.deepEqual(story, [
        EventKind.RequestAccepted,
        EventKind.RequestDispatched,
        EventKind.RequestRetried,
        EventKind.RequestTakenOver,
        EventKind.RequestAnswered,
      ]);
      assert.deepEqual(kindsFor({ request: 'finding-7' }), story);
      assert.deepEqual(kindsFor({ request: 'finding-7', workspace: 'other' }), []);
    });

    it('choose by target, service and kind', () => {
      assert.deepEqual(kindsFor({ target: 'inspect-1' }), [
        EventKind.RequestDispatched,
        EventKind.EngineCrashed,
      ]);
      assert.deepEqual(kindsFor({ kinds: [EventKind.AuthorityGained], service: 'inspect-llm' }), [
        EventKind.AuthorityGained,
      ]);
    });

    it('answer with the latest events up to the limit and count the rest', () => {
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
    it('orders the events of all processes, whatever order they came in', () => {
      const reversed = mergeTimelines([...STORY_PROCESSES].reverse(), STORY.unreachable);
      assert.deepEqual(reversed, STORY);
      for (const [index, event] of EVENTS.entries()) {
        const next = EVENTS[index + 1];
        if (next !== undefined) assert.ok(compareEvents(event, next) < 0);
      }
    });

    it('says what is missing', () => {
      const processes = STORY_PROCESSES.map((each) => ({ ...each, dropped: 2, omitted: 1 }));
      const missing = missingFrom(mergeTimelines(processes, STORY.unreachable));
      assert.equal(missing.length, 1 + 2 * STORY_PROCESSES.length);
      assert.equal(missing[0], '10.3.0.11:7000 could not be reached: connection refused');
    });
  });

  describe('writers', () => {
    it('text: a line per event, and first what is missing', () => {
      const lines = timelineText(STORY).trimEnd().split('\n');
      assert.match(lines[0] ?? '', /^# 10\.3\.0\.11:7000 could not be reached/);
      assert.equal(lines.length, EVENTS.length + 1);
      const crash = lines.find((line) => line.includes('engine-crashed')) ?? '';
      assert.match(crash, /^06:00:00\.240Z 10\.1\.0\.11:7000 .* target inspect-1 .* running=3$/);
    });

    it('JSON: the whole time line', () => {
      assert.deepEqual(JSON.parse(timelineJson(STORY)), JSON.parse(JSON.stringify(STORY)));
    });

    it('Trace Event Format: named processes, instants and a span per request', () => {
      const { traceEvents } = JSON.parse(timelineTrace(STORY)) as { traceEvents: TraceEvent[] };
      const phases = traceEvents.map(({ ph }) => ph);
      assert.equal(phases.filter((ph) => ph === 'M').length, STORY.lanes.length);
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

    it('HTML: self-contained, and no value of an event becomes markup', () => {
      const page = timelinePage(STORY);
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
