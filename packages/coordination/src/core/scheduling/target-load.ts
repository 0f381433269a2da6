/** What a scheduler knows of one engine: its work, its cache, its speed and its health. */
import {
  EnginePhase,
  type EngineSpec,
  type PromptPart,
  type TargetEntry,
} from '../forwarding/fleet.js';
import type { Permits } from '../rate-limits/rate-limiter.js';
import { type PromptCache, createPromptCache, heldParts } from './prompt-cache.js';
import { FULL_TOKENS_PER_MS, type ReadTime, createReadTime } from './read-time.js';
import type { SchedulerOptions } from './options.js';

/** A prompt that an engine was given and has not read yet. */
export interface Reading {
  readonly jobId: string;
  readonly parts: readonly PromptPart[];
  /** Parts from the beginning that were in the cache already; the rest is being read. */
  readonly heldParts: number;
  readonly tokens: number;
  readonly predictedMs: number;
  readonly startedAtMs: number;
}

/** One engine. */
export interface TargetLoad {
  entry: TargetEntry;
  /** Of all engines; what is asked of them is whether this one may be sent a request. */
  readonly permits: Permits;
  readonly cache: PromptCache;
  /** Time that a token's memory takes over the engine's link. */
  readonly transferMsPerToken: number;
  /** Of its present phase. */
  readTime: ReadTime;
  /** In the order in which they were given. */
  readonly reading: Map<string, Reading>;
  /** Parts that it is given to read and has not read yet, with how many of its readings have them. */
  readonly unreadParts: Map<string, number>;
  /** Tokens in memory of the requests that make tokens here, by job. */
  readonly streaming: Map<string, number>;
  lastReadEndAtMs: number;
  suspendedUntilMs: number;
  failuresInARow: number;
  /** Answers in a row that it broke off. */
  breaksInARow: number;
}

/** An engine that nothing is known of. */
export function createTargetLoad(
  entry: TargetEntry,
  spec: EngineSpec,
  permits: Permits,
): TargetLoad {
  return {
    entry,
    permits,
    cache: createPromptCache(spec.kvCapacityTokens),
    transferMsPerToken: transferMsPerToken(spec),
    readTime: createReadTime(priorTokensPerMs(entry.phase)),
    reading: new Map(),
    unreadParts: new Map(),
    streaming: new Map(),
    lastReadEndAtMs: 0,
    suspendedUntilMs: 0,
    failuresInARow: 0,
    breaksInARow: 0,
  };
}

const BITS_PER_BYTE = 8;
const BITS_PER_MEGABIT = 1e6;
const MS_PER_S = 1000;

function transferMsPerToken({ kvTokenBytes, linkMbps }: EngineSpec): number {
  if (linkMbps <= 0) return 0;
  return (kvTokenBytes * BITS_PER_BYTE * MS_PER_S) / (linkMbps * BITS_PER_MEGABIT);
}

/** Engines that make tokens read at half speed beside that, as their data sheet says. */
const DECODE_READ_SHARE = 0.5;

function priorTokensPerMs(phase: EnginePhase | null): number {
  return phase === EnginePhase.Decode ? FULL_TOKENS_PER_MS * DECODE_READ_SHARE : FULL_TOKENS_PER_MS;
}

/** Reading that an engine still has before it, by prediction. */
export function pendingReadMs(load: TargetLoad, nowMs: number): number {
  let pendingMs = 0;
  let isFirst = true;
  for (const reading of load.reading.values()) {
    // The engine reads in order: only the first prompt has had some of its time.
    const begunAtMs = Math.max(reading.startedAtMs, load.lastReadEndAtMs);
    const spentMs = isFirst ? Math.max(0, nowMs - begunAtMs) : 0;
    pendingMs += Math.max(0, reading.predictedMs - spentMs);
    isFirst = false;
  }
  return pendingMs;
}

