/**
 * Enforces a limit of tokens per second for each workspace over all entries, without a remote call
 * per request. Each entry has a token bucket with its share of the limit. The shares follow the
 * demand that the entries exchange by gossip: an entry with more demand from a workspace gets a
 * larger share. Each entry keeps a minimum share, so that a workspace that moves to another entry
 * is not rejected until the gossip has spread.
 */
import { LRUCache } from 'lru-cache';

interface Bucket {
  tokens: number;
  filledAtMs: number;
  /** Demand at this entry since the last gossip, in tokens. */
  demandTokens: number;
  /** This entry's share of the limit, 0 to 1. */
  limitShare: number;
}

/** The token buckets of one entry. */
export interface WorkspaceLimits {
  readonly buckets: LRUCache<string, Bucket>;
  entries: number;
}

/** Maximum number of buckets; the planned deployment has 960 workspaces in steady use. */
const MAX_BUCKETS = 2048;

/** Capacity of a bucket in seconds of its rate; smooths arrivals over a few seconds. */
const BURST_S = 2;

/** Minimum share of an entry, relative to an even split over the entries. */
const MIN_SHARE_OF_EVEN_SPLIT = 0.25;

/** Creates the limits for an entry that initially assumes that it is the only one. */
export function createWorkspaceLimits(): WorkspaceLimits {
  return { buckets: new LRUCache<string, Bucket>({ max: MAX_BUCKETS }), entries: 1 };
}

/** Takes tokens for a request. Returns 0, or the milliseconds until enough tokens are available. */
export function takeTokens(
  limits: WorkspaceLimits,
  workspace: string,
  maxTokensPerS: number | null,
  costTokens: number,
  nowMs: number,
): number {
  if (maxTokensPerS === null) return 0;
  const bucket = bucketOf(limits, workspace, maxTokensPerS, nowMs);
  const ratePerS = maxTokensPerS * bucket.limitShare;
  const capacityTokens = ratePerS * BURST_S;
  const refillTokens = ((nowMs - bucket.filledAtMs) / 1000) * ratePerS;
  bucket.tokens = Math.min(capacityTokens, bucket.tokens + refillTokens);
  bucket.filledAtMs = nowMs;
  bucket.demandTokens += costTokens;
  // A request larger than the bucket is admitted when the bucket is full; otherwise it never would.
  const neededTokens = Math.min(costTokens, capacityTokens);
  if (bucket.tokens < neededTokens) return ((neededTokens - bucket.tokens) / ratePerS) * 1000;
  bucket.tokens -= costTokens;
  return 0;
}

function bucketOf(
  limits: WorkspaceLimits,
  workspace: string,
  maxTokensPerS: number,
  nowMs: number,
): Bucket {
  const existing = limits.buckets.get(workspace);
  if (existing !== undefined) return existing;
  const limitShare = 1 / limits.entries;
  const bucket: Bucket = {
    tokens: maxTokensPerS * limitShare * BURST_S,
    filledAtMs: nowMs,
    demandTokens: 0,
    limitShare,
  };
  limits.buckets.set(workspace, bucket);
  return bucket;
}

/** Returns the demand of limited workspaces since the last call, for gossip, and resets it. */
export function drainDemand(limits: WorkspaceLimits): ReadonlyMap<string, number> {
  const demand = new Map<string, number>();
  for (const [workspace, bucket] of limits.buckets.entries()) {
    if (bucket.demandTokens > 0) demand.set(workspace, bucket.demandTokens);
    bucket.demandTokens = 0;
  }
  return demand;
}

/** Sets this entry's shares from its own demand and the total demand of all entries. */
export function updateLimitShares(
  limits: WorkspaceLimits,
  entries: number,
  own: ReadonlyMap<string, number>,
  total: ReadonlyMap<string, number>,
): void {
  limits.entries = Math.max(1, entries);
  const minShare = MIN_SHARE_OF_EVEN_SPLIT / limits.entries;
  for (const [workspace, bucket] of limits.buckets.entries()) {
    const totalTokens = total.get(workspace) ?? 0;
    const demandShare =
      totalTokens > 0 ? (own.get(workspace) ?? 0) / totalTokens : 1 / limits.entries;
    bucket.limitShare = minShare + (1 - MIN_SHARE_OF_EVEN_SPLIT) * demandShare;
  }
}
