/**
 * Decides whether a request may be sent to a target that announces a rate limit, and when a rejected
 * caller should retry. It combines the known limits, this gateway's share of them, and a token bucket
 * per target. It is built for three load patterns: one target at its limit beside others with spare
 * capacity, all targets of a service at their limits, and demand that arrives through one gateway.
 */
import type { Random } from '../random/random.js';
import { type LimitShares, createLimitShares, usableShare } from './limit-shares.js';
import { type AnnouncedLimits, limitOf } from './announced-limits.js';
import {
  type RefillRate,
  type TokenBucket,
  createTokenBucket,
  hasToken,
  takeToken,
  tokenInMs,
} from './token-bucket.js';

/** Burst capacity of a bucket, as seconds of its refill rate. */
const BURST_S = 0.5;
/** Minimum burst capacity, in tokens, of a gateway that may use a whole limit. */
const MIN_BURST = 2;
/** Lowest rate, used even if a target announces 0, because only an answer can end its limit. */
const MIN_PER_S = 0.2;
/** Longest delay after which a rejected caller is told to retry. */
const MAX_RETRY_AFTER_MS = 10_000;
/** How long a limit counts as binding after a request found no token. */
const BINDING_MS = 5000;
const MS_PER_S = 1000;

/** Grants permits to send requests to targets. Targets without a limit always have permits. */
export interface Permits {
  /** Returns whether a request may be sent now. */
  readonly has: (target: string) => boolean;
  /** Consumes a permit for a request that is about to be sent. */
  readonly take: (target: string) => void;
  /** Returns the time in milliseconds until a request may be sent; 0 if one may be sent now. */
  readonly availableInMs: (target: string) => number;
  /** Returns whether requests recently had to use other targets for lack of permits. */
  readonly isBinding: (target: string) => boolean;
  /**
   * Returns the delay in milliseconds after which a caller that none of these targets can serve
   * should retry. Each call reserves a retry slot.
   */
  readonly reserveRetryInMs: (targets: readonly string[]) => number;
}

/** Permits for the case that no target has a limit. */
export const UNLIMITED: Permits = {
  has: () => true,
  take: () => undefined,
  availableInMs: () => 0,
  isBinding: () => false,
  reserveRetryInMs: () => 0,
};

/** State of the rate limiter of one gateway. */
export interface RateLimiter {
  readonly limits: AnnouncedLimits;
  readonly shares: LimitShares;
  readonly buckets: Map<string, TokenBucket>;
  /** Time of the last retry slot given to a rejected caller, by service. */
  readonly lastRetrySlotAtMs: Map<string, number>;
  readonly random: Random;
}

/** Creates the limiter of a gateway that starts now and knows no limits yet. */
export function createRateLimiter(random: Random, nowMs: number): RateLimiter {
  return {
    limits: new Map(),
    shares: createLimitShares(nowMs),
    buckets: new Map(),
    lastRetrySlotAtMs: new Map(),
    random,
  };
}

/**
 * Returns the permits granted by a limiter.
 *
 * @param gateways - Returns the number of gateways that share the limits.
 */
export function permitsOf(
  limiter: RateLimiter,
  gateways: () => number,
  nowMs: () => number,
): Permits {
  const rateAt = (target: string, atMs: number): RefillRate | null =>
    usableRate(limiter, target, gateways(), atMs);

  function availableInMs(target: string): number {
    const now = nowMs();
    const rate = rateAt(target, now);
    return rate === null ? 0 : tokenInMs(bucketOf(limiter, target, now), rate, now);
  }

  return {
    has: (target) => {
      if (limiter.limits.size === 0) return true;
      const now = nowMs();
      const rate = rateAt(target, now);
      return rate === null || hasToken(bucketOf(limiter, target, now), rate, now);
    },
    isBinding: (target) => {
      const bucket = limiter.buckets.get(target);
      return bucket !== undefined && nowMs() - bucket.emptyAtMs < BINDING_MS;
    },
    take: (target) => {
      const now = nowMs();
      const rate = rateAt(target, now);
      if (rate !== null) takeToken(bucketOf(limiter, target, now), rate, now);
    },
    availableInMs,
    reserveRetryInMs: (targets) => {
      const soonestMs = Math.min(MAX_RETRY_AFTER_MS, ...targets.map(availableInMs));
      return reserveRetrySlot(limiter, targets, soonestMs, nowMs());
    },
  };
}

/** Returns the rate at which this gateway may send to a target, or null if it has no limit. */
export function usableRate(
  limiter: RateLimiter,
  target: string,
  gateways: number,
  nowMs: number,
): RefillRate | null {
  const limit = limitOf(limiter.limits, target, nowMs);
  if (limit === null) {
    limiter.buckets.delete(target);
    return null;
  }
  const share = usableShare(limiter.shares, limit.service, gateways, nowMs);
  const perS = Math.max(MIN_PER_S, limit.perS);
  const capacity = Math.max(1, share * Math.max(MIN_BURST, perS * BURST_S));
  return { perS: perS * share, capacity };
}

/**
 * Reserves a retry slot for a rejected caller and returns the delay until it. Slots are spaced at the
 * combined rate of the targets. Without this, rejected callers would all retry at the same moment,
 * and all but one of them would be rejected again.
 */
export function reserveRetrySlot(
  limiter: RateLimiter,
  targets: readonly string[],
  soonestMs: number,
  nowMs: number,
): number {
  const known = targets.flatMap((target) => limitOf(limiter.limits, target, nowMs) ?? []);
  const service = known[0]?.service;
  if (service === undefined) return soonestMs;
  const perS = known.reduce((sum, limit) => sum + Math.max(MIN_PER_S, limit.perS), 0);
  const nextSlotMs = (limiter.lastRetrySlotAtMs.get(service) ?? -Infinity) + MS_PER_S / perS;
  const retryAtMs = Math.min(nowMs + MAX_RETRY_AFTER_MS, Math.max(nowMs + soonestMs, nextSlotMs));
  limiter.lastRetrySlotAtMs.set(service, retryAtMs);
  return retryAtMs - nowMs;
}

/**
 * Returns a target's bucket, creating it if needed. A new bucket starts with a random fill level:
 * otherwise gateways that can't reach each other would all send their first request together.
 */
function bucketOf({ buckets, random }: RateLimiter, target: string, nowMs: number): TokenBucket {
  const known = buckets.get(target);
  if (known !== undefined) return known;
  const created = createTokenBucket(random(), nowMs);
  buckets.set(target, created);
  return created;
}
