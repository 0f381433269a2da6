/** Validates the bodies of OpenAI-compatible completion and chat completion requests. */
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod/v3';
import { AnswerFormat } from './caller-request.js';

const DEFAULT_MAX_TOKENS = 256;
const MAX_TEMPERATURE = 2;
const MAX_STOP_TEXTS = 4;

const commonFields = {
  model: z.string().min(1).max(200),
  max_tokens: z.number().int().min(1).nullish(),
  temperature: z.number().min(0).max(MAX_TEMPERATURE).nullish(),
  seed: z.number().int().nullish(),
  stream: z.boolean().nullish(),
  stream_options: z.object({ include_usage: z.boolean().optional() }).passthrough().nullish(),
  n: z.literal(1).nullish(),
  stop: z.union([z.string(), z.array(z.string()).max(MAX_STOP_TEXTS)]).nullish(),
};

const completionBody = z.object({ ...commonFields, prompt: z.string() }).passthrough();

const textPart = z.object({ type: z.literal('text'), text: z.string() }).passthrough();
const chatMessage = z
  .object({
    role: z.enum(['system', 'developer', 'user', 'assistant', 'tool']),
    content: z.union([z.string(), z.array(textPart)]),
  })
  .passthrough();
const chatBody = z
  .object({
    ...commonFields,
    max_completion_tokens: z.number().int().min(1).nullish(),
    messages: z.array(chatMessage).min(1),
  })
  .passthrough();

/** The parameters in a request body, before headers and configuration are applied. */
export interface CompletionParameters {
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly temperature: number;
  readonly seed: number | null;
  readonly stream: boolean;
  readonly includeUsage: boolean;
}

/** Validates a body; each fault names the field concerned. */
export function parseCompletionParameters(
  format: AnswerFormat,
  body: unknown,
): Result<CompletionParameters, readonly string[]> {
  return format === AnswerFormat.Chat ? parseChat(body) : parseCompletion(body);
}

function parseCompletion(body: unknown): Result<CompletionParameters, readonly string[]> {
  const parsed = completionBody.safeParse(body);
  if (!parsed.success) return err(faultsOf(parsed.error));
  const { data } = parsed;
  return ok({ ...commonParameters(data, data.max_tokens), prompt: data.prompt });
}

function parseChat(body: unknown): Result<CompletionParameters, readonly string[]> {
  const parsed = chatBody.safeParse(body);
  if (!parsed.success) return err(faultsOf(parsed.error));
  const { data } = parsed;
  const maxTokens = data.max_completion_tokens ?? data.max_tokens;
  return ok({ ...commonParameters(data, maxTokens), prompt: renderPrompt(data.messages) });
}

function commonParameters(
  data: z.infer<typeof completionBody> | z.infer<typeof chatBody>,
  maxTokens: number | null | undefined,
): Omit<CompletionParameters, 'prompt'> {
  return {
    model: data.model,
    maxTokens: maxTokens ?? DEFAULT_MAX_TOKENS,
    temperature: data.temperature ?? 1,
    seed: data.seed ?? null,
    stream: data.stream ?? false,
    includeUsage: data.stream_options?.include_usage ?? false,
  };
}

/** Renders messages as a single prompt with a heading for each role, as chat templates do. */
function renderPrompt(messages: readonly z.infer<typeof chatMessage>[]): string {
  const rendered = messages.map(
    (message) => `<|${message.role}|>\n${contentText(message.content)}`,
  );
  return `${rendered.join('\n')}\n<|assistant|>\n`;
}

function contentText(content: z.infer<typeof chatMessage>['content']): string {
  return typeof content === 'string' ? content : content.map((part) => part.text).join('');
}

function faultsOf(error: z.ZodError): readonly string[] {
  return error.issues.map((issue) => `${issue.path.join('.') || 'body'}: ${issue.message}`);
}
