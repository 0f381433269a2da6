/**
 * An answer of a target that is held until it is whole, so that one that breaks off can be tried
 * elsewhere and never reaches the caller in part. One that is larger than the hold is passed on
 * from there as it comes.
 */
import type { ServerResponse } from 'node:http';
import type { AnswerHead, CallerWire } from '@cassiamast/ports';
import type { AnswerSink } from './ask-target.js';

/** An answer up to this size is held; a phone's gateway has room for some hundred of them. */
const MAX_HELD_BYTES = 256 * 1024;

/** A held answer. */
export interface HeldAnswer {
  readonly sink: AnswerSink;
  /** The head that came, null before it. */
  readonly head: () => AnswerHead | null;
  /** Whether the caller has got a part of it already. */
  readonly hasBegun: () => boolean;
  /** Sends what is held; the answer is whole. */
  readonly deliver: () => void;
}

/** Holds an answer for a caller. */
export function holdAnswer(response: ServerResponse, wire: CallerWire): HeldAnswer {
  let head: AnswerHead | null = null;
  let rawHeaders: readonly string[] = [];
  let held: Buffer[] = [];
  let heldBytes = 0;
  let begun = false;

  function begin(): void {
    begun = true;
    response.writeHead(head?.status ?? 0, wire.callerHeaders(rawHeaders));
  }

  return {
    head: () => head,
    hasBegun: () => begun,
    sink: {
      onHead: (received, raw) => {
        head = received;
        rawHeaders = raw;
      },
      onBytes: (bytes, flow) => {
        if (!begun) {
          held.push(bytes);
          heldBytes += bytes.length;
          if (heldBytes <= MAX_HELD_BYTES) return null;
          begin();
          response.write(Buffer.concat(held));
          held = [];
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
      if (!begun) begin();
      response.end(Buffer.concat(held));
    },
  };
}
