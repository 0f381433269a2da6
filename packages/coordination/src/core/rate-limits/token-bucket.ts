/**
 * A token bucket whose rate and capacity are passed to each call. They may change at any time, as
 * they follow the limit that a target announces and the share of it that this gateway may use.
 */

/** State of one bucket. */
export interface TokenBucket {
  /** Available tokens; fractional, and negative after tokens were taken in advance. */
  tokens: number;
  refilledAtMs: number;
  /** When {@link hasToken} last found no token; -Infinity if never. */
  emptyAtMs: number;
}

/** Refill rate and capacity of a bucket, in tokens. */
export interface RefillRate {
  readonly perS: number;
  readonly capacity: number;
}

const MS_PER_S = 1000;

/** Creates a bucket that holds `tokens`. */
export function createTokenBucket(tokens: number, nowMs: number): TokenBucket {
  return { tokens, refilledAtMs: nowMs, emptyAtMs: -Infinity };
}

/** Returns whether a token is available, and records in `emptyAtMs` if not. */
export function hasToken(bucket: TokenBucket, rate: RefillRate, nowMs: number): boolean {
  refill(bucket, rate, nowMs);
  if (bucket.tokens >= 1) return true;
  bucket.emptyAtMs = nowMs;
  return false;
}

/** Takes a token. If none is available, the balance goes negative and delays the next one. */
export function takeToken(bucket: TokenBucket, rate: RefillRate, nowMs: number): void {
  refill(bucket, rate, nowMs);
  bucket.tokens -= 1;
}

/** Returns the time until a token is available: 0 if one is, Infinity if the rate is 0. */
export function tokenInMs(bucket: TokenBucket, rate: RefillRate, nowMs: number): number {
  refill(bucket, rate, nowMs);
  const missingTokens = Math.max(0, 1 - bucket.tokens);
  return missingTokens === 0 ? 0 : (missingTokens / rate.perS) * MS_PER_S;
}

function refill(bucket: TokenBucket, { perS, capacity }: RefillRate, nowMs: number): void {
  const elapsedMs = Math.max(0, nowMs - bucket.refilledAtMs);
  bucket.tokens = Math.min(capacity, bucket.tokens + (elapsedMs * perS) / MS_PER_S);
  bucket.refilledAtMs = nowMs;
}
