/**
 * Writing server-sent events with back-pressure: `write` says whether the peer keeps up, and
 * `onDrain` tells when it does again, so that a slow reader costs one socket buffer and no more.
 */
import type { ServerResponse } from 'node:http';

/** One event; `id` is what a returning caller sends back as Last-Event-ID. */
export interface ServerSentEvent {
  readonly id?: string;
  readonly data: string;
}

/** The writing side of an event stream. */
export interface EventStreamWriter {
  /** False when the peer reads more slowly than events come: wait for `onDrain`. */
  readonly write: (event: ServerSentEvent) => boolean;
  readonly end: () => void;
  readonly isOpen: () => boolean;
}

const EVENT_STREAM_HEADERS = {
  'content-type': 'text/event-stream; charset=utf-8',
  'cache-control': 'no-store',
  'x-accel-buffering': 'no',
};

/** Starts an event stream on a response. */
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
