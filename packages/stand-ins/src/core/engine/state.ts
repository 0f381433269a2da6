/**
 * Everything that an engine process holds between two crashes. A crash makes it anew; only the
 * counts for oracles outlive it.
 */
import type { Batch } from './batch.js';
import { createBatch, runningContextTokens } from './batch.js';
import type { LoadFigures, LoadReports } from './load-report.js';
import { createLoadReports } from './load-report.js';
import type { EngineOptions } from './options.js';
import type { Ordered, OrderCounts } from './orders.js';
import { newOrderCounts } from './orders.js';
import type { PrefixCache } from './prefix-cache.js';
import { createPrefixCache } from './prefix-cache.js';
import type { TokenizedPrompt } from './prompt.js';
import { BLOCK_TOKENS } from './prompt.js';
import type { Streams } from './streams.js';

/** Handles kept; the oldest is dropped first. */
const MAX_KV_HANDLES = 1_024;

/** One life of the engine, from a start to a crash. */
export interface EngineLife {
  /** Changes at each start. */
  readonly epoch: string;
  readonly batch: Batch;
  readonly cache: PrefixCache;
  readonly streams: Streams;
  readonly ordered: Ordered;
  readonly loads: LoadReports;
  /** KV cache that can be exported, or was imported, by handle. */
  readonly kvHandles: Map<string, TokenizedPrompt>;
  lastStepMs: number;
}

/** What oracles read; outlives crashes. */
export interface EngineCounts extends OrderCounts {
  crashes: number;
  requests: number;
  generatedTokens: number;
  prefilledPromptTokens: number;
  cachedPromptTokens: number;
  outOfCacheMemory: number;
}

/** Nothing happened yet. */
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

/** A new life; `highestFence` is what the last one remembered, or 0. */
export function startLife(options: EngineOptions, epoch: string, highestFence: number): EngineLife {
  return {
    epoch,
    batch: createBatch(options.role),
    cache: createPrefixCache(epoch),
    streams: new Map(),
    ordered: {
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

/** Remembers KV cache under a handle. */
export function keepKvHandle(life: EngineLife, handle: string, prompt: TokenizedPrompt): void {
  life.kvHandles.set(handle, prompt);
  if (life.kvHandles.size <= MAX_KV_HANDLES) return;
  const oldest = life.kvHandles.keys().next();
  if (oldest.done !== true) life.kvHandles.delete(oldest.value);
}

/** The true load at the moment. */
export function loadFigures(life: EngineLife, options: EngineOptions): LoadFigures {
  const { batch, cache } = life;
  const contextTokens = runningContextTokens(batch);
  const prefill = [...batch.waiting, ...batch.running];
  return {
    running_requests: batch.running.length,
    waiting_requests: batch.waiting.length,
    waiting_prefill_tokens: prefill.reduce((sum, work) => sum + work.toPrefill, 0),
    running_context_tokens: contextTokens,
    kv_used_tokens: contextTokens + cache.blocks.size * BLOCK_TOKENS,
    kv_capacity_tokens: options.kvCapacityTokens,
    step_ms: life.lastStepMs,
  };
}
