/**
 * Keeps the latest events of a process in a ring buffer of fixed size. A burst of events overwrites
 * the oldest ones instead of using more memory, and the number of overwritten events is reported.
 */
import type { TimelineEvent } from './event.js';

/** Default number of events kept by a process; about 1 MB. */
export const DEFAULT_RING_CAPACITY = 4_000;

/** The ring buffer. Read it with {@link ringEvents}. */
export interface EventRing {
  readonly capacity: number;
  readonly slots: TimelineEvent[];
  /** Total number of events added. */
  written: number;
}

/** Creates an empty ring buffer. */
export function createEventRing(capacity: number = DEFAULT_RING_CAPACITY): EventRing {
  return { capacity: Math.max(1, Math.floor(capacity)), slots: [], written: 0 };
}

/** Adds an event and overwrites the oldest one if the buffer is full. */
export function putEvent(ring: EventRing, event: TimelineEvent): void {
  ring.slots[ring.written % ring.capacity] = event;
  ring.written += 1;
}

/** Returns the events in the buffer, oldest first. */
export function ringEvents(ring: EventRing): TimelineEvent[] {
  if (ring.written <= ring.capacity) return [...ring.slots];
  const oldestSlot = ring.written % ring.capacity;
  return [...ring.slots.slice(oldestSlot), ...ring.slots.slice(0, oldestSlot)];
}

/** Returns the number of events overwritten by newer ones. */
export function droppedEvents(ring: EventRing): number {
  return Math.max(0, ring.written - ring.capacity);
}
