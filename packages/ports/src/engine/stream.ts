/**
 * One answer of an engine, read as server-sent events. Breaking the connection does not end the
 * answer on the engine: it goes on and can be taken up again, or cancelled by its id.
 */
import type { Failure } from '@cassiamast/coordination';
import { createParser } from 'eventsource-parser';
import { asObject, parseJsonObject } from '../http/json.js';
import type { HttpRequest, HttpStream, HttpTransport } from '../http/transport.js';
import type { CallPlace } from './errors.js';
import { errorFailure, statusFailure, troubleFailure } from './errors.js';
import { ENGINE_ANSWER_LOST, ENGINE_PROTOCOL } from './failures.js';
import type { EngineStreamHandlers } from './port.js';
import { readChunk } from './wire.js';

const DONE = '[DONE]';

/** Error bodies are short; more than this is not read. */
const MAX_ERROR_CHARS = 16_384;

/** Opens a stream. `HttpStream.stop` lets go of the connection and calls no further handler. */
export function openEngineStream(
  transport: HttpTransport,
  place: CallPlace,
  request: HttpRequest,
  handlers: EngineStreamHandlers,
): HttpStream {
  const decoder = new TextDecoder();
  let status = 0;
  let errorText = '';
  let done = false;
  // After its last event the answer is left to end by itself: breaking it off would cost the
  // connection, and a new one for each request.
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
  const broken = (detail: string) => ({ ...place, mayHaveRun: true, detail });
  const parser = createParser({
    onEvent: (event) => {
      if (done) return;
      if (event.data === DONE) {
        finish(handlers.onEnd);
        return;
      }
      const body = parseJsonObject(event.data);
      const error = asObject(body?.error);
      if (error !== null) {
        fail(errorFailure(place, status, error, true));
        return;
      }
      const chunk = body === null ? null : readChunk(body);
      if (chunk !== null) {
        handlers.onChunk(chunk);
        return;
      }
      stream.stop();
      fail(ENGINE_PROTOCOL.of(broken('an event has no agreed form')));
    },
  });
  const stream = transport.stream(request, {
    onStart: (code) => {
      status = code;
    },
    onData: (bytes) => {
      const text = decoder.decode(bytes, { stream: true });
      if (status === 200) parser.feed(text);
      else if (errorText.length < MAX_ERROR_CHARS) errorText += text;
    },
    onEnd: () => {
      if (status !== 200) fail(statusFailure(place, status, errorText));
      else fail(ENGINE_ANSWER_LOST.of(broken('the stream ended before its last event')));
    },
    onTrouble: (trouble) => {
      fail(troubleFailure(place, trouble));
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
