/**
 * Splits a stream of server-sent events at event boundaries without changing a byte. An engine may
 * fail in the middle of an event. Only complete events are forwarded, so that a caller never
 * receives a partial one and another engine can continue after the last complete event. Comments,
 * by which an engine tells that it works on the next event, are forwarded from the first event on.
 * What comes without an event is bounded: a faulty engine may send such bytes without end.
 */
import { type ByteBuffer, createByteBuffer } from '../bytes/byte-buffer.js';

/**
 * Most bytes without an event. Larger than any event of a language model; a gateway with little
 * memory may hold as much of a hundred streams.
 */
export const MAX_BYTES_WITHOUT_EVENT = 128 * 1024;

/** State of the framing of one stream. */
export interface EventFraming {
  /** Bytes received after the last complete event. */
  readonly held: ByteBuffer;
  /** Bytes received since the last event, forwarded comments included. */
  bytesWithoutEvent: number;
  readonly line: LineState;
  /** Whether lines other than comments have come since the last empty line. */
  isInsideEvent: boolean;
  /** Whether those lines dispatch an event once an empty line follows. */
  hasFields: boolean;
  /** Whether an event was complete. */
  hasBegun: boolean;
  /** Id of the last complete event that had one; null before the first. */
  lastEventId: string | null;
  /** Number of complete events that had an id. */
  events: number;
}

/** The line that is being received. */
interface LineState {
  /** The first bytes of the line, as many as a field name needs. */
  start: string;
  bytes: number;
  endsWithReturn: boolean;
}

/** Creates the state of a stream of which no bytes have been received. */
export function createEventFraming(): EventFraming {
  return {
    held: createByteBuffer(),
    bytesWithoutEvent: 0,
    line: { start: '', bytes: 0, endsWithReturn: false },
    isInsideEvent: false,
    hasFields: false,
    hasBegun: false,
    lastEventId: null,
    events: 0,
  };
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /^id:[ ]?(.*)$/gm;
/** The fields that dispatch an event; all others are ignored by its receiver. */
const EVENT_FIELD = /^(?:id|data):/;
const FIELD_START_BYTES = 'data:'.length;

/**
 * Adds received bytes and returns those that can be forwarded: all events that are now complete, and
 * comments after the first one. Possibly none.
 */
export function addEventBytes(framing: EventFraming, chunk: Buffer): Buffer {
  const end = endOfLastBlock(framing, chunk);
  const rest = chunk.subarray(end);
  if (end === 0) {
    framing.held.append(rest);
    return EMPTY;
  }
  const complete = joinHeld(framing, chunk.subarray(0, end));
  framing.held.append(rest);
  recordEventIds(framing, complete.toString('utf8'));
  return complete;
}

const EMPTY = Buffer.alloc(0);

/** Returns the held bytes and those after them, which are not copied if none are held. */
function joinHeld({ held }: EventFraming, bytes: Buffer): Buffer {
  if (held.length() === 0) return bytes;
  held.append(bytes);
  return held.take();
}

/** Returns whether the stream currently ends with an incomplete event. */
export function hasPartialEvent({ isInsideEvent, line }: EventFraming): boolean {
  return isInsideEvent || line.bytes > 0;
}

/** Returns whether more bytes came without an event than a sound stream has. */
export function lacksEvents({ bytesWithoutEvent }: EventFraming): boolean {
  return bytesWithoutEvent > MAX_BYTES_WITHOUT_EVENT;
}

/** Returns the held bytes of a stream that has ended, which belong to no event. */
export function heldAtEnd(framing: EventFraming): Buffer {
  return framing.held.bytes();
}

/**
 * Returns the offset in the chunk after the last empty line that ends an event or, after the first
 * event, a comment; 0 without one.
 */
function endOfLastBlock(framing: EventFraming, chunk: Buffer): number {
  let end = 0;
  let lineStart = 0;
  framing.bytesWithoutEvent += chunk.length;
  for (;;) {
    const lineFeed = chunk.indexOf(LINE_FEED, lineStart);
    if (lineFeed === -1) {
      addToLine(framing.line, chunk.subarray(lineStart));
      return end;
    }
    addToLine(framing.line, chunk.subarray(lineStart, lineFeed));
    lineStart = lineFeed + 1;
    const ended = endLine(framing);
    if (ended === null) continue;
    if (ended === BlockKind.Event) {
      framing.hasBegun = true;
      framing.bytesWithoutEvent = chunk.length - lineStart;
    }
    if (framing.hasBegun) end = lineStart;
  }
}

/** What an empty line ends. */
enum BlockKind {
  Event = 'event',
  Comment = 'comment',
}

function addToLine(line: LineState, bytes: Buffer): void {
  if (bytes.length === 0) return;
  if (line.start.length < FIELD_START_BYTES) {
    line.start += bytes.toString('latin1', 0, FIELD_START_BYTES - line.start.length);
  }
  line.bytes += bytes.length;
  line.endsWithReturn = bytes.at(-1) === CARRIAGE_RETURN;
}

/** Ends the current line; returns what it ends with, or null if more lines belong to it. */
function endLine(framing: EventFraming): BlockKind | null {
  const { line, isInsideEvent, hasFields } = framing;
  const isEmpty = line.bytes === 0 || (line.bytes === 1 && line.endsWithReturn);
  const isUnknown = isInsideEvent && !hasFields;
  framing.isInsideEvent = !isEmpty && (isInsideEvent || !line.start.startsWith(':'));
  framing.hasFields = !isEmpty && (hasFields || EVENT_FIELD.test(line.start));
  line.start = '';
  line.bytes = 0;
  line.endsWithReturn = false;
  if (!isEmpty || isUnknown) return null;
  return hasFields ? BlockKind.Event : BlockKind.Comment;
}

function recordEventIds(framing: EventFraming, text: string): void {
  for (const match of text.matchAll(ID_LINE)) {
    framing.lastEventId = (match[1] ?? '').trimEnd();
    framing.events += 1;
  }
}
