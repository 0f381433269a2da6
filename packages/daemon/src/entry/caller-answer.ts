/**
 * Writes one answer to one caller, as a stream of events or as one body. Knows the place the
 * caller is at: every token is written once, in order, and none after the end.
 */
import type { ServerResponse } from 'node:http';
import { type Hash64, RunState } from '@cassiamast/coordination';
import type { FinishReason } from '@cassiamast/platform';
import { startEventStream, type EventStreamWriter } from '../node/event-stream.js';
import type { AnswerPosition, ModelRequest } from './caller-request.js';
import { ANSWER_CHANGED, type Refusal } from './failures.js';
import { formatEventId } from './headers.js';
import {
  type AnswerHead,
  type AnswerUsage,
  chunkData,
  DONE_DATA,
  usageData,
  wholeBody,
} from './openai-answer.js';
import { sendProblem, toProblem } from './problem.js';
import { extendTextHash } from './text-hash.js';

/** The writing side of one answer. */
export interface CallerAnswer {
  /** Tokens written or, for a whole body, gathered so far. */
  readonly position: () => AnswerPosition;
  /** Takes the next tokens; false asks to wait for `onDrain`. */
  readonly tokens: (tokens: readonly string[]) => boolean;
  readonly finish: (reason: FinishReason, usage: AnswerUsage) => void;
  /** Tells the failure: as a problem, or as the last event when the answer has begun. */
  readonly refuse: (refusal: Refusal) => void;
  /** Whether the caller is still connected and the answer not ended. */
  readonly isOpen: () => boolean;
}

/** What an answer is written with. */
export interface CallerAnswerOptions {
  readonly request: ModelRequest;
  readonly response: ServerResponse;
  readonly head: AnswerHead;
  readonly headers: Readonly<Record<string, string>>;
  readonly hash64: Hash64;
  readonly onDrain: () => void;
}

/** Makes the writer that the request asked for. */
export function createCallerAnswer(options: CallerAnswerOptions): CallerAnswer {
  return options.request.stream ? streamedAnswer(options) : wholeAnswer(options);
}

/** Follows an answer's place; checks a returning caller's text when its place is passed. */
function createTracker(options: CallerAnswerOptions): {
  readonly position: () => AnswerPosition;
  readonly advance: (token: string) => void;
} {
  let tokens = 0;
  let textHash = '';
  return {
    position: () => ({ tokens, textHash }),
    advance: (token) => {
      tokens += 1;
      textHash = extendTextHash(options.hash64, textHash, token);
    },
  };
}

function streamedAnswer(options: CallerAnswerOptions): CallerAnswer {
  const { request, response, head, headers } = options;
  const tracker = createTracker(options);
  const heldTokens = request.resumeFrom?.tokens ?? 0;
  let stream: EventStreamWriter | null = null;
  let isFirst = true;

  function open(): EventStreamWriter {
    stream ??= startEventStream(response, headers, options.onDrain);
    return stream;
  }

  function writeChunk(text: string, reason: FinishReason | null): boolean {
    const id = formatEventId(tracker.position());
    const goOn = open().write({ id, data: chunkData(head, text, isFirst, reason) });
    isFirst = false;
    return goOn;
  }

  function refuse(refusal: Refusal): void {
    if (stream === null) {
      sendProblem(response, refusal, headers);
      return;
    }
    stream.write({ data: JSON.stringify(toProblem(refusal)) });
    stream.end();
  }

  return {
    position: tracker.position,
    tokens: (tokens) => {
      let text = '';
      for (const token of tokens) {
        const isHeld = tracker.position().tokens < heldTokens;
        tracker.advance(token);
        if (!isHeld) text += token;
        else if (isOtherText(tracker.position(), request.resumeFrom)) {
          refuse(OTHER_TEXT);
          return false;
        }
      }
      return text === '' ? true : writeChunk(text, null);
    },
    finish: (reason, usage) => {
      writeChunk('', reason);
      if (request.includeUsage) open().write({ data: usageData(head, usage) });
      open().write({ data: DONE_DATA });
      open().end();
    },
    refuse,
    isOpen: () => !response.destroyed && !response.writableEnded,
  };
}

/**
 * A caller came back with the beginning of an answer whose memory was lost, and the rerun made
 * another text. Splicing the two would give a finding that no model ever made, so it is refused.
 */
function isOtherText(position: AnswerPosition, held: AnswerPosition | null): boolean {
  return held !== null && position.tokens === held.tokens && position.textHash !== held.textHash;
}

const OTHER_TEXT: Refusal = {
  failure: ANSWER_CHANGED.of(undefined),
  status: 409,
  runState: RunState.Ran,
  retryAfterMs: 0,
};

function wholeAnswer(options: CallerAnswerOptions): CallerAnswer {
  const { response, head, headers } = options;
  const tracker = createTracker(options);
  const texts: string[] = [];
  return {
    position: tracker.position,
    tokens: (tokens) => {
      for (const token of tokens) tracker.advance(token);
      texts.push(...tokens);
      return true;
    },
    finish: (reason, usage) => {
      const body = wholeBody(head, texts.join(''), reason, usage);
      response.writeHead(200, {
        ...headers,
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(body),
      });
      response.end(body);
    },
    refuse: (refusal) => {
      sendProblem(response, refusal, headers);
    },
    isOpen: () => !response.destroyed && !response.writableEnded,
  };
}
