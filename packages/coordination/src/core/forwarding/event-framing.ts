/**
 * Cuts a series of server-sent events into whole events without changing a byte. An engine may
 * break off in the middle of an event: only whole ones are passed on, so that a caller never gets
 * half of one, and another engine can go on after the last.
 */

/** Bytes that are not a whole event yet, and the number of the last whole one. */
export interface EventFraming {
  rest: Buffer;
  /** Null until an event with an id came. */
  lastEventId: string | null;
  events: number;
}

/** Nothing read. */
export function createEventFraming(): EventFraming {
  return { rest: Buffer.alloc(0), lastEventId: null, events: 0 };
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /^id:[ ]?(.*)$/gm;

/** Takes in bytes; gives those of the events that are whole now, empty if there are none. */
export function takeEventBytes(framing: EventFraming, chunk: Buffer): Buffer {
  const bytes = framing.rest.length === 0 ? chunk : Buffer.concat([framing.rest, chunk]);
  const end = endOfLastEvent(bytes);
  framing.rest = bytes.subarray(end);
  const whole = bytes.subarray(0, end);
  if (end > 0) noteEvents(framing, whole.toString('utf8'));
  return whole;
}

/** Whether bytes came that are no whole event. */
export function hasPartialEvent(framing: EventFraming): boolean {
  return framing.rest.length > 0;
}

/** Offset after the last empty line, which ends an event; 0 if there is none. */
function endOfLastEvent(bytes: Buffer): number {
  for (let at = bytes.length - 1; at > 0; at -= 1) {
    if (bytes[at] !== LINE_FEED) continue;
    const before = bytes[at - 1] === CARRIAGE_RETURN ? at - 2 : at - 1;
    if (before >= 0 && bytes[before] === LINE_FEED) return at + 1;
  }
  return 0;
}

function noteEvents(framing: EventFraming, text: string): void {
  for (const match of text.matchAll(ID_LINE)) {
    framing.lastEventId = (match[1] ?? '').trimEnd();
    framing.events += 1;
  }
}
