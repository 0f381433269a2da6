/**
 * State that an engine process loses in a crash. Only the counts for test oracles survive one.
 */
import type { Batch } from './batch.js';
import { createBatch, runningContextTokens } from './batch.js';
import type { LoadFigures, LoadReports } from './load-report.js';
import { createLoadReports } from './load-report.js';
import type { EngineOptions } from './options.js';
import type { OrderState, OrderCounts } from './orders.js';
import { newOrderCounts } from './orders.js';
import type { PrefixCache } from './prefix-cache.js';
import { createPrefixCache } from './prefix-cache.js';
import type { TokenizedPrompt } from './prompt.js';
import { BLOCK_TOKENS } from './prompt.js';
import type { Streams } from './streams.js';

/** Maximum number of KV handles kept; the oldest is removed first. */
const MAX_KV_HANDLES = 1_024;

/** State of one incarnation of the engine, from its start to a crash. */
export interface EngineIncarnation {
  /** Changes at each start. */
  readonly epoch: string;
  readonly batch: Batch;
  readonly cache: PrefixCache;
  readonly streams: Streams;
  readonly orderState: OrderState;
  readonly loads: LoadReports;
  /** KV cache that can be exported, or was imported, by handle. */
  readonly kvHandles: Map<string, TokenizedPrompt>;
  lastStepMs: number;
}

/** Counts for test oracles, which survive crashes. */
export interface EngineCounts extends OrderCounts {
  crashes: number;
  requests: number;
  generatedTokens: number;
  prefilledPromptTokens: number;
  cachedPromptTokens: number;
  outOfCacheMemory: number;
}

/** Creates counts that are all zero. */
export function newEngineCounts(): EngineCounts {
  return {
    ...newOrderCounts(),
    crashes: 0,
    requests: 0,
    generatedTokens: 0,
    prefilledPromptTokens: 0,
    cachedPromptTokens: 0,
    outOfCacheMemory: 0,
  };
}

/** Creates a new incarnation. `highestFence` is the highest fencing token that the earlier one kept, or 0. */
export function createIncarnation(
  options: EngineOptions,
  epoch: string,
  highestFence: number,
): EngineIncarnation {
  return {
    epoch,
    batch: createBatch(options.role),
    cache: createPrefixCache(epoch),
    streams: new Map(),
    orderState: {
      role: options.role,
      models: [...options.models],
      inProgress: null,
      lastDone: null,
      highestFence,
    },
    loads: createLoadReports(),
    kvHandles: new Map(),
    lastStepMs: 0,
  };
}

/** Stores KV cache under a handle and removes the oldest handle beyond the limit. */
export function keepKvHandle(
  incarnation: EngineIncarnation,
  handle: string,
  prompt: TokenizedPrompt,
): void {
  incarnation.kvHandles.set(handle, prompt);
  if (incarnation.kvHandles.size <= MAX_KV_HANDLES) return;
  const oldest = incarnation.kvHandles.keys().next();
  if (oldest.done !== true) incarnation.kvHandles.delete(oldest.value);
}

/** Returns the current load, without the report delay. */
export function loadFigures(incarnation: EngineIncarnation, options: EngineOptions): LoadFigures {
  const { batch, cache } = incarnation;
  const contextTokens = runningContextTokens(batch);
  const prefill = [...batch.waiting, ...batch.running];
  return {
    running_requests: batch.running.length,
    waiting_requests: batch.waiting.length,
    waiting_prefill_tokens: prefill.reduce((sum, work) => sum + work.toPrefill, 0),
    running_context_tokens: contextTokens,
    kv_used_tokens: contextTokens + cache.blocks.size * BLOCK_TOKENS,
    kv_capacity_tokens: options.kvCapacityTokens,
    step_ms: incarnation.lastStepMs,
  };
}
