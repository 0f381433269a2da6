/** The planner's lease: taking, renewing, losing, fencing itself. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { LeaseContext, LeaseState } from '../../../src/index.js';
import {
  LEASE_OPTIONS,
  LeaseEffectKind,
  LeasePhase,
  createLease,
  giveUpLease,
  holdsAuthority,
  leaseCallFailed,
  leaseGranted,
  leaseKeptAlive,
  leaseKeyRead,
  leaseKeyTaken,
  mayOrder,
  parseLeaseKey,
  tickLease,
} from '../../../src/index.js';

function at(nowMs: number, candidate = true): LeaseContext {
  return { nowMs, random: () => 0.5, isCandidate: () => candidate };
}

const LEASE = { leaseId: 'lease-1', ttlMs: 10_000 };

function taking(): { state: LeaseState; value: string } {
  const state = createLease('a:1', LEASE_OPTIONS, 0);
  tickLease(state, at(0));
  leaseKeyRead(state, null, at(1));
  const [take] = leaseGranted(state, LEASE);
  assert.ok(take?.kind === LeaseEffectKind.TakeKey);
  return { state, value: take.value };
}

function held(): LeaseState {
  const { state } = taking();
  const effects = leaseKeyTaken(state, 7, at(3));
  assert.deepEqual(effects, [{ kind: LeaseEffectKind.Gained, fence: 7 }]);
  return state;
}

describe("the planner's lease", () => {
  describe('taking', () => {
    it('is tried by the candidate alone, and not while another holds it', () => {
      const state = createLease('a:1', LEASE_OPTIONS, 0);
      assert.deepEqual(tickLease(state, at(0, false)), []);
      assert.equal(tickLease(state, at(2_000))[0]?.kind, LeaseEffectKind.ReadKey);
      leaseKeyRead(state, { value: '{}', createRevision: 3 }, at(2_001));
      assert.equal(state.phase, LeasePhase.Idle);
    });

    it('counts the time of the lease from before it was asked for', () => {
      const state = held();
      assert.equal(state.validUntilMs, 1 + LEASE.ttlMs - LEASE_OPTIONS.safetyMs);
    });

    it('makes a new holder wait until the tickets of its predecessor are void', () => {
      const state = held();
      assert.equal(mayOrder(state, 3 + LEASE_OPTIONS.waitOutMs - 1), false);
      assert.equal(mayOrder(state, 3 + LEASE_OPTIONS.waitOutMs), true);
    });

    /** The key was taken, but the answer was lost: the holder must neither give up nor take twice. */
    it('recognises its own key when the answer was lost', () => {
      const { state, value } = taking();
      assert.equal(leaseCallFailed(state, at(5))[0]?.kind, LeaseEffectKind.ReadKey);
      assert.equal(parseLeaseKey(value)?.leaseId, LEASE.leaseId);
      const [gained] = leaseKeyRead(state, { value, createRevision: 9 }, at(6));
      assert.deepEqual(gained, { kind: LeaseEffectKind.Gained, fence: 9 });
    });

    it('gives its lease back when another was first', () => {
      const { state } = taking();
      const effects = leaseKeyTaken(state, null, at(3));
      assert.deepEqual(effects, [{ kind: LeaseEffectKind.Revoke, leaseId: LEASE.leaseId }]);
    });

    it('does not begin on a lease that may have lapsed on the way', () => {
      const { state } = taking();
      assert.equal(leaseKeyTaken(state, 7, at(9_000))[0]?.kind, LeaseEffectKind.Revoke);
    });
  });

  describe('losing', () => {
    /** Paused for a minute between any two steps, the holder wakes up believing in its lease. */
    it('is noticed on the own clock after a pause, before anything is ordered', () => {
      const state = held();
      assert.equal(holdsAuthority(state, 60_000), false);
      const [lost] = tickLease(state, at(60_000));
      assert.equal(lost?.kind, LeaseEffectKind.Lost);
    });

    it('follows when the service no longer knows the lease', () => {
      const state = held();
      tickLease(state, at(4_000));
      assert.equal(leaseKeptAlive(state, null, at(4_001))[0]?.kind, LeaseEffectKind.Lost);
    });

    it('follows an outage in time, not at its first failed call', () => {
      const state = held();
      tickLease(state, at(4_000));
      assert.deepEqual(leaseCallFailed(state, at(4_500)), []);
      assert.equal(holdsAuthority(state, 7_000), true);
      assert.equal(holdsAuthority(state, 8_001), false);
    });

    it('is put off by each renewal, from before it was sent', () => {
      const state = held();
      tickLease(state, at(4_000));
      leaseKeptAlive(state, { ttlMs: 10_000 }, at(5_500));
      assert.equal(state.validUntilMs, 4_000 + 8_000);
    });

    it('is said at once when given up, and the lease is returned', () => {
      const effects = giveUpLease(held(), at(5_000));
      const kinds = effects.map((effect) => effect.kind);
      assert.deepEqual(kinds, [LeaseEffectKind.Lost, LeaseEffectKind.Revoke]);
    });
  });
});
