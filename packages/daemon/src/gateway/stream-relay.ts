/**
 * Relays an event stream to its caller, even if several targets produce it one after another. Each
 * event is sent as soon as it is complete; the caller gets the head of the first target's answer.
 */
import type { ServerResponse } from 'node:http';
import {
  addEventBytes,
  createByteBuffer,
  createEventFraming,
  hasPartialEvent,
  heldAtEnd,
  lacksEvents,
} from '@cassiamast/coordination';
import type { CallerWire } from '@cassiamast/ports';
import { type AnswerSink, FIRST_FAILURE_STATUS, type FlowControl } from './send-to-target.js';

/** The part of a stream that one target produces. */
export interface StreamPart {
  /** Receives the answer of the target. */
  readonly sink: AnswerSink;
  /** Returns whether the target answered with a failure, which is buffered. */
  readonly hasFailed: () => boolean;
  /** Returns whether the target sent a complete event. */
  readonly hasEvents: () => boolean;
  /** Returns whether the target's stream stopped in the middle of an event. */
  readonly endedInsideEvent: () => boolean;
  /** Ends the answer as complete, or sends the buffered failure answer of the target. */
  readonly end: () => void;
}

/** The relay of one stream. */
export interface StreamRelay {
  /** Begins the part of a target. While several are begun, only one may send events. */
  readonly beginPart: () => StreamPart;
  /** Returns the id of the last event that was sent; null before the first event with an id. */
  readonly lastEventId: () => string | null;
}

/** Callbacks of the relay. */
export interface StreamRelayEvents {
  /** Called when the first complete event of a target's answer is received. */
  readonly onFirstEvent: () => void;
  /** Called when complete events are passed on. */
  readonly onEvents: () => void;
}

/** Creates a relay for one caller. */
export function createStreamRelay(
  response: ServerResponse,
  wire: CallerWire,
  events: StreamRelayEvents,
): StreamRelay {
  let lastEventId: string | null = null;

  function relay(wholeEvents: Buffer, flow: FlowControl): void {
    if (response.write(wholeEvents)) return;
    flow.pause();
    response.once('drain', () => {
      flow.resume();
    });
  }

  function beginPart(): StreamPart {
    const framing = createEventFraming();
    const failureBody = createByteBuffer();
    let head: { readonly status: number; readonly headers: readonly string[] } | null = null;
    let isFirstEvent = true;

    const hasFailed = (): boolean => (head?.status ?? 0) >= FIRST_FAILURE_STATUS;

    /**
     * Sends the head together with the first event. If a stream breaks off before that event, the
     * gateway can still send a failure answer. With the head sent, it could only close the
     * connection, and the caller would have to reconnect.
     */
    function sendHead(): void {
      // The caller may have the head of an earlier target's answer.
      if (response.headersSent) return;
      response.writeHead(head?.status ?? 0, wire.callerHeaders(head?.headers ?? []));
    }

    /** Returns why the bytes are no stream of events, or null. */
    function relayEvents(bytes: Buffer, flow: FlowControl): string | null {
      const wholeEvents = addEventBytes(framing, bytes);
      if (isFirstEvent && wholeEvents.length > 0) {
        isFirstEvent = false;
        events.onFirstEvent();
      }
      if (wholeEvents.length > 0 && !response.destroyed) {
        lastEventId = framing.lastEventId ?? lastEventId;
        events.onEvents();
        sendHead();
        relay(wholeEvents, flow);
      }
      return lacksEvents(framing) ? 'the stream brings no event' : null;
    }

    return {
      sink: {
        onHead: ({ status }, headers) => {
          head = { status, headers };
        },
        onBytes: (bytes, flow) => {
          if (!hasFailed()) return relayEvents(bytes, flow);
          failureBody.append(bytes);
          return null;
        },
      },
      hasFailed,
      hasEvents: () => !isFirstEvent,
      endedInsideEvent: () => hasPartialEvent(framing),
      end: () => {
        if (response.destroyed) return;
        sendHead();
        response.end(hasFailed() ? failureBody.take() : heldAtEnd(framing));
      },
    };
  }

  return { beginPart, lastEventId: () => lastEventId };
}
