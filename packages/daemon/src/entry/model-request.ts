/** Parses an HTTP request for a model into a validated {@link ModelRequest} or a refusal. */
import { createHash } from 'node:crypto';
import type { IncomingHttpHeaders } from 'node:http';
import type { Configuration, WorkspaceSpec } from '@cassiamast/coordination';
import { err, ok, type Result } from 'neverthrow';
import type { AnswerFormat, ModelRequest } from './caller-request.js';
import { NOT_SERVED, REQUEST_MALFORMED, type Refusal } from './failures.js';
import { readIdempotencyKey, readLastEventId, readPriority, readTimeoutMs } from './headers.js';
import { type CompletionParameters, parseCompletionParameters } from './openai-request.js';
import { refuseNotRun, refuseWithoutLookup } from './refusals.js';
import { findModel, type ModelChoice } from './service-directory.js';

const CONTENT_HASH_CHARACTERS = 32;
const MAX_SEED = 0x7fff_ffff;

/** Input of {@link parseModelRequest}. */
export interface ModelRequestInput {
  readonly format: AnswerFormat;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
  readonly workspace: WorkspaceSpec;
  readonly configuration: Configuration;
  /** Generates an idempotency key for a caller that sent none. */
  readonly makeKey: () => string;
}

/** Validates a request; the refusal lists all faults of the body. */
export function parseModelRequest(input: ModelRequestInput): Result<ModelRequest, Refusal> {
  const json = parseJson(input.body);
  if (json.isErr()) return err(malformed([json.error]));
  const parameters = parseCompletionParameters(input.format, json.value);
  if (parameters.isErr()) return err(malformed(parameters.error));
  const choice = findModel(input.configuration, parameters.value.model);
  if (choice === null) {
    const failure = NOT_SERVED.of({ what: `model ${parameters.value.model}` });
    // An earlier attempt with this key may have run on a service that was removed since.
    const isKeyed = input.headers['idempotency-key'] !== undefined;
    return err(refuseWithoutLookup(failure, 404, null, isKeyed));
  }
  return buildRequest(input, parameters.value, choice);
}

function buildRequest(
  input: ModelRequestInput,
  parameters: CompletionParameters,
  choice: ModelChoice,
): Result<ModelRequest, Refusal> {
  const callerKey = readIdempotencyKey(input.headers);
  const resumeFrom = readLastEventId(input.headers);
  if (callerKey === undefined) return err(malformed(['Idempotency-Key: not a valid key']));
  if (resumeFrom === undefined) return err(malformed(['Last-Event-ID: not an id of ours']));
  const { limits } = input.configuration;
  const key = {
    workspace: input.workspace.name,
    idempotencyKey: callerKey ?? input.makeKey(),
  };
  return ok({
    key,
    keyFromCaller: callerKey !== null,
    service: choice.service.name,
    format: input.format,
    modelText: parameters.model,
    model: choice.model,
    adapter: choice.adapter,
    prompt: parameters.prompt,
    maxTokens: Math.min(parameters.maxTokens, limits.maxOutputTokens),
    temperature: parameters.temperature,
    seed: parameters.seed ?? seedOf(key.workspace, key.idempotencyKey),
    stream: parameters.stream,
    includeUsage: parameters.includeUsage,
    priority: readPriority(input.headers),
    timeoutMs: readTimeoutMs(input.headers, choice.service.deadlineMs),
    contentHash: contentHash(input.format, parameters),
    resumeFrom,
  });
}

/** Derives the seed from the key, so that a rerun of a request samples the same tokens. */
function seedOf(workspace: string, idempotencyKey: string): number {
  const digest = createHash('sha256')
    .update(JSON.stringify([workspace, idempotencyKey]))
    .digest();
  return digest.readUInt32BE(0) & MAX_SEED;
}

/**
 * Hashes the content of a request without its delivery options, because a retry may stream where
 * the first attempt did not.
 */
function contentHash(format: AnswerFormat, parameters: CompletionParameters): string {
  const { model, prompt, maxTokens, temperature, seed } = parameters;
  const content = JSON.stringify([format, model, prompt, maxTokens, temperature, seed]);
  return createHash('sha256').update(content).digest('hex').slice(0, CONTENT_HASH_CHARACTERS);
}

function parseJson(body: Buffer): Result<unknown, string> {
  try {
    return ok(JSON.parse(body.toString('utf8')) as unknown);
  } catch (error) {
    return err(`body: ${(error as Error).message}`);
  }
}

function malformed(faults: readonly string[]): Refusal {
  return refuseNotRun(REQUEST_MALFORMED.of({ faults }), 400);
}
