/**
 * The latest events of one process, in a ring of fixed size: a flood of events costs old ones, never
 * memory, and the number lost is told with every reading.
 */
import type { TimelineEvent } from './event.js';

/** Events that a process keeps where its settings name no other number; about 1 MB. */
export const DEFAULT_RING_CAPACITY = 4_000;

/** The ring; read it through {@link ringEvents}. */
export interface EventRing {
  readonly capacity: number;
  readonly slots: TimelineEvent[];
  /** Events ever put in. */
  written: number;
}

/** An empty ring. */
export function createEventRing(capacity: number = DEFAULT_RING_CAPACITY): EventRing {
  return { capacity: Math.max(1, Math.floor(capacity)), slots: [], written: 0 };
}

/** Puts an event in; the oldest leaves when the ring is full. */
export function putEvent(ring: EventRing, event: TimelineEvent): void {
  ring.slots[ring.written % ring.capacity] = event;
  ring.written += 1;
}

/** The events in the ring, oldest first. */
export function ringEvents(ring: EventRing): TimelineEvent[] {
  if (ring.written <= ring.capacity) return [...ring.slots];
  const oldest = ring.written % ring.capacity;
  return [...ring.slots.slice(oldest), ...ring.slots.slice(0, oldest)];
}

/** Events that left the ring for newer ones. */
export function droppedEvents(ring: EventRing): number {
  return Math.max(0, ring.written - ring.capacity);
}
