/** Tracks the work, cache, speed and health of one engine, as known to the scheduler. */
import {
  EnginePhase,
  type EngineSpec,
  type PromptPart,
  type TargetEntry,
} from '../forwarding/fleet.js';
import type { Permits } from '../rate-limits/rate-limiter.js';
import { type PromptCache, countCachedParts, createPromptCache } from './prompt-cache.js';
import {
  type EngineSpeed,
  type ServiceSpeeds,
  createEngineSpeed,
  prefillModelOf,
} from './engine-speeds.js';
import { type PrefillTimeModel, predictPrefillMs, prefillLatencyMs } from './prefill-time.js';
import type { SchedulerOptions } from './options.js';

/** A prompt that an engine was given and has not finished prefilling. */
export interface Prefill {
  readonly jobId: string;
  readonly parts: readonly PromptPart[];
  /** Number of leading parts that were already cached; the rest is being prefilled. */
  readonly cachedParts: number;
  readonly tokens: number;
  readonly predictedMs: number;
  /** Part of the predicted time in which cached parts are transferred. */
  readonly transferMs: number;
  readonly outputTokens: number;
  readonly startedAtMs: number;
}

/** State of one engine. */
export interface TargetLoad {
  entry: TargetEntry;
  /** Rate limit permits of all engines, used to check whether this engine may be sent a request. */
  readonly permits: Permits;
  readonly cache: PromptCache;
  /** Time to transfer the KV cache of one token over the engine's link. */
  readonly transferMsPerToken: number;
  /** Prefill times in the engine's current phase, of all engines of the service if those are learned. */
  prefillTimeModel: PrefillTimeModel;
  /** Speed of the engine relative to its service. */
  readonly speed: EngineSpeed;
  /** Unfinished prefills by job id, in the order in which they were assigned. */
  readonly prefills: Map<string, Prefill>;
  /** Parts that are not prefilled yet, with the number of unfinished prefills that include them. */
  readonly pendingParts: Map<string, number>;
  /** Tokens in memory of the requests that this engine decodes, by job id. */
  readonly streaming: Map<string, number>;
  /** Sum of these tokens. */
  streamingTokens: number;
  lastPrefillEndAtMs: number;
  suspendedUntilMs: number;
  /** Whether it announced that it is shutting down, which the store may not show yet. */
  isLeaving: boolean;
  consecutiveFailures: number;
  /** Number of consecutive answers that the engine broke off. */
  consecutiveBreaks: number;
}

/** Returns the state of an engine without any history. */
export function createTargetLoad(
  entry: TargetEntry,
  spec: EngineSpec,
  permits: Permits,
  speeds: ServiceSpeeds,
  learnsSpeeds: boolean,
): TargetLoad {
  return {
    entry,
    permits,
    cache: createPromptCache(spec.kvCapacityTokens),
    transferMsPerToken: transferMsPerToken(spec),
    prefillTimeModel: prefillModelOf(speeds, learnsSpeeds, entry.phase),
    speed: createEngineSpeed(speeds, learnsSpeeds),
    prefills: new Map(),
    pendingParts: new Map(),
    streaming: new Map(),
    streamingTokens: 0,
    lastPrefillEndAtMs: 0,
    suspendedUntilMs: 0,
    isLeaving: false,
    consecutiveFailures: 0,
    consecutiveBreaks: 0,
  };
}

const BITS_PER_BYTE = 8;
const BITS_PER_MEGABIT = 1e6;
const MS_PER_S = 1000;

function transferMsPerToken({ kvTokenBytes, linkMbps }: EngineSpec): number {
  if (linkMbps <= 0) return 0;
  return (kvTokenBytes * BITS_PER_BYTE * MS_PER_S) / (linkMbps * BITS_PER_MEGABIT);
}

/** Returns how long a prompt of the given number of tokens occupies an engine. */
export function predictEnginePrefillMs(
  { speed, prefillTimeModel }: TargetLoad,
  tokens: number,
): number {
  return speed.prefillSlowness * predictPrefillMs(prefillTimeModel, tokens);
}

/**
 * Returns how long a prompt that is given to an engine now waits there for the prefills before it.
 * The latency of the way there is not included, as the engine works on other prompts meanwhile.
 */
export function pendingPrefillMs(load: TargetLoad, nowMs: number): number {
  const latencyMs = prefillLatencyMs(load.prefillTimeModel);
  let endsAtMs = load.lastPrefillEndAtMs;
  for (const { startedAtMs, predictedMs } of load.prefills.values()) {
    endsAtMs = Math.max(endsAtMs, startedAtMs + latencyMs) + predictedMs;
    // A prefill that is overdue may end at any moment.
    endsAtMs = Math.max(endsAtMs, nowMs);
  }
  return Math.max(0, endsAtMs - nowMs - latencyMs);
}

/**
 * Returns the number of leading parts of a prompt that an engine can transfer now. Parts that are
 * still being prefilled are excluded; fetching them would result in a full prefill instead of a
 * transfer.
 */
