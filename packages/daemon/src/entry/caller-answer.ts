/**
 * Writes one answer to one caller: as a server-sent event stream, as a single body, or as the
 * response of a plain service. The request state machine decides what is written and when; this
 * module only formats it.
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

/** Writes one answer to its caller. */
export interface CallerAnswer {
  /** Writes the next tokens; returns false when the caller should wait for `onDrain`. */
  readonly tokens: (tokens: readonly string[], eventId: string) => boolean;
  readonly finish: (ending: AnswerEnding, outputTokens: number, eventId: string) => void;
  /** Reports a failure: as a problem response, or as the last event of a stream that has begun. */
  readonly refuse: (refusal: Refusal) => void;
}

/** Options that all kinds of answer share. */
export interface AnswerOptions {
  readonly response: ServerResponse;
  readonly headers: Readonly<Record<string, string>>;
}

/** Options of a model's answer. */
export interface ModelAnswerOptions extends AnswerOptions {
  readonly head: AnswerHead;
  readonly includeUsage: boolean;
  readonly onDrain: () => void;
}

/** Writes a model's answer as a server-sent event stream. */
export function streamedAnswer(options: ModelAnswerOptions): CallerAnswer {
  const { response, head, headers } = options;
  let stream: EventStreamWriter | null = null;
  let isFirst = true;

  function open(): EventStreamWriter {
    stream ??= startEventStream(response, headers, options.onDrain);
    return stream;
  }

  function writeChunk(text: string, reason: FinishReason | null, id: string): boolean {
    const mayContinue = open().write({ id, data: chunkData(head, text, isFirst, reason) });
    isFirst = false;
    return mayContinue;
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

/** Buffers a model's answer and writes it as a single body. */
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

/** Relays the response of a plain service. */
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
