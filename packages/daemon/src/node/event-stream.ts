/**
 * Writes server-sent events with backpressure. `write` returns false when the peer falls behind and
 * `onDrain` is called when it has caught up, so a slow reader uses at most one socket buffer.
 */
import type { ServerResponse } from 'node:http';

/** One event. A caller that reconnects sends `id` back as Last-Event-ID. */
export interface ServerSentEvent {
  readonly id?: string;
  readonly data: string;
}

/** The writing side of an event stream. */
export interface EventStreamWriter {
  /** Returns false when the peer falls behind; the writer then waits for `onDrain`. */
  readonly write: (event: ServerSentEvent) => boolean;
  readonly end: () => void;
  readonly isOpen: () => boolean;
}

const EVENT_STREAM_HEADERS = {
  'content-type': 'text/event-stream; charset=utf-8',
  'cache-control': 'no-store',
  'x-accel-buffering': 'no',
};

/** Sends the headers of an event stream and returns its writer. */
export function startEventStream(
  response: ServerResponse,
  headers: Readonly<Record<string, string>>,
  onDrain: () => void,
): EventStreamWriter {
  response.writeHead(200, { ...EVENT_STREAM_HEADERS, ...headers });
  response.flushHeaders();
  response.on('drain', onDrain);
  return {
    write: (event) => {
      const id = event.id === undefined ? '' : `id: ${event.id}\n`;
      return response.write(`${id}data: ${event.data}\n\n`);
    },
    end: () => {
      response.end();
    },
    isOpen: () => !response.destroyed && !response.writableEnded,
  };
}
