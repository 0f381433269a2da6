/**
 * Guards against an entry that treats an unknown member as dead right after its start, and reports
 * calls that still run elsewhere as failed.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createHashing } from '../../../src/core/hashing/hashing.js';
import { MemberKind, MemberState } from '../../../src/core/model/member.js';
import { MEMBERSHIP_OPTIONS, createMembership } from '../../../src/core/membership/state.js';
import { Propagation, applyUpdate, mayBeAlive } from '../../../src/core/membership/view.js';

const { hash32 } = await createHashing();
const context = { nowMs: 0, random: () => 0.5, hash32, hints: () => [] };
const SELF = '10.0.0.1:7000';
const OTHER = '10.0.0.2:7000';
/** Time to fetch the full view of a fleet of the target size: 36 pages at two pages per second. */
const FULL_VIEW_FETCH_MS = 18_000;

function membershipWithMember(state: MemberState | null) {
  const details = { kind: MemberKind.Entry, failureDomain: 'eros-hall', target: '' };
  const self = { id: SELF, incarnation: 1, ...details };
  const membership = createMembership(self, [], MEMBERSHIP_OPTIONS, context);
  if (state === null) return membership;
  const sidecar = { ...details, kind: MemberKind.Sidecar, target: 'portal-1' };
  const update = { id: OTHER, state, incarnation: 5, details: sidecar };
  applyUpdate(membership, update, Propagation.None, 'told', context);
  return membership;
}

describe('mayBeAlive', () => {
  describe('an unknown member', () => {
    it('may be alive until this process has had time to fetch the full view', () => {
      const membership = membershipWithMember(null);
      assert.equal(mayBeAlive(membership, OTHER, 0), true);
      assert.equal(mayBeAlive(membership, OTHER, FULL_VIEW_FETCH_MS), true);
    });

    it('is not alive after that time', () => {
      assert.equal(mayBeAlive(membershipWithMember(null), OTHER, 60_000), false);
    });
  });

  describe('a known member', () => {
    it('is not alive when it is dead, even right after the start', () => {
      assert.equal(mayBeAlive(membershipWithMember(MemberState.Dead), OTHER, 0), false);
    });

    it('may be alive when it is alive, leaving or suspect', () => {
      for (const state of [MemberState.Alive, MemberState.Leaving, MemberState.Suspect]) {
        assert.equal(mayBeAlive(membershipWithMember(state), OTHER, 60_000), true);
      }
    });
  });

  it('treats this process itself as alive', () => {
    assert.equal(mayBeAlive(membershipWithMember(null), SELF, 60_000), true);
  });
});
