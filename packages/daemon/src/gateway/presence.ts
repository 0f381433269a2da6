/**
 * Announces this gateway to the others with an entry in the platform's store, under a lease that is
 * renewed while the process runs. The gateways choose the scheduler of a service from these
 * entries.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import {
  type BackOffBounds,
  type GatewayEntry,
  type Random,
  waitAfterFailuresMs,
} from '@cassiamast/coordination';
import { type FleetPort, KEY_VALUE_LEASE_GONE, type KeyValueLease } from '@cassiamast/ports';
import type { Child } from '../supervisor/supervisor.js';
import type { BeginCall } from './gateway-count.js';
import type { GatewayLog } from './gateway-log.js';

/**
 * Renewals within the time to live of a lease; two consecutive renewals may be lost. One without an
 * answer is lost when the next one is due.
 */
const RENEWALS_PER_TTL = 3;
/** Backoff after failed calls. */
const RETRY_BACKOFF: BackOffBounds = { initialMs: 300, maxMs: 1200 };

/** Dependencies of the presence. */
export interface PresenceOptions {
  readonly fleet: FleetPort;
  readonly self: GatewayEntry;
  readonly ttlMs: number;
  readonly random: Random;
  readonly nowMs: () => number;
  readonly log: GatewayLog;
  /** Called when an announcement begins. */
  readonly beginAnnouncement: BeginCall;
  /** Called when a renewal is sent. */
  readonly beginRenewal: BeginCall;
  /** Whether the fleet was read after this gateway was announced, and it was not in it. */
  readonly isMissing: () => boolean;
  /** Returns the era of the store as far as the fleet was read. */
  readonly era: () => number;
}

/** The announcement of this gateway, which can be withdrawn before the process ends. */
export interface Presence {
  readonly child: Child;
  /** Resolves after the first attempt to announce this gateway, whether or not it succeeded. */
  readonly firstAttempt: Promise<void>;
  /** Whether the store has confirmed the announcement within its time to live. */
  readonly isConfirmed: () => boolean;
  readonly withdraw: () => Promise<void>;
}

/** Creates the presence. */
export function createPresence(options: PresenceOptions): Presence {
  const { fleet, self, ttlMs, random, nowMs, log } = options;
  let confirmedAtMs = -Infinity;
  let lease: KeyValueLease | null = null;
  let isAnnounced = false;
  let isAnnouncing = false;
  let stopped = true;
  let failuresInARow = 0;
  let resolveTried: () => void = () => undefined;
  const tried = new Promise<void>((resolve) => {
    resolveTried = resolve;
  });

  /**
   * Resolves with whether the store has renewed the lease, which is forgotten if it has ended. A store
   * that came back from an older copy may have granted its id to another process.
   */
  async function renew(held: KeyValueLease): Promise<boolean> {
    const renewal = await fleet.keepLeaseAlive(held.leaseId);
    const isGone = renewal.isErr() && KEY_VALUE_LEASE_GONE.is(renewal.error);
    const isOfEarlierEra = renewal.isOk() && renewal.value.era !== held.era;
    if (isGone || isOfEarlierEra) {
      const cause = isGone ? renewal.error.message : 'the store came back from an older copy';
      log.warn('announcement lapsed', { cause });
      lease = null;
      isAnnounced = false;
    }
    return renewal.isOk() && !isOfEarlierEra;
  }

  /**
   * Resolves with a fresh lease; null if the store gives none. A lease is used until the store says
   * that it has ended: the store may carry out an earlier announcement late, and under a lease that
   * is no longer renewed, that would take the entry along when it ends.
   */
  async function freshLease(): Promise<KeyValueLease | null> {
    if (lease !== null && (await renew(lease))) return lease;
    if (lease !== null) return null;
    const granted = await fleet.grantLease(ttlMs);
    return granted.unwrapOr(null);
  }

  async function announce(): Promise<void> {
    const confirmAnnouncement = options.beginAnnouncement();
    const fresh = await freshLease();
    if (fresh === null) return;
    if (stopped) return revoke(fresh);
    lease = fresh;
    const announced = await fleet.announce(self, fresh.leaseId);
    // If this gateway was stopped meanwhile, the announcement must not remain: until the lease
    // expired, other gateways would send their scheduling requests to a stopped gateway.
    if (stopped) return revoke(fresh);
    if (announced.isErr()) return;
    isAnnounced = true;
    confirmedAtMs = nowMs();
    confirmAnnouncement();
    log.info('announced to the other gateways', { leaseId: fresh.leaseId, ttlMs });
  }

  async function renewAnnouncement(held: KeyValueLease): Promise<void> {
    const sentAtMs = nowMs();
    const confirmRenewal = options.beginRenewal();
    if (!(await renew(held))) return;
    if (options.isMissing()) {
      log.warn('announcement missing', { leaseId: held.leaseId });
      isAnnounced = false;
      return;
    }
    confirmedAtMs = sentAtMs;
    confirmRenewal();
  }

  /** Resolves with whether the store has answered in time. */
  async function renewInTime(held: KeyValueLease): Promise<boolean> {
    const timer = new AbortController();
    const isOver = sleep(ttlMs / RENEWALS_PER_TTL, false, { signal: timer.signal });
    const renewal = renewAnnouncement(held).then(() => true);
    const isAnswered = await Promise.race([renewal, isOver.catch(() => true)]);
    timer.abort();
    return isAnswered;
  }

  async function announceOrRenew(): Promise<void> {
    const held = lease;
    if (held !== null && isAnnounced) {
      if (!(await renewInTime(held))) {
        if (stopped) return;
        log.warn('renewal without an answer', { leaseId: held.leaseId });
        fleet.renewConnections();
        return;
      }
    } else {
      isAnnouncing = true;
      await announce();
      isAnnouncing = false;
      resolveTried();
    }
    failuresInARow = isAnnounced ? 0 : failuresInARow + 1;
    const retryMs = waitAfterFailuresMs(failuresInARow, RETRY_BACKOFF, random);
    await sleep(isAnnounced ? ttlMs / RENEWALS_PER_TTL : retryMs);
  }

  async function withdraw(): Promise<void> {
    stopped = true;
    isAnnounced = false;
    const held = lease;
    lease = null;
    // An announcement under way revokes its lease itself when the store has answered.
    if (held !== null && !isAnnouncing) await revoke(held);
  }

  async function revoke(held: KeyValueLease): Promise<void> {
    // Its id may be that of another process now.
    if (options.era() > held.era) return;
    const revoked = await fleet.revokeLease(held.leaseId);
    if (revoked.isErr()) log.warn('announcement not revoked', { cause: revoked.error.message });
  }

  return {
    child: {
      name: 'presence',
      start: () => {
        stopped = false;
        void (async () => {
          while (!stopped) await announceOrRenew();
        })();
        return Promise.resolve();
      },
      stop: withdraw,
    },
    firstAttempt: tried,
    isConfirmed: () => isAnnounced && nowMs() - confirmedAtMs < ttlMs,
    withdraw,
  };
}
