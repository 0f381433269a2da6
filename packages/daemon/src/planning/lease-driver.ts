/** Runs the state machine of a lease against the key-value store. */
import {
  LEASE_OPTIONS,
  type LeaseContext,
  type LeaseEffect,
  LeaseEffectKind,
  type LeaseOptions,
  type LeaseState,
  type Random,
  createLease,
  giveUpLease,
  holdsAuthority,
  leaseCallFailed,
  leaseGranted,
  leaseKeptAlive,
  leaseKeyRead,
  leaseKeyTaken,
  mayOrder,
  tickLease,
} from '@cassiamast/coordination';
import type { LeaseStore } from '@cassiamast/ports';
import type { Telemetry } from '../node/telemetry.js';

/** Dependencies of the lease driver. */
export interface LeaseDriverOptions {
  readonly selfId: string;
  /** The key that the holder has in the store. */
  readonly key: string;
  readonly nowMs: () => number;
  readonly random: Random;
  readonly keyValue: LeaseStore;
  readonly telemetry: Pick<Telemetry, 'count'>;
  /** Overrides the default lease times. */
  readonly leaseOptions?: LeaseOptions;
  readonly isCandidate: () => boolean;
  readonly onGained: (fence: number) => void;
  readonly onLost: (fence: number, reason: string) => void;
}

/** A lease, held by one process at a time. */
export interface LeaseDriver {
  readonly state: LeaseState;
  readonly tick: () => void;
  readonly holds: () => boolean;
  readonly mayOrder: () => boolean;
  readonly giveUp: () => void;
}

/** Creates the driver of one lease. */
export function createLeaseDriver(options: LeaseDriverOptions): LeaseDriver {
  const { key, keyValue, telemetry } = options;
  const state = createLease(options.selfId, options.leaseOptions ?? LEASE_OPTIONS, options.nowMs());

  const context = (): LeaseContext => ({
    nowMs: options.nowMs(),
    random: options.random,
    isCandidate: options.isCandidate,
  });

  function perform(effects: readonly LeaseEffect[]): void {
    for (const effect of effects) performOne(effect);
  }

  function performOne(effect: LeaseEffect): void {
    switch (effect.kind) {
      case LeaseEffectKind.ReadKey:
        void readKey();
        return;
      case LeaseEffectKind.GrantLease:
        void grant(effect.ttlMs);
        return;
      case LeaseEffectKind.TakeKey:
        void takeKey(effect.leaseId, effect.value);
        return;
      case LeaseEffectKind.KeepAlive:
        void keepAlive(effect.leaseId);
        return;
      case LeaseEffectKind.Revoke:
        telemetry.count('key_value_writes_total');
        void keyValue.revokeLease(effect.leaseId);
        return;
      case LeaseEffectKind.Gained:
        options.onGained(effect.fence);
        return;
      case LeaseEffectKind.Lost:
        options.onLost(effect.fence, effect.reason);
    }
  }

  async function readKey(): Promise<void> {
    telemetry.count('key_value_reads_total');
    const entry = await keyValue.get(key);
    perform(
      entry.match(
        (found) => leaseKeyRead(state, found, context()),
        () => leaseCallFailed(state, context()),
      ),
    );
  }

  async function grant(ttlMs: number): Promise<void> {
    telemetry.count('key_value_writes_total');
    const lease = await keyValue.grantLease(ttlMs);
    perform(
      lease.match(
        (granted) => leaseGranted(state, granted),
        () => leaseCallFailed(state, context()),
      ),
    );
  }

  async function takeKey(leaseId: string, value: string): Promise<void> {
    telemetry.count('key_value_writes_total');
    const taken = await keyValue.transact([{ key, modRevision: 0 }], [{ key, value, leaseId }]);
    perform(
      taken.match(
        ({ succeeded, revision }) => leaseKeyTaken(state, succeeded ? revision : null, context()),
        () => leaseCallFailed(state, context()),
      ),
    );
  }

  async function keepAlive(leaseId: string): Promise<void> {
    telemetry.count('key_value_writes_total');
    const kept = await keyValue.keepLeaseAlive(leaseId);
    perform(
      kept.match(
        (lease) => leaseKeptAlive(state, lease.ttlMs > 0 ? lease : null, context()),
        () => leaseCallFailed(state, context()),
      ),
    );
  }

  return {
    state,
    tick: () => {
      perform(tickLease(state, context()));
    },
    holds: () => holdsAuthority(state, options.nowMs()),
    mayOrder: () => mayOrder(state, options.nowMs()),
    giveUp: () => {
      perform(giveUpLease(state, context()));
    },
  };
}
