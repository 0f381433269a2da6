/**
 * Limits of tokens a second per workspace over all entries, without a call per request. Each entry
 * holds a token bucket with its part of the limit. The part follows the demand that the entries
 * gossip: an entry that sees more of a workspace gets more, and none gets less than a floor, so
 * that a workspace that moves to another entry is not shut out until the gossip has come round.
 */
import { LRUCache } from 'lru-cache';

interface Bucket {
  tokens: number;
  filledAtMs: number;
  /** Demand seen here since the last gossip, in tokens. */
  seenTokens: number;
  /** This entry's part of the limit, 0 to 1. */
  part: number;
}

/** The buckets of one entry. */
export interface WorkspaceLimits {
  readonly buckets: LRUCache<string, Bucket>;
  entries: number;
}

/** Workspaces with a bucket: the target size has 960 in steady use. */
const MAX_BUCKETS = 2048;

/** Burst that a bucket holds, in seconds of its rate: evens out arrivals within a few seconds. */
const BURST_S = 2;

/** Least part of an entry, relative to an even split. */
const FLOOR_OF_EVEN_PART = 0.25;

/** Makes limits for a lone entry. */
export function createWorkspaceLimits(): WorkspaceLimits {
  return { buckets: new LRUCache<string, Bucket>({ max: MAX_BUCKETS }), entries: 1 };
}

/** Takes tokens for a request. Returns 0, or after how many milliseconds it would fit. */
export function takeTokens(
  limits: WorkspaceLimits,
  workspace: string,
  maxTokensPerS: number | null,
  costTokens: number,
  nowMs: number,
): number {
  if (maxTokensPerS === null) return 0;
  const bucket = bucketOf(limits, workspace, maxTokensPerS, nowMs);
  const ratePerS = maxTokensPerS * bucket.part;
  const fullTokens = ratePerS * BURST_S;
  const gained = ((nowMs - bucket.filledAtMs) / 1000) * ratePerS;
  bucket.tokens = Math.min(fullTokens, bucket.tokens + gained);
  bucket.filledAtMs = nowMs;
  bucket.seenTokens += costTokens;
  // A request larger than the whole burst goes when the bucket is full, else it never would.
  const needed = Math.min(costTokens, fullTokens);
  if (bucket.tokens < needed) return ((needed - bucket.tokens) / ratePerS) * 1000;
  bucket.tokens -= costTokens;
  return 0;
}

function bucketOf(
  limits: WorkspaceLimits,
  workspace: string,
  maxTokensPerS: number,
  nowMs: number,
): Bucket {
  const known = limits.buckets.get(workspace);
  if (known !== undefined) return known;
  const part = 1 / limits.entries;
  const bucket: Bucket = {
    tokens: maxTokensPerS * part * BURST_S,
    filledAtMs: nowMs,
    seenTokens: 0,
    part,
  };
  limits.buckets.set(workspace, bucket);
  return bucket;
}

/** Demand for limited workspaces since the last call, to be gossiped; starts counting anew. */
export function takeDemand(limits: WorkspaceLimits): ReadonlyMap<string, number> {
  const demand = new Map<string, number>();
  for (const [workspace, bucket] of limits.buckets.entries()) {
    if (bucket.seenTokens > 0) demand.set(workspace, bucket.seenTokens);
    bucket.seenTokens = 0;
  }
  return demand;
}

/** Sets this entry's parts from its own demand and the sum that all entries gossiped. */
export function noteDemand(
  limits: WorkspaceLimits,
  entries: number,
  own: ReadonlyMap<string, number>,
  total: ReadonlyMap<string, number>,
): void {
  limits.entries = Math.max(1, entries);
  const floor = FLOOR_OF_EVEN_PART / limits.entries;
  for (const [workspace, bucket] of limits.buckets.entries()) {
    const sum = total.get(workspace) ?? 0;
    const wanted = sum > 0 ? (own.get(workspace) ?? 0) / sum : 1 / limits.entries;
    bucket.part = floor + (1 - FLOOR_OF_EVEN_PART) * wanted;
  }
}
