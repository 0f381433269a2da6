/**
 * A token bucket: permits come at a rate and gather up to a capacity. The rate may change at any
 * time, since it follows what a target names and the share of it that is here.
 */

/** One bucket. */
export interface TokenBucket {
  tokens: number;
  refilledAtMs: number;
  /** When a permit was last asked for and not there. */
  emptyAtMs: number;
}

/** How permits come and gather. */
export interface RefillRate {
  readonly perS: number;
  readonly capacity: number;
}

const MS_PER_S = 1000;

/** Makes a bucket with some tokens in it. */
export function createTokenBucket(tokens: number, nowMs: number): TokenBucket {
  return { tokens, refilledAtMs: nowMs, emptyAtMs: -Infinity };
}

/** Whether a permit is there. */
export function hasToken(bucket: TokenBucket, rate: RefillRate, nowMs: number): boolean {
  refill(bucket, rate, nowMs);
  if (bucket.tokens >= 1) return true;
  bucket.emptyAtMs = nowMs;
  return false;
}

/** Takes a permit, also one that is not there yet: then more time passes before the next one. */
export function takeToken(bucket: TokenBucket, rate: RefillRate, nowMs: number): void {
  refill(bucket, rate, nowMs);
  bucket.tokens -= 1;
}

/** Milliseconds until a permit is there, 0 where one is; Infinity where none will come. */
export function tokenInMs(bucket: TokenBucket, rate: RefillRate, nowMs: number): number {
  refill(bucket, rate, nowMs);
  const missing = Math.max(0, 1 - bucket.tokens);
  return missing === 0 ? 0 : (missing / rate.perS) * MS_PER_S;
}

function refill(bucket: TokenBucket, { perS, capacity }: RefillRate, nowMs: number): void {
  const elapsedMs = Math.max(0, nowMs - bucket.refilledAtMs);
  bucket.tokens = Math.min(capacity, bucket.tokens + (elapsedMs * perS) / MS_PER_S);
  bucket.refilledAtMs = nowMs;
}
