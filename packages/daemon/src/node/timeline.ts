/**
 * The time line of this process: a bounded ring of events, stamped with a hybrid logical clock whose
 * readings travel in a header of every call and answer between members.
 */
import {
  type ReadClock,
  type TimelineEvent,
  type TimelineQuery,
  type UnstampedEvent,
  createEventRing,
  createHybridClock,
  droppedEvents,
  mergeHybridTime,
  putEvent,
  queryEvents,
  readHybridTime,
  ringEvents,
  tickHybridClock,
  writeHybridTime,
} from '@cassiamast/coordination';

/** Header that carries the sender's reading. */
export const HYBRID_TIME_HEADER = 'x-hybrid-time';

/** The clock as the transports use it. */
export interface MessageClock {
  /** The reading to send with a message. */
  readonly now: () => string;
  /** Takes in what came with a message; anything malformed is passed over. */
  readonly hear: (header: string | string[] | undefined) => void;
}

/** What `timeline.read` answers of the ring. */
export interface TimelineReading {
  readonly events: readonly TimelineEvent[];
  readonly dropped: number;
  readonly omitted: number;
}

/** The time line of one process. */
export interface Timeline {
  readonly put: (event: UnstampedEvent) => void;
  readonly read: (query: TimelineQuery) => TimelineReading;
  readonly clock: MessageClock;
}

/** Makes an empty time line. */
export function createTimeline(process: string, capacity: number, wallMs: ReadClock): Timeline {
  const ring = createEventRing(capacity);
  const clock = createHybridClock();
  return {
    put: (event) => {
      putEvent(ring, { ...event, at: tickHybridClock(clock, wallMs()), process });
    },
    read: (query) => {
      const { events, omitted } = queryEvents(ringEvents(ring), query);
      return { events, omitted, dropped: droppedEvents(ring) };
    },
    clock: {
      now: () => writeHybridTime(tickHybridClock(clock, wallMs())),
      hear: (header) => {
        const time = typeof header === 'string' ? readHybridTime(header) : null;
        if (time !== null) mergeHybridTime(clock, time, wallMs());
      },
    },
  };
}
