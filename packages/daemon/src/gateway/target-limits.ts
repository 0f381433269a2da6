/**
 * Enforces the rate limits that targets announce, shared between all gateways. A gateway reports
 * each limit that it learns to the deciding gateway of the service, which borrows the shares of all
 * others and passes the limits on to them. For a request to a plain target, a gateway asks the
 * borrower of its share for a permit. The rules are implemented by the rate limiter of the
 * coordination library.
 */
import {
  type AnsweringTarget,
  type FleetView,
  type LimitReport,
  type Permits,
  type Random,
  type TargetAnswer,
  reserveRetrySlot,
  borrowerOf,
  createRateLimiter,
  dropOldLimits,
  giveUpShares,
  lendShare,
  limitOf,
  limitReports,
  mergeLimits,
  recordBorrowedShare,
  recordNoLimit,
  recordLimit,
  permitsOf,
  servicesWithLimits,
  usableShare,
} from '@cassiamast/coordination';
import type { RpcClient } from '../node/rpc-client.js';
import { createPeriodic } from '../node/timers.js';
import { RpcMethod } from '../protocol/methods.js';
import type { Child } from '../supervisor/supervisor.js';
import type { GatewayCount } from './gateway-count.js';
import type { GatewayLog } from './gateway-log.js';

/** Interval at which shares are borrowed again, several times within the duration of a loan. */
const RENEW_INTERVAL_MS = 400;
/** Timeout for borrowing a share; a loan that arrives later is of little use. */
const LEND_TIMEOUT_MS = 400;
/** How long a request waits for a permit before it is sent to another target. */
const TAKE_TIMEOUT_MS = 150;
/** How long a target is skipped after a request for a permit has failed. */
const UNREACHABLE_PAUSE_MS = 300;
/** Upper bound of a reported wait for a permit; also means that no permit is expected. */
const MAX_WAIT_MS = 10_000;
const MS_PER_S = 1000;

/** The share that a gateway lends, with the limits that it knows. */
export interface LentShare {
  /** 0 if the share is already lent to another gateway. */
  readonly fraction: number;
  readonly reports: readonly LimitReport[];
}

/** Dependencies of the target limits. */
export interface TargetLimitsOptions {
  readonly selfId: string;
  readonly view: FleetView;
  readonly gateways: GatewayCount;
  readonly rpc: RpcClient;
  /** Returns the gateway that decides for a service, according to this gateway's view. */
  readonly schedulerOf: (service: string) => string;
  /** A clock that includes suspended time, so that a loan expires while the VM is suspended. */
  readonly elapsedMs: () => number;
  readonly random: Random;
  readonly log: GatewayLog;
  readonly count: (name: string) => void;
  /** Sets a gauge with one value per target. */
  readonly gauge: (name: string, valueByTarget: ReadonlyMap<string, number>) => void;
}

/** The rate limits of targets, as enforced by one gateway. */
export interface TargetLimits {
  readonly child: Child;
  /** Permits within the shares that this gateway holds. */
  readonly permits: Permits;
  /** Records the answer of a target; `sentAtMs` is a time of the `elapsedMs` clock. */
  readonly noteAnswer: (
    target: AnsweringTarget,
    perS: number | null,
    answer: Omit<TargetAnswer, 'origin'>,
  ) => void;
  /**
   * Takes a permit for a request of this gateway. Returns 0, or the ms until one may be available.
   */
  readonly take: (target: AnsweringTarget) => Promise<number>;
  /**
   * Gives up this gateway's shares of all limits; it then requests its permits from other gateways.
   */
  readonly leave: () => void;
  /** Returns when a refused caller may retry, given the permit waits of all eligible targets. */
  readonly callerRetryInMs: (waitMsByTarget: ReadonlyMap<string, number>) => number;
  /** Sets the gauges. */
  readonly measure: () => void;
  /** Handles the call of a deciding gateway that borrows this gateway's share. */
  readonly onBorrow: (
    service: string,
    borrower: string,
    reports: readonly LimitReport[],
  ) => LentShare;
  /** Handles limits reported by another gateway. */
  readonly onLimitsReported: (reports: readonly LimitReport[], from: string) => void;
  /** Handles a permit request of a gateway that has lent its share. */
  readonly onTake: (target: string, reports: readonly LimitReport[], from: string) => number;
}