/**
 * Parts from the beginning of a prompt that an engine can hand over now. Guards against fetching
 * what is still being read: it shows as a prompt that is read in full where a transfer was meant.
 */
export function partsToHandOver(load: TargetLoad, parts: readonly PromptPart[]): number {
  const held = heldParts(load.cache, parts);
  if (load.unreadParts.size === 0) return held;
  const firstUnread = parts.findIndex((part) => load.unreadParts.has(part.id));
  return firstUnread === -1 ? held : Math.min(held, firstUnread);
}

/** An engine is given a prompt. */
export function beginReading(load: TargetLoad, reading: Reading): void {
  load.reading.set(reading.jobId, reading);
  for (const { id } of unreadOf(reading)) {
    load.unreadParts.set(id, (load.unreadParts.get(id) ?? 0) + 1);
  }
}

/** An engine has read a prompt, or never will; gives the reading, null where there was none. */
export function endReading(load: TargetLoad, jobId: string): Reading | null {
  const reading = load.reading.get(jobId);
  if (reading === undefined) return null;
  load.reading.delete(jobId);
  for (const { id } of unreadOf(reading)) {
    const left = (load.unreadParts.get(id) ?? 0) - 1;
    if (left > 0) load.unreadParts.set(id, left);
    else load.unreadParts.delete(id);
  }
  return reading;
}

/** Parts of a prompt that an engine did not have in its cache when it was given. */
export function unreadOf(reading: Reading): readonly PromptPart[] {
  return reading.parts.slice(reading.heldParts);
}

/** Whether an engine may be given work now. */
export function isUsable(load: TargetLoad, nowMs: number): boolean {
  return isServing(load, nowMs) && load.permits.has(load.entry.id);
}

/** Whether an engine may be given work as far as its health goes, whatever rate limit it names. */
export function isServing(load: TargetLoad, nowMs: number): boolean {
  return !load.entry.draining && load.suspendedUntilMs <= nowMs;
}

/** Whether an engine can be given one more prompt now. */
export function hasRoom(load: TargetLoad, options: SchedulerOptions, nowMs: number): boolean {
  if (!isUsable(load, nowMs)) return false;
  if (isOnTrial(load) && load.reading.size > 0) return false;
  if (load.reading.size >= options.maxReading) return false;
  return pendingReadMs(load, nowMs) <= options.lookaheadMs;
}

/** Whether an engine makes tokens for callers. */
export function makesTokens(load: TargetLoad): boolean {
  return load.entry.phase !== EnginePhase.Prefill;
}

/** Leaves a target alone for a while; it is tried again with one job at a time. */
export function noteFailure(load: TargetLoad, options: SchedulerOptions, nowMs: number): void {
  const forMs = Math.min(options.maxSuspendMs, options.suspendMs * 2 ** load.failuresInARow);
  load.failuresInARow += 1;
  load.suspendedUntilMs = nowMs + forMs;
}

/** Counts an answer that a target broke off; several in a row are a failure. */
export function noteBreak(load: TargetLoad, options: SchedulerOptions, nowMs: number): void {
  load.breaksInARow += 1;
  if (load.breaksInARow >= options.maxBreaksInARow) noteFailure(load, options, nowMs);
}

/** Whether a target failed lately and has not served since: it is given one job at a time. */
export function isOnTrial(load: TargetLoad): boolean {
  return load.failuresInARow > 0;
}

/** A target served: whatever it failed before is over. */
export function noteSuccess(load: TargetLoad): void {
  load.failuresInARow = 0;
  load.breaksInARow = 0;
  load.suspendedUntilMs = 0;
}

/** Follows what a target says of itself; in another phase it reads at another speed. */
export function noteEntry(load: TargetLoad, entry: TargetEntry): void {
  if (load.entry.phase !== entry.phase) {
    load.readTime = createReadTime(priorTokensPerMs(entry.phase));
    load.suspendedUntilMs = 0;
  }
  load.entry = entry;
}