export function countTransferableParts(load: TargetLoad, parts: readonly PromptPart[]): number {
  const cachedParts = countCachedParts(load.cache, parts);
  if (load.pendingParts.size === 0) return cachedParts;
  const firstPending = parts.findIndex((part) => load.pendingParts.has(part.id));
  return firstPending === -1 ? cachedParts : Math.min(cachedParts, firstPending);
}

/** Records that an engine is given a prompt. */
export function beginPrefill(load: TargetLoad, prefill: Prefill): void {
  load.prefills.set(prefill.jobId, prefill);
  for (const { id } of uncachedPartsOf(prefill)) {
    load.pendingParts.set(id, (load.pendingParts.get(id) ?? 0) + 1);
  }
}

/** Removes a prefill that finished or was abandoned, and returns it, or null if there was none. */
export function endPrefill(load: TargetLoad, jobId: string): Prefill | null {
  const prefill = load.prefills.get(jobId);
  if (prefill === undefined) return null;
  load.prefills.delete(jobId);
  for (const { id } of uncachedPartsOf(prefill)) {
    const remaining = (load.pendingParts.get(id) ?? 0) - 1;
    if (remaining > 0) load.pendingParts.set(id, remaining);
    else load.pendingParts.delete(id);
  }
  return prefill;
}

/** Records that an engine decodes a job that holds this many tokens in its memory. */
export function beginStream(load: TargetLoad, jobId: string, tokens: number): void {
  endStream(load, jobId);
  load.streaming.set(jobId, tokens);
  load.streamingTokens += tokens;
}

/** Removes a job that an engine no longer decodes. */
export function endStream(load: TargetLoad, jobId: string): void {
  load.streamingTokens -= load.streaming.get(jobId) ?? 0;
  load.streaming.delete(jobId);
}

/** Returns the parts of a prompt that were not in the engine's cache when it was given. */
export function uncachedPartsOf(prefill: Prefill): readonly PromptPart[] {
  return prefill.parts.slice(prefill.cachedParts);
}

/** Returns whether an engine may be given work now. */
export function isUsable(load: TargetLoad, nowMs: number): boolean {
  return isHealthy(load, nowMs) && load.permits.has(load.entry.id);
}

/** Returns whether the state of an engine permits work, regardless of its rate limit. */
export function isHealthy(load: TargetLoad, nowMs: number): boolean {
  return !isShuttingDown(load) && load.suspendedUntilMs <= nowMs;
}

/** Returns whether an engine will take no more work, by its entry or its own announcement. */
export function isShuttingDown({ entry, isLeaving }: TargetLoad): boolean {
  return entry.draining || isLeaving;
}

/** Returns whether an engine can be given another prompt now. */
export function hasCapacity(load: TargetLoad, options: SchedulerOptions, nowMs: number): boolean {
  if (!isUsable(load, nowMs)) return false;
  if (isHalfOpen(load) && load.prefills.size > 0) return false;
  if (load.prefills.size >= options.maxPrefillsPerEngine) return false;
  return pendingPrefillMs(load, nowMs) <= options.lookaheadMs;
}

/** Returns whether an engine generates tokens for callers. */
export function canDecode(load: TargetLoad): boolean {
  return load.entry.phase !== EnginePhase.Prefill;
}

/**
 * Suspends a failed target with exponential backoff. Afterwards it is half-open and gets one job at
 * a time.
 */
export function recordFailure(load: TargetLoad, options: SchedulerOptions, nowMs: number): void {
  const suspendForMs = Math.min(
    options.maxSuspendMs,
    options.initialSuspendMs * 2 ** load.consecutiveFailures,
  );
  load.consecutiveFailures += 1;
  load.suspendedUntilMs = nowMs + suspendForMs;
}

/** Counts an answer that a target broke off; several in a row count as a failure. */
export function recordBrokenAnswer(
  load: TargetLoad,
  options: SchedulerOptions,
  nowMs: number,
): void {
  load.consecutiveBreaks += 1;
  if (load.consecutiveBreaks >= options.maxConsecutiveBreaks) recordFailure(load, options, nowMs);
}

/**
 * Returns whether a target has failed and not succeeded since; it is then given one job at a time.
 */
export function isHalfOpen(load: TargetLoad): boolean {
  return load.consecutiveFailures > 0;
}

/** Clears the failure state of a target that served a request. */
export function recordSuccess(load: TargetLoad): void {
  load.consecutiveFailures = 0;
  load.consecutiveBreaks = 0;
  load.suspendedUntilMs = 0;
}

/**
 * Updates the announced entry of a target and resets the prefill time model if its phase changed.
 */
export function updateEntry(load: TargetLoad, entry: TargetEntry): void {
  if (load.entry.phase !== entry.phase) {
    load.prefillTimeModel = prefillModelOf(load.speed.service, load.speed.isLearned, entry.phase);
    load.suspendedUntilMs = 0;
  }
  load.entry = entry;
}
