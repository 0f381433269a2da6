/**
 * Bounds the bytes of a response that belong to no body: status line, headers, interim responses,
 * chunk extensions and trailers. The HTTP client bounds the headers alone, so a faulty server could
 * send any of the others without end.
 */
import { subscribe } from 'node:diagnostics_channel';
import type { Socket } from 'node:net';

/** More than the headers that the client accepts, and the part of a body that waits to be read. */
const MAX_FRAMING_BYTES = 256 * 1024;
/** Framing of a chunk of one byte, rounded up: a stream of small events is a sound response. */
const MAX_FRAMING_PER_BODY_BYTE = 16;

/** Published by the HTTP client right before it writes a request to its connection. */
const REQUEST_WRITTEN = 'undici:client:sendHeaders';

/** The bytes of one response. */
export interface ResponseBytes {
  readonly addBodyBytes: (bytes: number) => void;
}

interface TrackedResponse {
  bytesBefore: number;
  bodyBytes: number;
  readonly onExceeded: () => void;
}

/** The request that is being written; the client names its connection synchronously. */
let written: TrackedResponse | null = null;
/** The newest response on each connection, which carries one response at a time. */
const responses = new WeakMap<Socket, TrackedResponse>();

subscribe(REQUEST_WRITTEN, (message) => {
  const { socket } = message as { readonly socket: Socket };
  if (written === null) return;
  if (!responses.has(socket)) {
    socket.on('readable', () => {
      check(socket);
    });
  }
  written.bytesBefore = socket.bytesRead;
  responses.set(socket, written);
  written = null;
});

function check(socket: Socket): void {
  const response = responses.get(socket);
  if (response === undefined) return;
  const { bytesBefore, bodyBytes, onExceeded } = response;
  const framingBytes = socket.bytesRead - bytesBefore - bodyBytes;
  if (framingBytes <= MAX_FRAMING_BYTES + bodyBytes * MAX_FRAMING_PER_BODY_BYTE) return;
  responses.delete(socket);
  onExceeded();
}

/**
 * Tracks the response to a request. Must be called when the client is about to write the request;
 * `onExceeded` is called at most once.
 */
export function trackResponseBytes(onExceeded: () => void): ResponseBytes {
  const response: TrackedResponse = { bytesBefore: 0, bodyBytes: 0, onExceeded };
  written = response;
  return {
    addBodyBytes: (bytes) => {
      response.bodyBytes += bytes;
    },
  };
}
