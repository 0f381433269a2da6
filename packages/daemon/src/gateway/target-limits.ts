/**
 * Keeps the rate limits that targets name, together with all other gateways. What a gateway hears is
 * told to the one that decides for the service, which asks all others for their shares and tells
 * them the limits along; a request to a plain target asks whoever has this gateway's share for a
 * permit. The decisions stand in the library's rate limits.
 */
import {
  type AnsweringTarget,
  type FleetView,
  type LimitReport,
  type Permits,
  type Random,
  type TargetAnswer,
  askBackInMs,
  borrowerOf,
  createRateLimiter,
  dropOldLimits,
  giveUpShares,
  lendShare,
  limitOf,
  limitReports,
  mergeLimits,
  noteBorrowed,
  noteLimitMissing,
  noteLimitNamed,
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

/** How often shares are borrowed anew: some times within a loan. */
const RENEW_MS = 400;
/** A gateway that answers later has lent nothing that is worth having. */
const LEND_TIMEOUT_MS = 400;
/** How long a request waits for a permit, before it goes to another target. */
const TAKE_TIMEOUT_MS = 150;
/** How long a target is passed over whose permits could not be asked for. */
const UNREACHED_MS = 300;
/** Longer than any wait for a permit that is worth telling; also stands for no permit at all. */
const MAX_WAIT_MS = 10_000;
const MS_PER_S = 1000;

/** A gateway lends its share, and tells what it has heard. */
export interface LentShare {
  /** 0 where its share is lent to another gateway. */
  readonly fraction: number;
  readonly reports: readonly LimitReport[];
}

/** What the limits need. */
export interface TargetLimitsOptions {
  readonly selfId: string;
  readonly view: FleetView;
  readonly gateways: GatewayCount;
  readonly rpc: RpcClient;
  /** The gateway that decides for a service, as far as this one knows. */
  readonly schedulerOf: (service: string) => string;
  /** Counts suspended time as well: a loan must not outlive it. */
  readonly elapsedMs: () => number;
  readonly random: Random;
  readonly log: GatewayLog;
  readonly count: (name: string) => void;
  /** Sets gauges that differ by target. */
  readonly gauge: (name: string, valueByTarget: ReadonlyMap<string, number>) => void;
}

/** The limits as one gateway keeps them. */
export interface TargetLimits {
  readonly child: Child;
  /** Permits as far as this gateway decides. */
  readonly permits: Permits;
  /** A target answered; `sentAtMs` is a reading of `elapsedMs`. */
  readonly noteAnswer: (
    target: AnsweringTarget,
    perS: number | null,
    answer: Omit<TargetAnswer, 'origin'>,
  ) => void;
  /** Takes a permit for a request of this gateway's own; gives 0, or milliseconds until there may be one. */
  readonly take: (target: AnsweringTarget) => Promise<number>;
  /** From now on this gateway counts no more among those that share the limits. */
  readonly leave: () => void;
  /** When a caller may come back, from the waits for permits of all targets that could take it. */
  readonly askBackInMs: (waitMsByTarget: ReadonlyMap<string, number>) => number;
  /** Sets the gauges. */
  readonly measure: () => void;
  /** Another gateway, which decides for a service, asks for this one's share. */
  readonly onBorrow: (
    service: string,
    borrower: string,
    reports: readonly LimitReport[],
  ) => LentShare;
  /** Another gateway tells what it heard. */
  readonly onTold: (reports: readonly LimitReport[], from: string) => void;
  /** Another gateway, which has lent its share, asks for a permit. */
  readonly onTake: (target: string, reports: readonly LimitReport[], from: string) => number;
}

/** Makes the limits of a gateway that has heard of none. */
export function createTargetLimits(options: TargetLimitsOptions): TargetLimits {
  const { selfId, view, gateways, rpc, schedulerOf, elapsedMs, log, count, gauge } = options;
  const limiter = createRateLimiter(options.random, elapsedMs());
  const { limits, shares } = limiter;
  const permits = permitsOf(limiter, gateways.count, elapsedMs);
  /** Until when no permit is asked for, by target. */
  const emptyUntilMs = new Map<string, number>();
  let answers = 0;
  let isLeaving = false;

  function noteAnswer(...[target, perS, said]: Parameters<TargetLimits['noteAnswer']>): void {
    if (perS === null && limits.size === 0) return;
    const now = elapsedMs();
    answers += 1;
    const answer = { ...said, origin: `${selfId}/${String(answers)}` };
    const isNews =
      perS === null
        ? noteLimitMissing(limits, target, answer, now)
        : noteLimitNamed(limits, target, perS, answer, now);
    if (isNews) tellNews([target.id], target.service, selfId);
  }

  function merge(reports: readonly LimitReport[], from: string): void {
    const [first] = reports;
    if (first === undefined) return;
    const news = mergeLimits(limits, reports, elapsedMs());
    if (news.length > 0) tellNews(news, first.service, from);
  }

  function tellNews(targets: readonly string[], service: string, from: string): void {
    for (const target of targets) {
      const limit = limitOf(limits, target, elapsedMs());
      emptyUntilMs.delete(target);
      if (limit === null)
        log.info('rate limit ended', { target, service, from, reason: 'not named' });
      else log.info('rate limit named', { target, service, from, limitPerS: limit.perS });
    }
    share(service, from);
  }

  /** Has the gateway that decides know the limits, and have the shares. */
  function share(service: string, from: string): void {
    const decider = schedulerOf(service);
    if (decider === selfId) void borrow(service);
    else if (decider !== from) void tell(decider, service);
  }

  async function tell(decider: string, service: string): Promise<void> {
    const told = await rpc.call(decider, RpcMethod.LimitsTell, [reportsOf(service), selfId], {
      timeoutMs: LEND_TIMEOUT_MS,
    });
    if (told.isErr()) count('limit_reports_lost_total');
  }

  async function borrow(service: string): Promise<void> {
    const others = [...view.gateways.keys()].filter((id) => id !== selfId);
    const before = shareHere(service);
    await Promise.all(others.map((id) => borrowFrom(id, service)));
    const now = shareHere(service);
    if (Math.round(before * others.length) === Math.round(now * others.length)) return;
    log.info('share of rate limits', { service, share: now, gateways: gateways.count() });
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
        noteBorrowed(shares, service, gateway, fraction, askedAtMs);
        merge(reports, gateway);
      },
      () => {
        count('limit_shares_unreached_total');
      },
    );
  }

  function shareHere(service: string): number {
    return usableShare(shares, service, gateways.count(), elapsedMs());
  }

  function reportsOf(service: string): readonly LimitReport[] {
    return limitReports(limits, service, elapsedMs());
  }

  function renew(): void {
    const now = elapsedMs();
    gateways.refresh();
    for (const target of dropOldLimits(limits, now)) {
      emptyUntilMs.delete(target);
      limiter.buckets.delete(target);
      log.info('rate limit ended', { target, reason: 'not heard of' });
    }
    for (const [target, untilMs] of emptyUntilMs) {
      if (untilMs <= now) emptyUntilMs.delete(target);
    }
    for (const service of servicesWithLimits(limits, now)) {
      const decider = schedulerOf(service);
      const hasShare = borrowerOf(shares, service, now) === decider;
      if (decider === selfId || !hasShare) share(service, selfId);
    }
  }

  async function take(target: AnsweringTarget): Promise<number> {
    const now = elapsedMs();
    if (limitOf(limits, target.id, now) === null) return 0;
    const waitMs = (emptyUntilMs.get(target.id) ?? 0) - now;
    if (waitMs > 0) return waitMs;
    const holder = holderOf(target.service, now);
    if (holder === selfId) return takeHere(target.id);
    const foundMs = await ask(holder, target);
    if (foundMs > 0) emptyUntilMs.set(target.id, elapsedMs() + foundMs);
    return foundMs;
  }

  /** The gateway that gives out this one's permits. */
  function holderOf(service: string, nowMs: number): string {
    return borrowerOf(shares, service, nowMs) ?? (isLeaving ? schedulerOf(service) : selfId);
  }

  async function ask(borrower: string, { id, service }: AnsweringTarget): Promise<number> {
    const answer = await rpc.call<number>(
      borrower,
      RpcMethod.LimitsTake,
      [id, reportsOf(service), selfId],
      { timeoutMs: TAKE_TIMEOUT_MS },
    );
    if (answer.isErr()) count('limit_permits_unreached_total');
    return answer.unwrapOr(UNREACHED_MS);
  }

  function takeHere(target: string): number {
    const waitMs = Math.min(MAX_WAIT_MS, permits.availableInMs(target));
    if (waitMs === 0) permits.take(target);
    return waitMs;
  }

  function measure(): void {
    const now = elapsedMs();
    const limitsPerS = new Map<string, number>();
    const agesS = new Map<string, number>();
    const sharesHere = new Map<string, number>();
    for (const target of limits.keys()) {
      const limit = limitOf(limits, target, now);
      if (limit === null) continue;
      limitsPerS.set(target, limit.perS);
      agesS.set(target, (now - limit.sinceMs) / MS_PER_S);
      sharesHere.set(target, shareHere(limit.service));
    }
    gauge('target_limit_per_s', limitsPerS);
    gauge('target_limit_age_s', agesS);
    gauge('target_limit_share', sharesHere);
  }

  return {
    child: createPeriodic('target-limits', () => RENEW_MS, renew),
    permits,
    noteAnswer,
    leave: () => {
      isLeaving = true;
      giveUpShares(shares);
    },
    take,
    askBackInMs: (waitMsByTarget) =>
      askBackInMs(
        limiter,
        [...waitMsByTarget.keys()],
        Math.min(...waitMsByTarget.values()),
        elapsedMs(),
      ),
    measure,
    onBorrow: (service, borrower, reports) => {
      merge(reports, borrower);
      const now = elapsedMs();
      const isDecider = schedulerOf(service) === borrower;
      const fraction = isDecider ? lendShare(shares, service, borrower, gateways.count(), now) : 0;
      return { fraction, reports: reportsOf(service) };
    },
    onTold: (reports, from) => {
      merge(reports, from);
    },
    onTake: (target, reports, from) => {
      merge(reports, from);
      return takeHere(target);
    },
  };
}