/** Creates target limits without any known limit. */
export function createTargetLimits(options: TargetLimitsOptions): TargetLimits {
  const { selfId, view, gateways, rpc, schedulerOf, elapsedMs, log, count, gauge } = options;
  const limiter = createRateLimiter(options.random, elapsedMs());
  const { limits, shares } = limiter;
  const permits = permitsOf(limiter, gateways.count, elapsedMs);
  /** The time until which no permit is requested, by target. */
  const noPermitUntilMs = new Map<string, number>();
  let answerCount = 0;
  let isLeaving = false;

  function noteAnswer(
    ...[target, perS, targetAnswer]: Parameters<TargetLimits['noteAnswer']>
  ): void {
    if (perS === null && limits.size === 0) return;
    const now = elapsedMs();
    answerCount += 1;
    const answer = { ...targetAnswer, origin: `${selfId}/${String(answerCount)}` };
    const hasChanged =
      perS === null
        ? recordNoLimit(limits, target, answer, now)
        : recordLimit(limits, target, perS, answer, now);
    if (hasChanged) announceLimits([target.id], target.service, selfId);
  }

  function mergeReports(reports: readonly LimitReport[], from: string): void {
    const [first] = reports;
    if (first === undefined) return;
    const changedTargets = mergeLimits(limits, reports, elapsedMs());
    if (changedTargets.length > 0) announceLimits(changedTargets, first.service, from);
  }

  function announceLimits(targets: readonly string[], service: string, from: string): void {
    for (const target of targets) {
      const limit = limitOf(limits, target, elapsedMs());
      noPermitUntilMs.delete(target);
      if (limit === null)
        log.info('rate limit ended', { target, service, from, reason: 'not named' });
      else log.info('rate limit named', { target, service, from, limitPerS: limit.perS });
    }
    syncWithDecider(service, from);
  }

  /** Reports the limits to the deciding gateway, or borrows the shares if that is this gateway. */
  function syncWithDecider(service: string, from: string): void {
    const decider = schedulerOf(service);
    if (decider === selfId) void borrowShares(service);
    else if (decider !== from) void reportLimits(decider, service);
  }

  async function reportLimits(decider: string, service: string): Promise<void> {
    const reported = await rpc.call(decider, RpcMethod.LimitsTell, [reportsOf(service), selfId], {
      timeoutMs: LEND_TIMEOUT_MS,
    });
    if (reported.isErr()) count('limit_reports_lost_total');
  }

  async function borrowShares(service: string): Promise<void> {
    const otherGateways = [...view.gateways.keys()].filter((id) => id !== selfId);
    const shareBefore = ownShare(service);
    await Promise.all(otherGateways.map((id) => borrowFrom(id, service)));
    const shareNow = ownShare(service);
    if (
      Math.round(shareBefore * otherGateways.length) === Math.round(shareNow * otherGateways.length)
    )
      return;
    log.info('share of rate limits', { service, share: shareNow, gateways: gateways.count() });
  }

  async function borrowFrom(gateway: string, service: string): Promise<void> {
    const askedAtMs = elapsedMs();
    const lent = await rpc.call<LentShare>(
      gateway,
      RpcMethod.LimitsBorrow,
      [service, selfId, reportsOf(service)],
      { timeoutMs: LEND_TIMEOUT_MS },
    );
    lent.match(
      ({ fraction, reports }) => {
        recordBorrowedShare(shares, service, gateway, fraction, askedAtMs);
        mergeReports(reports, gateway);
      },
      () => {
        count('limit_shares_unreached_total');
      },
    );
  }

  function ownShare(service: string): number {
    return usableShare(shares, service, gateways.count(), elapsedMs());
  }

  function reportsOf(service: string): readonly LimitReport[] {
    return limitReports(limits, service, elapsedMs());
  }

  function renew(): void {
    const now = elapsedMs();
    gateways.refresh();
    for (const target of dropOldLimits(limits, now)) {
      noPermitUntilMs.delete(target);
      limiter.buckets.delete(target);
      log.info('rate limit ended', { target, reason: 'not heard of' });
    }
    for (const [target, untilMs] of noPermitUntilMs) {
      if (untilMs <= now) noPermitUntilMs.delete(target);
    }
    for (const service of servicesWithLimits(limits, now)) {
      const decider = schedulerOf(service);
      const hasShare = borrowerOf(shares, service, now) === decider;
      if (decider === selfId || !hasShare) syncWithDecider(service, selfId);
    }
  }

  async function take(target: AnsweringTarget): Promise<number> {
    const now = elapsedMs();
    if (limitOf(limits, target.id, now) === null) return 0;
    const waitMs = (noPermitUntilMs.get(target.id) ?? 0) - now;
    if (waitMs > 0) return waitMs;
    const permitSource = permitSourceOf(target.service, now);
    if (permitSource === selfId) return takeLocalPermit(target.id);
    const permitWaitMs = await requestPermit(permitSource, target);
    if (permitWaitMs > 0) noPermitUntilMs.set(target.id, elapsedMs() + permitWaitMs);
    return permitWaitMs;
  }

  /** Returns the gateway that grants permits for this gateway's requests. */
  function permitSourceOf(service: string, nowMs: number): string {
    return borrowerOf(shares, service, nowMs) ?? (isLeaving ? schedulerOf(service) : selfId);
  }

  async function requestPermit(
    borrower: string,
    { id, service }: AnsweringTarget,
  ): Promise<number> {
    const answer = await rpc.call<number>(
      borrower,
      RpcMethod.LimitsTake,
      [id, reportsOf(service), selfId],
      { timeoutMs: TAKE_TIMEOUT_MS },
    );
    if (answer.isErr()) count('limit_permits_unreached_total');
    return answer.unwrapOr(UNREACHABLE_PAUSE_MS);
  }

  function takeLocalPermit(target: string): number {
    const waitMs = Math.min(MAX_WAIT_MS, permits.availableInMs(target));
    if (waitMs === 0) permits.take(target);
    return waitMs;
  }

  function measure(): void {
    const now = elapsedMs();
    const limitsPerS = new Map<string, number>();
    const agesS = new Map<string, number>();
    const ownShares = new Map<string, number>();
    for (const target of limits.keys()) {
      const limit = limitOf(limits, target, now);
      if (limit === null) continue;
      limitsPerS.set(target, limit.perS);
      agesS.set(target, (now - limit.sinceMs) / MS_PER_S);
      ownShares.set(target, ownShare(limit.service));
    }
    gauge('target_limit_per_s', limitsPerS);
    gauge('target_limit_age_s', agesS);
    gauge('target_limit_share', ownShares);
  }

  return {
    child: createPeriodic('target-limits', () => RENEW_INTERVAL_MS, renew),
    permits,
    noteAnswer,
    leave: () => {
      isLeaving = true;
      giveUpShares(shares);
    },
    take,
    callerRetryInMs: (waitMsByTarget) =>
      reserveRetrySlot(
        limiter,
        [...waitMsByTarget.keys()],
        Math.min(...waitMsByTarget.values()),
        elapsedMs(),
      ),
    measure,
    onBorrow: (service, borrower, reports) => {
      mergeReports(reports, borrower);
      const now = elapsedMs();
      const isDecider = schedulerOf(service) === borrower;
      const fraction = isDecider ? lendShare(shares, service, borrower, gateways.count(), now) : 0;
      return { fraction, reports: reportsOf(service) };
    },
    onLimitsReported: (reports, from) => {
      mergeReports(reports, from);
    },
    onTake: (target, reports, from) => {
      mergeReports(reports, from);
      return takeLocalPermit(target);
    },
  };
}
