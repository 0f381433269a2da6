/**
 * Relays an event stream to its caller, even if several targets produce it one after another. Each
 * event is sent as soon as it is complete; the caller gets the head of the first target's answer.
 */
import type { ServerResponse } from 'node:http';
import { createEventFraming, hasPartialEvent, addEventBytes } from '@cassiamast/coordination';
import type { AnswerHead, CallerWire } from '@cassiamast/ports';
import { type AnswerSink, FIRST_FAILURE_STATUS } from './send-to-target.js';

/** The relay of one stream. */
export interface StreamRelay {
  /** Creates a sink for the next target that produces the stream. */
  readonly createSink: () => AnswerSink;
  /** Returns the id of the last event that was sent; null before the first event with an id. */
  readonly lastEventId: () => string | null;
  /**
   * Returns whether the current target answered with a failure after earlier targets produced a
   * part of the stream. Such a stream must not end as if it were complete.
   */
  readonly failedAfterStart: () => boolean;
  /** Returns whether the current target's stream stopped in the middle of an event. */
  readonly endedInsideEvent: () => boolean;
  /** Ends the answer as complete, or sends the buffered failure answer. */
  readonly end: () => void;
}

/** Callbacks of the relay. */
export interface StreamRelayEvents {
  /** Called when the first complete event of an answer is received. */
  readonly onFirstEvent: () => void;
}

/** Creates a relay for one caller. */
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
   * Sends the head together with the first event. If a stream breaks off before that event, the
   * gateway can still send a failure answer. With the head sent, it could only close the
   * connection, and the caller would have to reconnect.
   */
  function sendHead(): void {
    if (!response.headersSent) response.writeHead(status, wire.callerHeaders(headers));
  }

  function relay(wholeEvents: Buffer, flow: { pause: () => void; resume: () => void }): void {
    if (wholeEvents.length === 0 || response.destroyed) return;
    lastEventId = framing.lastEventId ?? lastEventId;
    sendHead();
    if (response.write(wholeEvents)) return;
    flow.pause();
    response.once('drain', () => {
      flow.resume();
    });
  }

  function createSink(): AnswerSink {
    let isFirstEvent = true;
    framing = createEventFraming();
    failure = null;
    failureBody = [];
    return {
      onHead: (head, rawHeaders) => {
        if (head.status >= FIRST_FAILURE_STATUS) failure = head;
        // The caller already has the head of an earlier target's answer.
        if (response.headersSent) return;
        status = head.status;
        headers = rawHeaders;
      },
      onBytes: (bytes, flow) => {
        if (failure !== null) {
          failureBody.push(bytes);
          return null;
        }
        const wholeEvents = addEventBytes(framing, bytes);
        if (isFirstEvent && wholeEvents.length > 0) {
          isFirstEvent = false;
          events.onFirstEvent();
        }
        relay(wholeEvents, flow);
        return null;
      },
    };
  }

  return {
    createSink,
    lastEventId: () => lastEventId,
    failedAfterStart: () => failure !== null && response.headersSent,
    endedInsideEvent: () => hasPartialEvent(framing),
    end: () => {
      if (response.destroyed) return;
      const isHeldFailure = failure !== null && !response.headersSent;
      sendHead();
      response.end(isHeldFailure ? Buffer.concat(failureBody) : undefined);
    },
  };
}
