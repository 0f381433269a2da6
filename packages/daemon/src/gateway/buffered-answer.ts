/**
 * Buffers a target's answer until it is complete, so that a request whose answer is cut off can be
 * retried at another target before the caller has received any part. An answer that exceeds the
 * buffer is streamed to the caller from then on.
 */
import type { ServerResponse } from 'node:http';
import { createByteBuffer } from '@cassiamast/coordination';
import type { AnswerHead, CallerWire } from '@cassiamast/ports';
import type { AnswerSink } from './send-to-target.js';

/** Answers up to this size are buffered; a small gateway has memory for some hundred of them. */
const MAX_BUFFERED_BYTES = 128 * 1024;

/** A buffered answer. */
export interface BufferedAnswer {
  readonly sink: AnswerSink;
  /** Returns the head of the answer; null until it is received. */
  readonly head: () => AnswerHead | null;
  /** Returns whether the head was already sent to the caller. */
  readonly hasSentHead: () => boolean;
  /** Sends the buffered rest of a complete answer and ends the response. */
  readonly deliver: () => void;
}

/**
 * Creates a buffer for an answer to a caller.
 *
 * @param isAlone - Whether no other target may still answer the request.
 */
export function bufferAnswer(
  response: ServerResponse,
  wire: CallerWire,
  isAlone: () => boolean,
): BufferedAnswer {
  let head: AnswerHead | null = null;
  let rawHeaders: readonly string[] = [];
  const buffered = createByteBuffer();
  let headSent = false;

  function sendHead(): void {
    headSent = true;
    response.writeHead(head?.status ?? 0, wire.callerHeaders(rawHeaders));
  }

  return {
    head: () => head,
    hasSentHead: () => headSent,
    sink: {
      onHead: (received, raw) => {
        head = received;
        rawHeaders = raw;
      },
      onBytes: (bytes, flow) => {
        if (!headSent) {
          buffered.append(bytes);
          if (buffered.length() <= MAX_BUFFERED_BYTES) return null;
          if (!isAlone()) return 'a failure whose body is not buffered';
          sendHead();
          response.write(buffered.take());
          return null;
        }
        if (!response.write(bytes)) {
          flow.pause();
          response.once('drain', () => {
            flow.resume();
          });
        }
        return null;
      },
    },
    deliver: () => {
      if (!headSent) sendHead();
      response.end(buffered.take());
    },
  };
}
