/**
 * Writes one answer to one caller: as a stream of events, as one body, or as a plain service's
 * response. What may be written, and when, the request machine decides; here it takes its form.
 */
import type { ServerResponse } from 'node:http';
import type { AnswerEnding } from '@cassiamast/coordination';
import { FinishReason } from '@cassiamast/ports';
import { startEventStream, type EventStreamWriter } from '../node/event-stream.js';
import type { Refusal } from './failures.js';
import {
  type AnswerHead,
  type AnswerUsage,
  chunkData,
  DONE_DATA,
  usageData,
  wholeBody,
} from './openai-answer.js';
import { sendProblem, toProblem } from './problem.js';

/** The writing side of one answer. */
export interface CallerAnswer {
  /** Takes the next tokens; false asks to wait for `onDrain`. */
  readonly tokens: (tokens: readonly string[], eventId: string) => boolean;
  readonly finish: (ending: AnswerEnding, outputTokens: number, eventId: string) => void;
  /** Tells the failure: as a problem, or as the last event when the answer has begun. */
  readonly refuse: (refusal: Refusal) => void;
}

/** What every answer is written with. */
export interface AnswerOptions {
  readonly response: ServerResponse;
  readonly headers: Readonly<Record<string, string>>;
}

/** What a model's answer is written with. */
export interface ModelAnswerOptions extends AnswerOptions {
  readonly head: AnswerHead;
  readonly includeUsage: boolean;
  readonly onDrain: () => void;
}

/** Streams a model's answer. */
export function streamedAnswer(options: ModelAnswerOptions): CallerAnswer {
  const { response, head, headers } = options;
  let stream: EventStreamWriter | null = null;
  let isFirst = true;

  function open(): EventStreamWriter {
    stream ??= startEventStream(response, headers, options.onDrain);
    return stream;
  }

  function writeChunk(text: string, reason: FinishReason | null, id: string): boolean {
    const goOn = open().write({ id, data: chunkData(head, text, isFirst, reason) });
    isFirst = false;
    return goOn;
  }

  return {
    tokens: (tokens, eventId) => writeChunk(tokens.join(''), null, eventId),
    finish: (ending, outputTokens, eventId) => {
      writeChunk('', reasonOf(ending), eventId);
      if (options.includeUsage) {
        open().write({ data: usageData(head, usageOf(ending, outputTokens)) });
      }
      open().write({ data: DONE_DATA });
      open().end();
    },
    refuse: (refusal) => {
      if (stream === null) {
        sendProblem(response, refusal, headers);
        return;
      }
      stream.write({ data: JSON.stringify(toProblem(refusal)) });
      stream.end();
    },
  };
}

/** Writes a model's answer in one body. */
export function wholeAnswer(options: ModelAnswerOptions): CallerAnswer {
  const { response, head, headers } = options;
  const texts: string[] = [];
  return {
    tokens: (tokens) => {
      texts.push(...tokens);
      return true;
    },
    finish: (ending, outputTokens) => {
      const usage = usageOf(ending, outputTokens);
      const body = wholeBody(head, texts.join(''), reasonOf(ending), usage);
      if (response.destroyed) return;
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
  };
}

/** Relays a plain service's response. */
export function plainAnswer(options: AnswerOptions): CallerAnswer {
  const { response, headers } = options;
  return {
    tokens: () => true,
    finish: ({ plain }) => {
      if (plain === null || response.destroyed) return;
      const body = Buffer.from(plain.bodyBase64, 'base64');
      response.writeHead(plain.status, {
        ...plain.headers,
        ...headers,
        'content-length': body.length,
      });
      response.end(body);
    },
    refuse: (refusal) => {
      sendProblem(response, refusal, headers);
    },
  };
}

function reasonOf(ending: AnswerEnding): FinishReason {
  return ending.reason === (FinishReason.Length as string)
    ? FinishReason.Length
    : FinishReason.Stop;
}

function usageOf(ending: AnswerEnding, outputTokens: number): AnswerUsage {
  const { promptTokens, cachedTokens } = ending;
  return { promptTokens, cachedTokens, outputTokens };
}
