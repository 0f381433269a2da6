/**
 * The time line of this process: a ring buffer of events with timestamps of a hybrid logical clock.
 * Every call and answer between members carries a timestamp of the clock in a header.
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

/** Header that carries the sender's timestamp. */
export const HYBRID_TIME_HEADER = 'x-hybrid-time';

/** The hybrid logical clock as the transports use it. */
export interface MessageClock {
  /** Returns the timestamp to send with a message. */
  readonly now: () => string;
  /** Merges the timestamp of a received message into the clock; ignores a malformed one. */
  readonly receiveTimestamp: (header: string | string[] | undefined) => void;
}

/** The part of the answer to `timeline.read` that comes from the ring buffer. */
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

/** Creates an empty time line. */
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
      receiveTimestamp: (header) => {
        const time = typeof header === 'string' ? readHybridTime(header) : null;
        if (time !== null) mergeHybridTime(clock, time, wallMs());
      },
    },
  };
}
