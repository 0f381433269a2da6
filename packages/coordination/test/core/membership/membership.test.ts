/**
 * Membership on a virtual clock: joining, failure detection, refutation, pauses, partitions,
 * graceful shutdown, anti-entropy sync and limits.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { SyncAnswer, SyncRequest } from '../../../src/index.js';
import {
  MEMBERSHIP_GUARDS,
  MEMBERSHIP_OPTIONS,
  MemberKind,
  MemberState,
  MembershipEffectKind,
  announceLeaving,
  announceLeft,
  answerSync,
  findMember,
  membersIn,
  presentMembers,
  receiveSyncAnswer,
} from '../../../src/index.js';
import type { FleetMember } from '../../fixtures/fleet.js';
import { encodeUpdate } from '../../../src/core/membership/wire.js';
import { Fleet } from '../../fixtures/fleet.js';

const JOINED_MS = 40_000;

function heldStates(fleet: Fleet, about: FleetMember): (MemberState | undefined)[] {
  return fleet.members
    .filter((member) => !member.killed && member !== about)
    .map((member) => findMember(member.state, about.id)?.state);
}

function assertStateOnAll(fleet: Fleet, about: FleetMember, state: MemberState): void {
  assert.deepEqual([...new Set(heldStates(fleet, about))], [state]);
}

function assertAllKnowAll(fleet: Fleet): void {
  for (const member of fleet.members) {
    assert.equal(membersIn(member.state, MemberState.Alive).length, fleet.members.length);
  }
}

describe('membership', () => {
  describe('joining', () => {
    it('lets all members discover each other through three seeds', () => {
      const fleet = new Fleet({ size: 60, seed: 1 });
      fleet.runUntil(JOINED_MS);
      assertAllKnowAll(fleet);
    });

    /**
     * When a hundred processes start together, the updates about some of them can reach their send
     * limit among peers that know few others. Such a member knows all others but is unknown to
     * them, so it never gets any work.
     */
    it('leaves no member unknown in a mass start', () => {
      const fleet = new Fleet({ size: 140, seed: 1, failureDomains: 7 });
      fleet.runUntil(2 * JOINED_MS);
      assertAllKnowAll(fleet);
    });

    it('accepts a process restarted at its old address, with its new incarnation', () => {
      const fleet = new Fleet({ size: 14, seed: 2 });
      fleet.runUntil(JOINED_MS);
      fleet.member(5).killed = true;
      fleet.runUntil(JOINED_MS + 500);
      fleet.start(5, 7);
      fleet.runUntil(JOINED_MS + 20_000);
      assertAllKnowAll(fleet);
      assert.equal(findMember(fleet.member(0).state, fleet.member(5).id)?.incarnation, 7);
    });

    /**
     * The clock of a replacement VM is behind, so its process starts with a lower incarnation than
     * the one that the others have recorded as dead. Without a correction it would be ignored for
     * two hours.
     */
    it('raises an incarnation taken from a clock that is behind', () => {
      const fleet = new Fleet({ size: 14, seed: 3 });
      fleet.member(5).killed = true;
      fleet.start(5, 1_000);
      fleet.runUntil(JOINED_MS);
      fleet.member(5).killed = true;
      fleet.runUntil(JOINED_MS + 20_000);
      assertStateOnAll(fleet, fleet.member(5), MemberState.Dead);
      fleet.start(5, 3);
      fleet.runUntil(JOINED_MS + 60_000);
      assertAllKnowAll(fleet);
    });
  });

  /**
   * A process announces that it is leaving, which raises its incarnation, and ends. The clock of
   * the replacement VM gives the new process the same incarnation. Without a correction, the other
   * members would treat the new process as leaving and never give it work.
   */
  describe('a restarted process with the incarnation of its predecessor', () => {
    it('learns of its predecessor and raises its incarnation', () => {
      const fleet = new Fleet({ size: 14, seed: 15 });
      fleet.runUntil(JOINED_MS);
      const predecessor = fleet.member(5);
      fleet.perform(predecessor, announceLeaving(predecessor.state, fleet.context()));
      fleet.runUntil(JOINED_MS + 3_000);
      predecessor.killed = true;
      fleet.start(5, predecessor.state.self.incarnation);
      fleet.runUntil(JOINED_MS + 40_000);
      assertAllKnowAll(fleet);
    });
  });

  describe('failure detection', () => {
    it('marks a killed member as suspect within 4 s and dead within 9 s on all members', () => {
      const fleet = new Fleet({ size: 60, seed: 4 });
      fleet.runUntil(JOINED_MS);
      fleet.member(9).killed = true;
      fleet.runUntil(JOINED_MS + 4_000);
      assert.ok(!heldStates(fleet, fleet.member(9)).includes(MemberState.Alive));
      fleet.runUntil(JOINED_MS + 9_000);
      assertStateOnAll(fleet, fleet.member(9), MemberState.Dead);
    });

    it('marks all members of a failed failure domain as dead, and no others', () => {
      const fleet = new Fleet({ size: 60, seed: 5 });
      fleet.runUntil(JOINED_MS);
      const lostMembers = fleet.members.filter((member) => member.failureDomain === 'fd-1');
      for (const member of lostMembers) member.killed = true;
      fleet.runUntil(JOINED_MS + 15_000);
      for (const member of lostMembers) assertStateOnAll(fleet, member, MemberState.Dead);
      for (const member of fleet.members) {
        if (!member.killed) assert.equal(presentMembers(member.state).length, 40);
      }
    });

    /**
     * Two thirds of a failure domain die at once. The rest of it is suspected for a moment, and all
     * members must mark it as alive again without a refutation.
     */
    it('reverts the suspicion of the remaining members of a failure domain', () => {
      const reasons = new Set<string>();
      const fleet = new Fleet({
        size: 60,
        seed: 16,
        onChanged: (_observer, change) => reasons.add(change.reason),
      });
      fleet.runUntil(JOINED_MS);
      const domain = fleet.members.filter((member) => member.failureDomain === 'fd-1');
      for (const member of domain.slice(0, 14)) member.killed = true;
      fleet.runUntil(JOINED_MS + 60_000);
      assert.ok(reasons.has('most of its failure domain is down'));
      for (const member of domain.slice(14)) assertStateOnAll(fleet, member, MemberState.Alive);
      for (const member of domain.slice(14)) assert.equal(member.state.self.incarnation, 1);
    });

    it('declares no member dead while a tenth of all datagrams is lost', () => {
      const deaths: string[] = [];
      const fleet = new Fleet({
        size: 30,
        seed: 6,
        losesDatagram: (_from, _to, random) => random() < 0.1,
        onChanged: (_observer, change) => {
          if (change.member.state === MemberState.Dead) deaths.push(change.member.id);
        },
      });
      fleet.runUntil(300_000);
      assert.deepEqual(deaths, []);
    });
  });

  /**
   * A process is paused for a minute and resumes with all its timers overdue. Without the guard it
   * declares all other members dead, because none has answered it. The others have rightly declared
   * it dead, and it must refute that to be alive again.
   */
  describe('a paused process', () => {
    function pauseOne(pauseThresholdMs: number): { wrongDeathCount: number; fleet: Fleet } {
      let wrongDeathCount = 0;
      const guards = { ...MEMBERSHIP_GUARDS, pauseThresholdMs };
      const fleet = new Fleet({
        size: 14,
        seed: 7,
        options: { ...MEMBERSHIP_OPTIONS, guards },
        onChanged: (observer, change) => {
          const isDeath = change.member.state === MemberState.Dead;
          if (observer.id === '10.0.0.4:7000' && isDeath) wrongDeathCount += 1;
        },
      });
      fleet.runUntil(JOINED_MS);
      fleet.member(4).pausedUntilMs = JOINED_MS + 60_000;
      fleet.runUntil(JOINED_MS + 59_000);
      assertStateOnAll(fleet, fleet.member(4), MemberState.Dead);
      fleet.runUntil(JOINED_MS + 90_000);
      return { wrongDeathCount, fleet };
    }

    it('declares no member dead and becomes alive again', () => {
      const { wrongDeathCount, fleet } = pauseOne(MEMBERSHIP_GUARDS.pauseThresholdMs);
      assert.equal(wrongDeathCount, 0);
      assertAllKnowAll(fleet);
    });
  });

  /**
   * The network of one member is cut for a minute. Its suspicions of the others result from its own
   * isolation, so they must not affect any other member when the cut ends.
   */
  describe('a member that was cut off', () => {
    for (const direction of ['both ways', 'outwards only', 'inwards only']) {
      it(`keeps its suspicions local: ${direction}`, () => {
        const cut = '10.0.0.4:7000';
        let wrongDeathCount = 0;
        const fleet = new Fleet({
          size: 14,
          seed: 8,
          losesDatagram: (from, to, _random, nowMs) => {
            if (nowMs < JOINED_MS || nowMs > JOINED_MS + 60_000) return false;
            const outwards = from.id === cut && direction !== 'inwards only';
            const inwards = to.id === cut && direction !== 'outwards only';
            return outwards || inwards;
          },
          onChanged: (_observer, change) => {
            if (change.member.id === cut || change.member.state !== MemberState.Dead) return;
            wrongDeathCount += 1;
          },
        });
        fleet.runUntil(JOINED_MS + 100_000);
        assert.equal(wrongDeathCount, 0);
        assertAllKnowAll(fleet);
      });
    }
  });

  /**
   * Two regions are partitioned for an hour. Each continues by itself and declares the other dead.
   * If dead members were not probed, the regions would stay separate after the partition heals.
   */
  describe('regions partitioned for an hour', () => {
    function partitionAndHeal(probesDead: boolean): Fleet {
      const endMs = JOINED_MS + 3_600_000;
      const fleet = new Fleet({
        size: 16,
        seed: 9,
        failureDomains: 2,
        options: { ...MEMBERSHIP_OPTIONS, guards: { ...MEMBERSHIP_GUARDS, probesDead } },
        losesDatagram: (from, to, _random, nowMs) =>
          nowMs >= JOINED_MS && nowMs < endMs && from.failureDomain !== to.failureDomain,
      });
      fleet.runUntil(endMs - 1);
      assert.equal(presentMembers(fleet.member(0).state).length, 8);
      fleet.runUntil(endMs + 60_000);
      return fleet;
    }

    it('reconnect within a minute after the partition heals', () => {
      assertAllKnowAll(partitionAndHeal(true));
    });

    it('stay separate when dead members are not probed: the guard is needed', () => {
      assert.equal(presentMembers(partitionAndHeal(false).member(0).state).length, 8);
    });
  });

  describe('a graceful shutdown', () => {
    it('is marked as leaving within two seconds, and as dead without suspicion', () => {
      const suspected: string[] = [];
      const fleet = new Fleet({
        size: 60,
        seed: 10,
        onChanged: (_observer, change) => {
          if (change.member.state === MemberState.Suspect) suspected.push(change.member.id);
        },
      });
      fleet.runUntil(JOINED_MS);
      const leaver = fleet.member(20);
      fleet.perform(leaver, announceLeaving(leaver.state, fleet.context()));
      fleet.runUntil(JOINED_MS + 2_000);
      assertStateOnAll(fleet, leaver, MemberState.Leaving);
      fleet.perform(leaver, announceLeft(leaver.state, fleet.context()));
      leaver.killed = true;
      fleet.runUntil(JOINED_MS + 4_000);
      assertStateOnAll(fleet, leaver, MemberState.Dead);
      assert.deepEqual(suspected, []);
    });
  });

  describe('anti-entropy sync', () => {
    const context = new Fleet({ size: 1, seed: 12 }).context();

    it('rejects a malformed request with a typed failure and ignores a malformed page', () => {
      const fleet = new Fleet({ size: 3, seed: 13 });
      fleet.runUntil(10_000);
      const { state } = fleet.member(0);
      for (const bad of [null, {}, { digests: [1], fromBucket: 0, self: [] }, 'x']) {
        const { answer } = answerSync(state, bad as unknown as SyncRequest, context);
        assert.equal(answer._unsafeUnwrapErr().name, 'malformed-membership-message');
        const page = bad as unknown as SyncAnswer;
        assert.deepEqual(receiveSyncAnswer(state, 'x:1', page, context), []);
      }
    });

    /**
     * When a whole failure domain restarts, all its processes request the view from the same few
     * peers.
     */
    it('rejects requesters once the page limit per second is reached', () => {
      const fleet = new Fleet({ size: 14, seed: 14 });
      fleet.runUntil(JOINED_MS);
      const { state } = fleet.member(0);
      const digests = Array.from({ length: state.digests.length }, () => 1);
      const request = { digests, fromBucket: 0, self: [] };
      const requestPage = () => answerSync(state, request, fleet.context()).answer;
      for (let page = 0; page < MEMBERSHIP_OPTIONS.syncPagesPerS; page += 1)
        assert.ok(requestPage().isOk());
      assert.equal(requestPage()._unsafeUnwrapErr().name, 'sync-busy');
    });

    /**
     * Without the effect, a member is alive in the table while the rest of the process is unaware
     * of it.
     */
    it('reports each requester that it adds, including those it rejects', () => {
      const fleet = new Fleet({ size: 1, seed: 15 });
      const { state } = fleet.member(0);
      const unknownIds = Array.from({ length: 6 }, (_, index) => `10.1.0.${String(index)}:7000`);
      const outcomes = unknownIds.map((id) => {
        const digests = Array.from({ length: state.digests.length }, () => 1);
        const details = { kind: MemberKind.Sidecar, failureDomain: 'fd-1', target: 't' };
        const self = encodeUpdate({ id, state: MemberState.Alive, incarnation: 1, details });
        return answerSync(state, { digests, fromBucket: 0, self }, fleet.context());
      });
      const reportedIds = outcomes.flatMap(({ effects }) =>
        effects.map((effect) =>
          effect.kind === MembershipEffectKind.MemberChanged ? effect.member.id : effect.kind,
        ),
      );
      assert.ok(outcomes.some(({ answer }) => answer.isErr()));
      assert.deepEqual([...state.records.keys()], unknownIds);
      assert.deepEqual(reportedIds, unknownIds);
    });
  });

  describe('bounds', () => {
    it('rejects a new member with a typed failure when the table is full', () => {
      const failureNames = new Set<string>();
      const options = { ...MEMBERSHIP_OPTIONS, maxMembers: 5 };
      const fleet = new Fleet({ size: 8, seed: 11, options });
      const perform = fleet.perform.bind(fleet);
      fleet.perform = (member, effects) => {
        for (const effect of effects) {
          if (effect.kind === MembershipEffectKind.Refused) failureNames.add(effect.failure.name);
        }
        perform(member, effects);
      };
      fleet.runUntil(JOINED_MS);
      assert.deepEqual([...failureNames], ['members-full']);
      for (const member of fleet.members) assert.ok(member.state.records.size <= 5);
    });
  });
});
