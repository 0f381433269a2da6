/**
 * Announces this gateway to the others for as long as it lives: an entry in the platform's store
 * under a lease. The others choose from these entries who schedules a service.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import {
  type BackOffBounds,
  type GatewayEntry,
  type Random,
  waitAfterFailuresMs,
} from '@cassiamast/coordination';
import { type FleetPort, KEY_VALUE_LEASE_GONE } from '@cassiamast/ports';
import type { Child } from '../supervisor/supervisor.js';
import type { GatewayLog } from './gateway-log.js';

/** A lease is renewed so many times in its time to live: two renewals may be lost. */
const RENEWALS_PER_TTL = 3;
/** Pauses after calls that failed. */
const RETRIES: BackOffBounds = { firstMs: 300, mostMs: 1200 };

/** What the presence needs. */
export interface PresenceOptions {
  readonly fleet: FleetPort;
  readonly self: GatewayEntry;
  readonly ttlMs: number;
  readonly random: Random;
  readonly nowMs: () => number;
  readonly log: GatewayLog;
}

/** A presence that can be withdrawn before the process ends. */
export interface Presence {
  readonly child: Child;
  /** Resolves when it was first tried to announce this gateway, whatever came of it. */
  readonly tried: Promise<void>;
  /** Whether the announcement stands, as far as the store has said lately. */
  readonly isConfirmed: () => boolean;
  readonly withdraw: () => Promise<void>;
}

/** Makes the presence. */
export function createPresence(options: PresenceOptions): Presence {
  const { fleet, self, ttlMs, random, nowMs, log } = options;
  let confirmedAtMs = -Infinity;
  let leaseId: string | null = null;
  let stopped = true;
  let failuresInARow = 0;
  let noteTried: () => void = () => undefined;
  const tried = new Promise<void>((resolve) => {
    noteTried = resolve;
  });

  async function announce(): Promise<void> {
    const granted = await fleet.grantLease(ttlMs);
    if (granted.isErr()) return;
    const { leaseId: granting } = granted.value;
    if (stopped) return revoke(granting);
    const announced = await fleet.announce(self, granting);
    // Guards against an announcement that outlives its gateway: it shows as gateways that ask one
    // that has stopped to schedule, until the lease lapses.
    if (stopped) return revoke(granting);
    // An announcement whose answer was lost may stand; its lease then lapses by itself.
    if (announced.isErr()) return;
    leaseId = granting;
    confirmedAtMs = nowMs();
    log.info('announced to the other gateways', { leaseId, ttlMs });
  }

  async function turn(): Promise<void> {
    if (leaseId === null) {
      await announce();
      noteTried();
    } else {
      const sentAtMs = nowMs();
      const kept = await fleet.keepLeaseAlive(leaseId);
      if (kept.isOk()) confirmedAtMs = sentAtMs;
      if (kept.isErr() && KEY_VALUE_LEASE_GONE.is(kept.error)) {
        log.warn('announcement lapsed', { cause: kept.error.message });
        leaseId = null;
      }
    }
    failuresInARow = leaseId === null ? failuresInARow + 1 : 0;
    const isAnnounced = leaseId !== null;
    const retryMs = waitAfterFailuresMs(failuresInARow, RETRIES, random);
    await sleep(isAnnounced ? ttlMs / RENEWALS_PER_TTL : retryMs);
  }

  async function withdraw(): Promise<void> {
    stopped = true;
    const held = leaseId;
    leaseId = null;
    if (held !== null) await revoke(held);
  }

  async function revoke(held: string): Promise<void> {
    const revoked = await fleet.revokeLease(held);
    if (revoked.isErr()) log.warn('announcement left to lapse', { cause: revoked.error.message });
  }

  return {
    child: {
      name: 'presence',
      start: () => {
        stopped = false;
        void (async () => {
          while (!stopped) await turn();
        })();
        return Promise.resolve();
      },
      stop: withdraw,
    },
    tried,
    isConfirmed: () => leaseId !== null && nowMs() - confirmedAtMs < ttlMs,
    withdraw,
  };
}
