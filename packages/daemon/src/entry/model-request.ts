/** Turns an HTTP exchange on the callers' port into a checked {@link ModelRequest} or a refusal. */
import { createHash } from 'node:crypto';
import type { IncomingHttpHeaders } from 'node:http';
import type { Configuration, WorkspaceSpec } from '@cassiamast/coordination';
import { err, ok, type Result } from 'neverthrow';
import type { AnswerFormat, ModelRequest } from './caller-request.js';
import { NOT_SERVED, REQUEST_MALFORMED, type Refusal } from './failures.js';
import { readIdempotencyKey, readLastEventId, readPriority, readTimeoutMs } from './headers.js';
import { type AskedCompletion, parseAsked } from './openai-request.js';
import { refuseNotRun, refuseUnseen } from './refusals.js';
import { findModel, type ModelChoice } from './service-directory.js';

const CONTENT_HASH_CHARACTERS = 32;
const MAX_SEED = 0x7fff_ffff;

/** What a model request is made from. */
export interface ModelRequestInput {
  readonly format: AnswerFormat;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
  readonly workspace: WorkspaceSpec;
  readonly configuration: Configuration;
  /** Makes a key for a caller that sent none. */
  readonly makeKey: () => string;
}

/** Checks a request; every fault of the body is named at once. */
export function parseModelRequest(input: ModelRequestInput): Result<ModelRequest, Refusal> {
  const json = parseJson(input.body);
  if (json.isErr()) return err(malformed([json.error]));
  const asked = parseAsked(input.format, json.value);
  if (asked.isErr()) return err(malformed(asked.error));
  const choice = findModel(input.configuration, asked.value.model);
  if (choice === null) {
    const failure = NOT_SERVED.of({ what: `model ${asked.value.model}` });
    // A service that was removed meanwhile may have run an earlier sending of this key.
    const isKeyed = input.headers['idempotency-key'] !== undefined;
    return err(refuseUnseen(failure, 404, null, isKeyed));
  }
  return buildRequest(input, asked.value, choice);
}

function buildRequest(
  input: ModelRequestInput,
  asked: AskedCompletion,
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
    modelText: asked.model,
    model: choice.model,
    adapter: choice.adapter,
    prompt: asked.prompt,
    maxTokens: Math.min(asked.maxTokens, limits.maxOutputTokens),
    temperature: asked.temperature,
    seed: asked.seed ?? seedOf(key.workspace, key.idempotencyKey),
    stream: asked.stream,
    includeUsage: asked.includeUsage,
    priority: readPriority(input.headers),
    timeoutMs: readTimeoutMs(input.headers, choice.service.deadlineMs),
    contentHash: contentHash(input.format, asked),
    resumeFrom,
  });
}

/** The seed follows from the key, so that a rerun of the same request samples the same tokens. */
function seedOf(workspace: string, idempotencyKey: string): number {
  const digest = createHash('sha256')
    .update(JSON.stringify([workspace, idempotencyKey]))
    .digest();
  return digest.readUInt32BE(0) & MAX_SEED;
}

/** What is asked, apart from how it is delivered: a resend may stream where the first did not. */
function contentHash(format: AnswerFormat, asked: AskedCompletion): string {
  const { model, prompt, maxTokens, temperature, seed } = asked;
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
