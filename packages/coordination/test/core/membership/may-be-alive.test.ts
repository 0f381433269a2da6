/**
 * Story: an entry is killed and started again. A caller comes back through it with the key of a call
 * that may not be repeated and that runs at this moment, and is told that the call was handed to a
 * target whose answer is lost; half a second later the call is answered, and nobody hears of it.
 *
 * What a demo's stories showed, with every `unknown` of ten runs beside load: `request-failed` with
 * "whose answer is lost" in the entry that had just started, at 04:49:33.98; `request-dispatched` of the
 * same call in another entry at 04:49:34.05, `request-answered` at 04:49:34.62. Cause: an entry took a
 * member that it had not met yet for a dead one.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createHashing } from '../../../src/core/hashing/hashing.js';
import { MemberKind, MemberState } from '../../../src/core/model/member.js';
import { MEMBERSHIP_OPTIONS, createMembership } from '../../../src/core/membership/state.js';
import { Spread, applyNews, mayBeAlive } from '../../../src/core/membership/view.js';

const { hash32 } = await createHashing();
const context = { nowMs: 0, random: () => 0.5, hash32, hints: () => [] };
const SELF = '10.0.0.1:7000';
const OTHER = '10.0.0.2:7000';
/** What a member of the target size needs to hear of all others: 36 pages, two a second. */
const WHOLE_VIEW_MS = 18_000;

function membershipThatHeard(state: MemberState | null) {
  const details = { kind: MemberKind.Entry, failureDomain: 'eros-hall', target: '' };
  const self = { id: SELF, incarnation: 1, ...details };
  const membership = createMembership(self, [], MEMBERSHIP_OPTIONS, context);
  if (state === null) return membership;
  const sidecar = { ...details, kind: MemberKind.Sidecar, target: 'portal-1' };
  const news = { id: OTHER, state, incarnation: 5, details: sidecar };
  applyNews(membership, news, Spread.Keep, 'told', context);
  return membership;
}

describe('whether a member may be alive', () => {
  describe('one that was never heard of', () => {
    it('may be, as long as this process has not had time to hear of all', () => {
      const membership = membershipThatHeard(null);
      assert.equal(mayBeAlive(membership, OTHER, 0), true);
      assert.equal(mayBeAlive(membership, OTHER, WHOLE_VIEW_MS), true);
    });

    it('is not, once it has had that time', () => {
      assert.equal(mayBeAlive(membershipThatHeard(null), OTHER, 60_000), false);
    });
  });

  describe('one that was heard of', () => {
    it('is not when it is dead, also right after the start', () => {
      assert.equal(mayBeAlive(membershipThatHeard(MemberState.Dead), OTHER, 0), false);
    });

    it('may be when it is alive, leaving or suspect', () => {
      for (const state of [MemberState.Alive, MemberState.Leaving, MemberState.Suspect]) {
        assert.equal(mayBeAlive(membershipThatHeard(state), OTHER, 60_000), true);
      }
    });
  });

  it('holds for this process itself', () => {
    assert.equal(mayBeAlive(membershipThatHeard(null), SELF, 60_000), true);
  });
});
