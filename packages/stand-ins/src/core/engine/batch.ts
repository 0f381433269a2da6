/**
 * Models continuous batching without timers or I/O. Requests join and leave the batch at each step,
 * prompts are prefilled in chunks alongside decoding requests, and a step takes longer with a larger
 * batch and context. The caller waits for the step's duration before it delivers the emissions.
 */
import type { EngineRequest } from '@cassiamast/ports';
import { FinishReason } from '@cassiamast/ports';
import { EngineRole } from '@cassiamast/coordination';
import type { AnswerSource } from './answer.js';
import { answerSource, answerToken } from './answer.js';
import type { EngineOptions } from './options.js';
import type { PrefixCache } from './prefix-cache.js';
import { cachedPrefixTokens, shrinkTo, storeBlocks } from './prefix-cache.js';
import type { TokenizedPrompt } from './prompt.js';

/** Progress of one request in the engine. */
export interface Work {
  readonly request: EngineRequest;
  readonly prompt: TokenizedPrompt;
  readonly source: AnswerSource;
  /** Arrival number, which orders requests of equal priority. */
  readonly arrival: number;
  /** Prompt tokens whose KV cache was imported from another engine. */
  readonly importedTokens: number;
  cachedTokens: number;
  /** Tokens left to prefill before the next token of the answer. */
  toPrefill: number;
  /** Position of the next token in the whole answer. */
  nextIndex: number;
}

/** The running batch and the queue of waiting requests. */
export interface Batch {
  role: EngineRole;
  waiting: Work[];
  running: Work[];
  arrivals: number;
}

/** Kinds of results that a step can have for a stream. */
export enum EmissionKind {
  Token = 'token',
  Finished = 'finished',
  OutOfCacheMemory = 'out-of-cache-memory',
  /** The request crashes the engine. */
  Crash = 'crash',
}

/** One result of a step for one stream. */
export interface Emission {
  readonly kind: EmissionKind;
  readonly work: Work;
  readonly token?: string;
  readonly index?: number;
  readonly reason?: FinishReason;
}

/** A computed step: its duration and its results. */
export interface Step {
  readonly durationMs: number;
  readonly emissions: readonly Emission[];
  /** Requests that entered the batch in this step and count as run. */
  readonly admitted: readonly Work[];
}

/** Creates an empty batch. */
export function createBatch(role: EngineRole): Batch {
  return { role, waiting: [], running: [], arrivals: 0 };
}

/** Adds a request to the queue, ahead of requests of lower priority. */
export function enqueue(
  batch: Batch,
  request: EngineRequest,
  prompt: TokenizedPrompt,
  importedTokens: number,
  variant: string,
): Work {
  const work: Work = {
    request,
    prompt,
    source: answerSource(request.prompt, request.seed, variant),
    arrival: batch.arrivals++,
    importedTokens,
    cachedTokens: 0,
    toPrefill: prompt.tokens,
    nextIndex: request.continueFrom.length,
  };
  const insertAt = batch.waiting.findIndex((other) => other.request.priority < request.priority);
  batch.waiting.splice(insertAt === -1 ? batch.waiting.length : insertAt, 0, work);
  return work;
}

/** Removes a request from the queue or the running batch. */
export function removeWork(batch: Batch, streamId: string): void {
  const isOther = (work: Work): boolean => work.request.streamId !== streamId;
  batch.waiting = batch.waiting.filter(isOther);
  batch.running = batch.running.filter(isOther);
}

/** Returns the tokens of KV cache that a running request uses. */
export function contextTokens(work: Work): number {
  return work.prompt.tokens + work.nextIndex;
}

/** Returns the tokens of KV cache that all running requests use. */
export function runningContextTokens(batch: Batch): number {
  return batch.running.reduce((sum, work) => sum + contextTokens(work), 0);
}

