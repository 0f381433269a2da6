/**
 * Reads one answer of an engine as server-sent events. Closing the connection does not end the
 * generation on the engine: the stream continues there and can be resumed or cancelled by its id.
 */
import type { Failure } from '@cassiamast/coordination';
import { createParser } from 'eventsource-parser';
import { asObject, parseJsonObject } from '../http/json.js';
import type { HttpRequest, HttpStream, HttpTransport } from '../http/transport.js';
import type { CallContext } from './errors.js';
import { errorFailure, statusFailure, troubleFailure } from './errors.js';
import { ENGINE_ANSWER_LOST, ENGINE_PROTOCOL } from './failures.js';
import type { EngineStreamHandlers } from './port.js';
import { readChunk } from './wire.js';

const OK = 200;
const DONE_EVENT_DATA = '[DONE]';

/** Error bodies are short; once this many characters are collected, the rest is ignored. */
const MAX_ERROR_CHARS = 16_384;

/** More than any event or error has; a faulty engine may send other bytes without end. */
const MAX_BYTES_WITHOUT_EVENT = 256 * 1024;

/** Opens a stream. `HttpStream.stop` closes the connection; no handler is called after it. */
export function openEngineStream(
  transport: HttpTransport,
  context: CallContext,
  request: HttpRequest,
  handlers: EngineStreamHandlers,
): HttpStream {
  const decoder = new TextDecoder();
  let status = 0;
  let errorText = '';
  let bytesWithoutEvent = 0;
  let done = false;
  // After its last event the response is left to end by itself. Aborting it would close the
  // connection, so that each request would need a new one.
  const finish = (report: () => void): void => {
    if (done) return;
    done = true;
    report();
  };
  const fail = (failure: Failure): void => {
    finish(() => {
      handlers.onFailure(failure);
    });
  };
  const failureData = (detail: string) => ({ ...context, mayHaveRun: true, detail });
  const parser = createParser({
    onEvent: (event) => {
      if (done) return;
      bytesWithoutEvent = 0;
      if (event.data === DONE_EVENT_DATA) {
        finish(handlers.onEnd);
        return;
      }
      const body = parseJsonObject(event.data);
      const error = asObject(body?.error);
      if (error !== null) {
        fail(errorFailure(context, status, error, true));
        return;
      }
      const chunk = body === null ? null : readChunk(body);
      if (chunk !== null) {
        handlers.onChunk(chunk);
        return;
      }
      stream.stop();
      fail(ENGINE_PROTOCOL.of(failureData('an event has no agreed form')));
    },
  });
  const stream = transport.stream(request, {
    onStart: (receivedStatus) => {
      status = receivedStatus;
    },
    onData: (bytes) => {
      bytesWithoutEvent += bytes.length;
      if (bytesWithoutEvent > MAX_BYTES_WITHOUT_EVENT) {
        stream.stop();
        fail(
          status === OK
            ? ENGINE_PROTOCOL.of(failureData('the stream brings no event'))
            : statusFailure(context, status, errorText),
        );
        return;
      }
      const text = decoder.decode(bytes, { stream: true });
      if (status === OK) parser.feed(text);
      else if (errorText.length < MAX_ERROR_CHARS) errorText += text;
    },
    onEnd: () => {
      if (status !== OK) fail(statusFailure(context, status, errorText));
      else fail(ENGINE_ANSWER_LOST.of(failureData('the stream ended before its last event')));
    },
    onFailure: (trouble) => {
      fail(troubleFailure(context, trouble));
    },
  });
  return {
    stop: () => {
      done = true;
      stream.stop();
    },
    pause: stream.pause,
    resume: stream.resume,
  };
}
