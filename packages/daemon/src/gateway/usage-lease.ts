/**
 * The lease of the gateway that reports usage. A gateway that had the lease, or that may take it, reads
 * its key only while no holder asks it for counts.
 */
import { type LeaseOptions, type Random, type UsageGuards, eraOf } from '@cassiamast/coordination';
import type { LeaseStore } from '@cassiamast/ports';
import { type LeaseDriver, createLeaseDriver } from '../planning/lease-driver.js';
import type { GatewayLog } from './gateway-log.js';

/** The key of the lease in the store. */
export const USAGE_LEASE_KEY = 'cassiamast/duties/usage';

/**
 * The holder sends nothing later than two seconds after its last renewal, a call takes two at most,
 * and its successor begins three seconds after it has the key: no call of the one comes after a call
 * of the other, and no two take turns within the platform's three seconds.
 */
const TIMES: Omit<LeaseOptions, 'guards'> = {
  ttlMs: 4000,
  renewIntervalMs: 1000,
  safetyMs: 2000,
  takeoverDelayMs: 3000,
  retryMs: 300,
};
/** The holder before sends nothing later than this after the key was taken: it was not renewed since. */
const EARLIER_SENDS_MS = TIMES.ttlMs - TIMES.safetyMs;
/**
 * Who has lost the lease stays a candidate for this long. After an outage of the store no gateway is
 * announced at first, and reports would wait until one is.
 */
const CANDIDATE_AFTER_LOSS_MS = 30_000;
/**
 * A holder that asked within this time is alive, so candidates do not read the key of its lease. It
 * asks once a second, and its lease lasts for 3 to 4 s after its last question.
 */
const HOLDER_QUIET_MS = 2000;

/** Dependencies of the lease. */
export interface UsageLeaseOptions {
  readonly selfId: string;
  readonly store: LeaseStore;
  /** Whether this gateway may become the reporter. */
  readonly isCandidate: () => boolean;
  /** Monotonic time of the last question of a holder. */
  readonly lastReadAtMs: () => number;
  readonly random: Random;
  /** A clock that includes the time during which the VM is suspended. */
  readonly elapsedMs: () => number;
  readonly nowMs: () => number;
  readonly log: GatewayLog;
  readonly count: (name: string) => void;
  readonly guards: Pick<UsageGuards, 'lease'>;
  /**
   * Called when the lease was gained.
   *
   * @param earlierSendsUntilMs - The monotonic time until which the holder before may send.
   * @param isRegained - Whether nobody else can have had the lease since this gateway lost it.
   */
  readonly onGained: (earlierSendsUntilMs: number, isRegained: boolean) => void;
  /**
   * Called when the lease was lost.
   *
   * @param eraBegun - The era of the store that has begun while this gateway had the lease; null if it
   * was lost for another reason.
   */
  readonly onLost: (eraBegun: number | null) => void;
}

/** The lease, which a gateway that ends does not take any more. */
export interface UsageLease extends LeaseDriver {
  readonly leave: () => void;
  /** Returns whether nobody else can have fixed counts since this gateway gained the lease. */
  readonly isOnlyFixer: () => boolean;
  /** How long ago the renewal was sent that the store confirmed last. */
  readonly renewedForMs: () => number;
}

/** Creates the lease. */
export function createUsageLease(options: UsageLeaseOptions): UsageLease {
  const { nowMs, log } = options;
  let isLeaving = false;
  let lostAtMs = -Infinity;
  /** By the clock that includes suspensions, during which others may have had the lease. */
  let gaveUpAtMs = -Infinity;

  function isCandidate(): boolean {
    const isHolderQuiet = nowMs() - options.lastReadAtMs() > HOLDER_QUIET_MS;
    const wasHolder = nowMs() - lostAtMs < CANDIDATE_AFTER_LOSS_MS;
    return !isLeaving && isHolderQuiet && (wasHolder || options.isCandidate());
  }

  /** A renewal that came back with another era was sent while the lease was valid. */
  function eraBegun(fence: number): number | null {
    const { era, validUntilMs } = driver.state;
    return era > eraOf(fence) && options.elapsedMs() < validUntilMs ? era : null;
  }

  const driver = createLeaseDriver({
    selfId: options.selfId,
    key: USAGE_LEASE_KEY,
    nowMs: options.elapsedMs,
    random: options.random,
    keyValue: options.store,
    telemetry: { count: options.count },
    leaseOptions: { ...TIMES, guards: options.guards.lease },
    isCandidate,
    onGained: (fence) => {
      options.onGained(nowMs() + EARLIER_SENDS_MS, driver.state.isRegained);
      log.info('duty gained', { duty: 'usage', fence });
    },
    onLost: (fence, reason) => {
      lostAtMs = nowMs();
      options.onLost(eraBegun(fence));
      log.warn('duty lost', { duty: 'usage', fence, reason });
    },
  });
  return {
    ...driver,
    leave: () => {
      isLeaving = true;
    },
    giveUp: () => {
      if (driver.holds()) gaveUpAtMs = options.elapsedMs();
      driver.giveUp();
    },
    // A successor fixes nothing until this long after it has the key.
    isOnlyFixer: () => driver.holds() || options.elapsedMs() - gaveUpAtMs < EARLIER_SENDS_MS,
    renewedForMs: () => options.elapsedMs() - driver.state.renewedAtMs,
  };
}
