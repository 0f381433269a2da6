/** Formats answers as OpenAI-compatible chunks and bodies. */
import { FinishReason } from '@cassiamast/ports';
import { AnswerFormat } from './caller-request.js';

/** Fields that are repeated in every chunk of one answer. */
export interface AnswerHead {
  readonly id: string;
  readonly format: AnswerFormat;
  readonly modelText: string;
  /** Seconds since 1970. */
  readonly createdS: number;
}

/** Token counts of an answer. */
export interface AnswerUsage {
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly outputTokens: number;
}

/** Data of the event that ends a stream for OpenAI clients. */
export const DONE_DATA = '[DONE]';

const WIRE_REASON: Readonly<Record<FinishReason, string>> = {
  [FinishReason.Stop]: 'stop',
  [FinishReason.Length]: 'length',
  [FinishReason.PrefillDone]: 'stop',
};

/** Returns the data of one stream chunk; the first chunk of a chat includes the role. */
export function chunkData(
  head: AnswerHead,
  text: string,
  isFirst: boolean,
  reason: FinishReason | null,
): string {
  const finish_reason = reason === null ? null : WIRE_REASON[reason];
  if (head.format === AnswerFormat.Completion) {
    const choice = { index: 0, text, logprobs: null, finish_reason };
    return JSON.stringify({ ...headFields(head, 'text_completion'), choices: [choice] });
  }
  const role = isFirst ? { role: 'assistant' } : {};
  const content = reason === null ? { content: text } : {};
  const choice = { index: 0, delta: { ...role, ...content }, logprobs: null, finish_reason };
  return JSON.stringify({ ...headFields(head, 'chat.completion.chunk'), choices: [choice] });
}

/** Returns the data of the final chunk with the token counts, sent on the caller's request. */
export function usageData(head: AnswerHead, usage: AnswerUsage): string {
  const object = head.format === AnswerFormat.Chat ? 'chat.completion.chunk' : 'text_completion';
  return JSON.stringify({ ...headFields(head, object), choices: [], usage: usageFields(usage) });
}

/** Returns the body of an answer that is not streamed. */
export function wholeBody(
  head: AnswerHead,
  text: string,
  reason: FinishReason,
  usage: AnswerUsage,
): string {
  const finish_reason = WIRE_REASON[reason];
  const isChat = head.format === AnswerFormat.Chat;
  const choice = isChat
    ? {
        index: 0,
        message: { role: 'assistant', content: text, refusal: null },
        logprobs: null,
        finish_reason,
      }
    : { index: 0, text, logprobs: null, finish_reason };
  const object = isChat ? 'chat.completion' : 'text_completion';
  return JSON.stringify({
    ...headFields(head, object),
    choices: [choice],
    usage: usageFields(usage),
  });
}

function headFields(head: AnswerHead, object: string): Readonly<Record<string, unknown>> {
  return { id: head.id, object, created: head.createdS, model: head.modelText };
}

function usageFields(usage: AnswerUsage): Readonly<Record<string, unknown>> {
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.outputTokens,
    total_tokens: usage.promptTokens + usage.outputTokens,
    prompt_tokens_details: { cached_tokens: usage.cachedTokens },
  };
}