/** Computes one step. Returns null when there is no work. */
export function runStep(
  batch: Batch,
  cache: PrefixCache,
  options: EngineOptions,
  nowMs: number,
): Step | null {
  const emissions: Emission[] = [];
  const admitted = admit(batch, cache, options, nowMs);
  if (batch.running.length === 0) return null;
  const prefilled = prefill(batch, cache, options, nowMs);
  const decoding = batch.running.filter((work) => work.toPrefill === 0);
  const contextKtokens = decoding.reduce((sum, work) => sum + contextTokens(work), 0) / 1_000;
  for (const work of decoding) emissions.push(...decode(work, options));
  const ended = new Set(
    emissions
      .filter((emission) => emission.kind === EmissionKind.Finished)
      .map((emission) => emission.work),
  );
  batch.running = batch.running.filter((work) => !ended.has(work));
  emissions.push(...dropToFitMemory(batch, options));
  shrinkTo(cache, options.kvCapacityTokens - runningContextTokens(batch), nowMs, options);
  const durationMs =
    options.stepBaseMs +
    options.stepPerRequestMs * decoding.length +
    options.stepPerContextKtokenMs * contextKtokens +
    prefilled / options.prefillTokensPerMs;
  return { durationMs, emissions, admitted };
}

function admit(
  batch: Batch,
  cache: PrefixCache,
  options: EngineOptions,
  nowMs: number,
): readonly Work[] {
  const admitted: Work[] = [];
  const { maxBatch } = options.roleSpeeds[batch.role];
  let usedTokens = runningContextTokens(batch);
  for (;;) {
    const next = batch.waiting[0];
    if (next === undefined || batch.running.length >= maxBatch) return admitted;
    usedTokens += contextTokens(next);
    if (usedTokens > options.kvCapacityTokens) return admitted;
    batch.waiting.shift();
    const cached = cachedPrefixTokens(cache, next.prompt.blocks);
    next.cachedTokens = Math.max(cached, next.importedTokens);
    // At least the last token is always computed, because it produces the next token of the answer.
    next.toPrefill = Math.max(1, contextTokens(next) - next.cachedTokens);
    batch.running.push(next);
    admitted.push(next);
    shrinkTo(cache, options.kvCapacityTokens - usedTokens, nowMs, options);
  }
}

/** Prefills one chunk of prompts in admission order. Returns the number of computed tokens. */
function prefill(batch: Batch, cache: PrefixCache, options: EngineOptions, nowMs: number): number {
  let budget = options.roleSpeeds[batch.role].prefillChunkTokens;
  const chunk = budget;
  for (const work of batch.running) {
    if (work.toPrefill === 0 || budget === 0) continue;
    const computed = Math.min(budget, work.toPrefill);
    work.toPrefill -= computed;
    budget -= computed;
    if (work.toPrefill === 0) storeBlocks(cache, work.prompt.blocks, nowMs, options);
  }
  return chunk - budget;
}

function decode(work: Work, options: EngineOptions): readonly Emission[] {
  const { request } = work;
  if (request.prefillOnly) {
    return [{ kind: EmissionKind.Finished, work, reason: FinishReason.PrefillDone }];
  }
  const index = work.nextIndex;
  if (index >= request.maxTokens) {
    return [{ kind: EmissionKind.Finished, work, reason: FinishReason.Length }];
  }
  const generatedTokens = index - request.continueFrom.length;
  if (generatedTokens >= options.crashAfterTokens && request.prompt.includes(options.crashMarker)) {
    return [{ kind: EmissionKind.Crash, work }];
  }
  work.nextIndex += 1;
  const token = answerToken(work.source, index);
  const emission: Emission = { kind: EmissionKind.Token, work, token, index };
  if (work.nextIndex < request.maxTokens) return [emission];
  return [emission, { kind: EmissionKind.Finished, work, reason: FinishReason.Length }];
}

/** Drops the latest request of the lowest priority until the running requests fit in memory. */
function dropToFitMemory(batch: Batch, options: EngineOptions): readonly Emission[] {
  const dropped: Emission[] = [];
  while (runningContextTokens(batch) > options.kvCapacityTokens) {
    const victim = batch.running.reduce((worst, work) =>
      work.request.priority < worst.request.priority ||
      (work.request.priority === worst.request.priority && work.arrival > worst.arrival)
        ? work
        : worst,
    );
    batch.running = batch.running.filter((work) => work !== victim);
    dropped.push({ kind: EmissionKind.OutOfCacheMemory, work: victim });
  }
  return dropped;
}
