/**
 * Passes a stream on to its caller, whole events only, across the targets that take it up in turn.
 * The caller gets the head of the first one; an event goes out as soon as it is whole.
 */
import type { ServerResponse } from 'node:http';
import { createEventFraming, hasPartialEvent, takeEventBytes } from '@cassiamast/coordination';
import type { AnswerHead, CallerWire } from '@cassiamast/ports';
import type { AnswerSink } from './ask-target.js';

/** First status that is no success. */
const FIRST_FAILURE = 300;

/** A stream on its way. */
export interface StreamRelay {
  /** A sink for the next target that goes on with the stream. */
  readonly nextSink: () => AnswerSink;
  /** The last whole event that went out; null before the first with an id. */
  readonly lastEventId: () => string | null;
  /**
   * Whether the current target failed after others had brought a part. Guards against a stream that
   * ends as whole where the target that was to go on with it answered with a failure.
   */
  readonly isFailureInside: () => boolean;
  /** Whether the current target left an event unfinished. */
  readonly isCutInside: () => boolean;
  /** Ends the answer as whole, or sends the failure that was held back. */
  readonly end: () => void;
}

/** What the relay tells. */
export interface StreamRelayEvents {
  /** An answer's first whole event came. */
  readonly onFirstEvent: () => void;
}

/** Makes a relay for one caller. */
export function createStreamRelay(
  response: ServerResponse,
  wire: CallerWire,
  events: StreamRelayEvents,
): StreamRelay {
  let framing = createEventFraming();
  let lastEventId: string | null = null;
  let headers: readonly string[] = [];
  let status = 0;
  let failure: AnswerHead | null = null;
  let failureBody: Buffer[] = [];

  /**
   * The head goes out with the first event. Guards against a stream that breaks off before it: with
   * the head out, only a broken connection could tell the caller, who then has to connect anew.
   */
  function begin(): void {
    if (!response.headersSent) response.writeHead(status, wire.callerHeaders(headers));
  }

  function relay(whole: Buffer, flow: { pause: () => void; resume: () => void }): void {
    if (whole.length === 0 || response.destroyed) return;
    lastEventId = framing.lastEventId ?? lastEventId;
    begin();
    if (response.write(whole)) return;
    flow.pause();
    response.once('drain', () => {
      flow.resume();
    });
  }

  function nextSink(): AnswerSink {
    let first = true;
    framing = createEventFraming();
    failure = null;
    failureBody = [];
    return {
      onHead: (head, rawHeaders) => {
        if (head.status >= FIRST_FAILURE) failure = head;
        // The caller keeps the head that it has got.
        if (response.headersSent) return;
        status = head.status;
        headers = rawHeaders;
      },
      onBytes: (bytes, flow) => {
        if (failure !== null) {
          failureBody.push(bytes);
          return null;
        }
        const whole = takeEventBytes(framing, bytes);
        if (first && whole.length > 0) {
          first = false;
          events.onFirstEvent();
        }
        relay(whole, flow);
        return null;
      },
    };
  }

  return {
    nextSink,
    lastEventId: () => lastEventId,
    isFailureInside: () => failure !== null && response.headersSent,
    isCutInside: () => hasPartialEvent(framing),
    end: () => {
      if (response.destroyed) return;
      const isHeldFailure = failure !== null && !response.headersSent;
      begin();
      response.end(isHeldFailure ? Buffer.concat(failureBody) : undefined);
    },
  };
}
