/**
 * Whether a request may be sent to a target that names a rate limit, and when a caller may come back
 * where none may: the limits that are known, the share of them that is here, and a token bucket for
 * each target. The load patterns: a target in need beside others with room, all targets of a service
 * in need, and demand that comes through one gateway alone.
 */
import type { Random } from '../random/random.js';
import { type LimitShares, createLimitShares, usableShare } from './limit-shares.js';
import { type NamedLimits, limitOf } from './named-limits.js';
import {
  type RefillRate,
  type TokenBucket,
  createTokenBucket,
  hasToken,
  takeToken,
  tokenInMs,
} from './token-bucket.js';

/** Permits of so many seconds gather while nobody uses them. */
const BURST_S = 0.5;
/** Permits that gather where all of a limit is here, however low it is. */
const MIN_BURST = 2;
/** A target that takes nothing is asked so seldom all the same: only an answer ends its limit. */
const MIN_PER_S = 0.2;
/** Callers are asked back within this time at the latest. */
const MAX_ASK_BACK_MS = 10_000;
/** How long after permits were used up a limit counts as binding. */
const BINDING_MS = 5000;
const MS_PER_S = 1000;

/** Gives out permits to send to targets. Permits of targets that name no limit never run out. */
export interface Permits {
  /** Whether a request may be sent now. */
  readonly has: (target: string) => boolean;
  /** A request is going to be sent. */
  readonly take: (target: string) => void;
  /** Milliseconds until a request may be sent, 0 where one may. */
  readonly availableInMs: (target: string) => number;
  /** Whether requests had to go elsewhere lately since a target's permits were used up. */
  readonly isBinding: (target: string) => boolean;
  /** When a caller may come back whom none of these targets can take; each call takes a turn. */
  readonly askBackInMs: (targets: readonly string[]) => number;
}

/** Permits where no target names a limit. */
export const UNLIMITED: Permits = {
  has: () => true,
  take: () => undefined,
  availableInMs: () => 0,
  isBinding: () => false,
  askBackInMs: () => 0,
};

/** The limiter of one gateway. */
export interface RateLimiter {
  readonly limits: NamedLimits;
  readonly shares: LimitShares;
  readonly buckets: Map<string, TokenBucket>;
  /** The last turn that was given to a refused caller, by service. */
  readonly askedBackAtMs: Map<string, number>;
  readonly random: Random;
}

/** The limiter of a gateway that starts now, and knows of no limit. */
export function createRateLimiter(random: Random, nowMs: number): RateLimiter {
  return {
    limits: new Map(),
    shares: createLimitShares(nowMs),
    buckets: new Map(),
    askedBackAtMs: new Map(),
    random,
  };
}

/** The permits that a limiter gives; `gateways` counts those that share the limits. */
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
    askBackInMs: (targets) => {
      const soonestMs = Math.min(MAX_ASK_BACK_MS, ...targets.map(availableInMs));
      return askBackInMs(limiter, targets, soonestMs, nowMs());
    },
  };
}

/** Requests a second that may be sent from here to a target; null where it names no limit. */
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
 * Gives refused callers turns, as fast as targets take requests. Guards against callers who all come
 * back at the same moment: it shows as one served and the others refused again.
 */
export function askBackInMs(
  limiter: RateLimiter,
  targets: readonly string[],
  soonestMs: number,
  nowMs: number,
): number {
  const known = targets.flatMap((target) => limitOf(limiter.limits, target, nowMs) ?? []);
  const service = known[0]?.service;
  if (service === undefined) return soonestMs;
  const perS = known.reduce((sum, limit) => sum + Math.max(MIN_PER_S, limit.perS), 0);
  const afterLastMs = (limiter.askedBackAtMs.get(service) ?? -Infinity) + MS_PER_S / perS;
  const turnAtMs = Math.min(nowMs + MAX_ASK_BACK_MS, Math.max(nowMs + soonestMs, afterLastMs));
  limiter.askedBackAtMs.set(service, turnAtMs);
  return turnAtMs - nowMs;
}

/**
 * A new bucket is filled by chance: gateways that can't reach each other would otherwise all send
 * their first request at the same moment.
 */
function bucketOf({ buckets, random }: RateLimiter, target: string, nowMs: number): TokenBucket {
  const known = buckets.get(target);
  if (known !== undefined) return known;
  const made = createTokenBucket(random(), nowMs);
  buckets.set(target, made);
  return made;
}
