/**
 * A foreign program's use of the fenced lease: a worker that does something only while it holds a
 * lease in the key-value service. The library decides; this file performs what it decides.
 */
import type { LeaseContext, LeaseEffect, LeaseOptions, Random } from '@cassiamast/coordination';
import {
  createLease,
  holdsAuthority,
  LeaseEffectKind,
  leaseCallFailed,
  leaseGranted,
  leaseKeptAlive,
  leaseKeyRead,
  leaseKeyTaken,
  mayOrder,
  tickLease,
} from '@cassiamast/coordination';
import type { KeyValuePort } from '@cassiamast/ports';

/** What a worker needs. */
export interface LeaseWorkerOptions {
  readonly name: string;
  readonly key: string;
  readonly lease: LeaseOptions;
  readonly keyValue: KeyValuePort;
  readonly nowMs: () => number;
  readonly random: Random;
  readonly onEvent: (text: string) => void;
}

/** A worker; call `tick` several times a second. */
export interface LeaseWorker {
  readonly tick: () => void;
  /** Whether it may act now; ask right before each act. */
  readonly mayAct: () => boolean;
  readonly isHolder: () => boolean;
  /** The fencing number to send along with each act. */
  readonly fence: () => number;
}

/** Makes a worker that stands for the lease. */
export function createLeaseWorker(options: LeaseWorkerOptions): LeaseWorker {
  const { name, key, keyValue, nowMs, random, onEvent } = options;
  const state = createLease(name, options.lease, nowMs());
  const context = (): LeaseContext => ({ nowMs: nowMs(), random, isCandidate: () => true });

  function perform(effects: readonly LeaseEffect[]): void {
    for (const effect of effects) void performOne(effect);
  }

  async function performOne(effect: LeaseEffect): Promise<void> {
    switch (effect.kind) {
      case LeaseEffectKind.ReadKey: {
        const read = await keyValue.get(key);
        if (read.isOk()) perform(leaseKeyRead(state, read.value, context()));
        else perform(leaseCallFailed(state, context()));
        return;
      }
      case LeaseEffectKind.GrantLease: {
        const granted = await keyValue.grantLease(effect.ttlMs);
        if (granted.isOk()) perform(leaseGranted(state, granted.value));
        else perform(leaseCallFailed(state, context()));
        return;
      }
      case LeaseEffectKind.TakeKey: {
        const { leaseId, value } = effect;
        const taken = await keyValue.transact([{ key, modRevision: 0 }], [{ key, value, leaseId }]);
        if (taken.isErr()) perform(leaseCallFailed(state, context()));
        else {
          const { succeeded, revision } = taken.value;
          perform(leaseKeyTaken(state, succeeded ? revision : null, context()));
        }
        return;
      }
      case LeaseEffectKind.KeepAlive: {
        const kept = await keyValue.keepLeaseAlive(effect.leaseId);
        if (kept.isOk()) perform(leaseKeptAlive(state, kept.value, context()));
        else perform(leaseCallFailed(state, context()));
        return;
      }
      case LeaseEffectKind.Revoke:
        await keyValue.revokeLease(effect.leaseId);
        return;
      case LeaseEffectKind.Gained:
        onEvent(`${name} holds the lease, fence ${String(effect.fence)}`);
        return;
      case LeaseEffectKind.Lost:
        onEvent(`${name} lost the lease: ${effect.reason}`);
    }
  }

  return {
    tick: () => {
      perform(tickLease(state, context()));
    },
    mayAct: () => mayOrder(state, nowMs()),
    isHolder: () => holdsAuthority(state, nowMs()),
    fence: () => state.fence,
  };
}
