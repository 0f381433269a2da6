/**
 * Splits a stream of server-sent events at event boundaries without changing a byte. An engine may
 * fail in the middle of an event. Only complete events are forwarded, so that a caller never
 * receives a partial one and another engine can continue after the last complete event.
 */

/** State of the framing of one stream. */
export interface EventFraming {
  /** Bytes received after the last complete event. */
  rest: Buffer;
  /** Id of the last complete event that had one; null before the first. */
  lastEventId: string | null;
  /** Number of complete events that had an id. */
  events: number;
}

/** Creates the state of a stream of which no bytes have been received. */
export function createEventFraming(): EventFraming {
  return { rest: Buffer.alloc(0), lastEventId: null, events: 0 };
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /^id:[ ]?(.*)$/gm;

/** Adds received bytes and returns the bytes of all events that are now complete, possibly none. */
export function addEventBytes(framing: EventFraming, chunk: Buffer): Buffer {
  const bytes = framing.rest.length === 0 ? chunk : Buffer.concat([framing.rest, chunk]);
  const end = endOfLastEvent(bytes);
  framing.rest = bytes.subarray(end);
  const completeEvents = bytes.subarray(0, end);
  if (end > 0) recordEventIds(framing, completeEvents.toString('utf8'));
  return completeEvents;
}

/** Returns whether the stream currently ends with an incomplete event. */
export function hasPartialEvent(framing: EventFraming): boolean {
  return framing.rest.length > 0;
}

/** Returns the offset after the last empty line, which terminates an event, or 0 without one. */
function endOfLastEvent(bytes: Buffer): number {
  for (let offset = bytes.length - 1; offset > 0; offset -= 1) {
    if (bytes[offset] !== LINE_FEED) continue;
    const previous = bytes[offset - 1] === CARRIAGE_RETURN ? offset - 2 : offset - 1;
    if (previous >= 0 && bytes[previous] === LINE_FEED) return offset + 1;
  }
  return 0;
}

function recordEventIds(framing: EventFraming, text: string): void {
  for (const match of text.matchAll(ID_LINE)) {
    framing.lastEventId = (match[1] ?? '').trimEnd();
    framing.events += 1;
  }
}
