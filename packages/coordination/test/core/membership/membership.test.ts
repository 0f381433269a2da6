/** Membership on a virtual clock: joining, detection, refutation, pauses, partitions. */
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
import { encodeNews } from '../../../src/core/membership/wire.js';
import { Fleet } from '../../fixtures/fleet.js';

const JOINED_MS = 40_000;

function beliefs(fleet: Fleet, about: FleetMember): (MemberState | undefined)[] {
  return fleet.members
    .filter((member) => !member.killed && member !== about)
    .map((member) => findMember(member.state, about.id)?.state);
}

function assertAllBelieve(fleet: Fleet, about: FleetMember, state: MemberState): void {
  assert.deepEqual([...new Set(beliefs(fleet, about))], [state]);
}

function assertWhole(fleet: Fleet): void {
  for (const member of fleet.members) {
    assert.equal(membersIn(member.state, MemberState.Alive).length, fleet.members.length);
  }
}

describe('membership', () => {
  describe('joining', () => {
    it('brings everybody to know everybody through three seeds', () => {
      const fleet = new Fleet({ size: 60, seed: 1 });
      fleet.runUntil(JOINED_MS);
      assertWhole(fleet);
    });

    /**
     * A hundred processes start together. The news of some dies out among peers that know few others
     * yet: they come to know everybody, but nobody knows them, and no work ever reaches them.
     */
    it('leaves nobody unknown in a mass start', () => {
      const fleet = new Fleet({ size: 140, seed: 1, failureDomains: 7 });
      fleet.runUntil(2 * JOINED_MS);
      assertWhole(fleet);
    });

    it('takes a restarted process at its old address in, with its new incarnation', () => {
      const fleet = new Fleet({ size: 14, seed: 2 });
      fleet.runUntil(JOINED_MS);
      fleet.member(5).killed = true;
      fleet.runUntil(JOINED_MS + 500);
      fleet.start(5, 7);
      fleet.runUntil(JOINED_MS + 20_000);
      assertWhole(fleet);
      assert.equal(findMember(fleet.member(0).state, fleet.member(5).id)?.incarnation, 7);
    });

    /**
     * A VM is replaced and its new clock is behind: the process starts with a lower number than the
     * one that others remember as dead. Without a correction it would be ignored for two hours.
     */
    it('corrects an incarnation drawn from a clock that is behind', () => {
      const fleet = new Fleet({ size: 14, seed: 3 });
      fleet.member(5).killed = true;
      fleet.start(5, 1_000);
      fleet.runUntil(JOINED_MS);
      fleet.member(5).killed = true;
      fleet.runUntil(JOINED_MS + 20_000);
      assertAllBelieve(fleet, fleet.member(5), MemberState.Dead);
      fleet.start(5, 3);
      fleet.runUntil(JOINED_MS + 60_000);
      assertWhole(fleet);
    });
  });

  /**
   * A process says that it is leaving, which raises its number, and ends. The clock of the VM that
   * takes its place gives the new process that very number: two lives, one number, and nobody would
   * ever give the new one work.
   */
  describe('a new life with the number of the last one', () => {
    it('is told of its predecessor and raises it', () => {
      const fleet = new Fleet({ size: 14, seed: 15 });
      fleet.runUntil(JOINED_MS);
      const before = fleet.member(5);
      fleet.perform(before, announceLeaving(before.state, fleet.context()));
      fleet.runUntil(JOINED_MS + 3_000);
      before.killed = true;
      fleet.start(5, before.state.self.incarnation);
      fleet.runUntil(JOINED_MS + 40_000);
      assertWhole(fleet);
    });
  });

  describe('failure detection', () => {
    it('finds a killed member suspect within 4 s and dead within 9 s everywhere', () => {
      const fleet = new Fleet({ size: 60, seed: 4 });
      fleet.runUntil(JOINED_MS);
      fleet.member(9).killed = true;
      fleet.runUntil(JOINED_MS + 4_000);
      assert.ok(!beliefs(fleet, fleet.member(9)).includes(MemberState.Alive));
      fleet.runUntil(JOINED_MS + 9_000);
      assertAllBelieve(fleet, fleet.member(9), MemberState.Dead);
    });

    it('finds a whole failure domain dead at once, and nobody else', () => {
      const fleet = new Fleet({ size: 60, seed: 5 });
      fleet.runUntil(JOINED_MS);
      const lost = fleet.members.filter((member) => member.failureDomain === 'fd-1');
      for (const member of lost) member.killed = true;
      fleet.runUntil(JOINED_MS + 15_000);
      for (const member of lost) assertAllBelieve(fleet, member, MemberState.Dead);
      for (const member of fleet.members) {
        if (!member.killed) assert.equal(presentMembers(member.state).length, 40);
      }
    });

    /**
     * Two thirds of a failure domain die at once. The rest of it is doubted for a moment, and must be
     * believed in again, by everybody and without having to contradict.
     */
    it('takes the doubt about the rest of a failure domain back', () => {
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
      for (const member of domain.slice(14)) assertAllBelieve(fleet, member, MemberState.Alive);
      for (const member of domain.slice(14)) assert.equal(member.state.self.incarnation, 1);
    });

    it('declares nobody dead while a tenth of all datagrams is lost', () => {
      const deaths: string[] = [];
      const fleet = new Fleet({
        size: 30,
        seed: 6,
        loses: (_from, _to, random) => random() < 0.1,
        onChanged: (_observer, change) => {
          if (change.member.state === MemberState.Dead) deaths.push(change.member.id);
        },
      });
      fleet.runUntil(300_000);
      assert.deepEqual(deaths, []);
    });
  });

  /**
   * A process stands still for a minute and wakes up with all timers overdue. Without the guard it
   * takes everybody for dead, since nobody answered it. Others may rightly have taken it for dead;
   * it contradicts and is back.
   */
  describe('a paused process', () => {
    function pauseOne(pauseThresholdMs: number): { wrong: number; fleet: Fleet } {
      let wrong = 0;
      const guards = { ...MEMBERSHIP_GUARDS, pauseThresholdMs };
      const fleet = new Fleet({
        size: 14,
        seed: 7,
        options: { ...MEMBERSHIP_OPTIONS, guards },
        onChanged: (observer, change) => {
          const settled = change.member.state === MemberState.Dead;
          if (observer.id === '10.0.0.4:7000' && settled) wrong += 1;
        },
      });
      fleet.runUntil(JOINED_MS);
      fleet.member(4).pausedUntilMs = JOINED_MS + 60_000;
      fleet.runUntil(JOINED_MS + 59_000);
      assertAllBelieve(fleet, fleet.member(4), MemberState.Dead);
      fleet.runUntil(JOINED_MS + 90_000);
      return { wrong, fleet };
    }

    it('declares nobody dead and is taken back', () => {
      const { wrong, fleet } = pauseOne(MEMBERSHIP_GUARDS.pauseThresholdMs);
      assert.equal(wrong, 0);
      assertWhole(fleet);
    });
  });

  /**
   * One member's network is cut for a minute. It hears nobody, so what it concludes about the others
   * says nothing about them; when the cut ends nobody else may be bothered by its conclusions.
   */
  describe('a member that was cut off', () => {
    for (const direction of ['both ways', 'outwards only', 'inwards only']) {
      it(`keeps its suspicions to itself: ${direction}`, () => {
        const cut = '10.0.0.4:7000';
        let wrong = 0;
        const fleet = new Fleet({
          size: 14,
          seed: 8,
          loses: (from, to, _random, nowMs) => {
            if (nowMs < JOINED_MS || nowMs > JOINED_MS + 60_000) return false;
            const outwards = from.id === cut && direction !== 'inwards only';
            const inwards = to.id === cut && direction !== 'outwards only';
            return outwards || inwards;
          },
          onChanged: (_observer, change) => {
            if (change.member.id === cut || change.member.state !== MemberState.Dead) return;
            wrong += 1;
          },
        });
        fleet.runUntil(JOINED_MS + 100_000);
        assert.equal(wrong, 0);
        assertWhole(fleet);
      });
    }
  });

  /**
   * Two regions lose each other for an hour. Each goes on by itself and takes the other for dead;
   * afterwards nobody would ever probe the dead again, and the halves would stay apart for good.
   */
  describe('regions parted for an hour', () => {
    function partAndHeal(probesDead: boolean): Fleet {
      const endMs = JOINED_MS + 3_600_000;
      const fleet = new Fleet({
        size: 16,
        seed: 9,
        failureDomains: 2,
        options: { ...MEMBERSHIP_OPTIONS, guards: { ...MEMBERSHIP_GUARDS, probesDead } },
        loses: (from, to, _random, nowMs) =>
          nowMs >= JOINED_MS && nowMs < endMs && from.failureDomain !== to.failureDomain,
      });
      fleet.runUntil(endMs - 1);
      assert.equal(presentMembers(fleet.member(0).state).length, 8);
      fleet.runUntil(endMs + 60_000);
      return fleet;
    }

    it('find each other within a minute of the end', () => {
      assertWhole(partAndHeal(true));
    });

    it('stay apart when the dead are not probed: the guard is needed', () => {
      assert.equal(presentMembers(partAndHeal(false).member(0).state).length, 8);
    });
  });

  describe('a graceful end', () => {
    it('is known as leaving within two seconds, and as dead without suspicion', () => {
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
      assertAllBelieve(fleet, leaver, MemberState.Leaving);
      fleet.perform(leaver, announceLeft(leaver.state, fleet.context()));
      leaver.killed = true;
      fleet.runUntil(JOINED_MS + 4_000);
      assertAllBelieve(fleet, leaver, MemberState.Dead);
      assert.deepEqual(suspected, []);
    });
  });

  describe('comparing views', () => {
    const context = new Fleet({ size: 1, seed: 12 }).context();

    it('answers a malformed request with a typed failure, and drops a malformed page', () => {
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

    /** A failure domain returns at once and every process asks the same few peers for everything. */
    it('turns askers away once its pages for the second are used up', () => {
      const fleet = new Fleet({ size: 14, seed: 14 });
      fleet.runUntil(JOINED_MS);
      const { state } = fleet.member(0);
      const digests = Array.from({ length: state.digests.length }, () => 1);
      const request = { digests, fromBucket: 0, self: [] };
      const ask = () => answerSync(state, request, fleet.context()).answer;
      for (let page = 0; page < MEMBERSHIP_OPTIONS.syncPagesPerS; page += 1)
        assert.ok(ask().isOk());
      assert.equal(ask()._unsafeUnwrapErr().name, 'sync-busy');
    });

    /** Guards against a member that is believed alive while nothing in the process knows of it. */
    it('tells of each asker that it learns of, also of those it turns away', () => {
      const fleet = new Fleet({ size: 1, seed: 15 });
      const { state } = fleet.member(0);
      const strangers = Array.from({ length: 6 }, (_, index) => `10.1.0.${String(index)}:7000`);
      const served = strangers.map((id) => {
        const digests = Array.from({ length: state.digests.length }, () => 1);
        const details = { kind: MemberKind.Sidecar, failureDomain: 'fd-1', target: 't' };
        const self = encodeNews({ id, state: MemberState.Alive, incarnation: 1, details });
        return answerSync(state, { digests, fromBucket: 0, self }, fleet.context());
      });
      const told = served.flatMap(({ effects }) =>
        effects.map((effect) =>
          effect.kind === MembershipEffectKind.MemberChanged ? effect.member.id : effect.kind,
        ),
      );
      assert.ok(served.some(({ answer }) => answer.isErr()));
      assert.deepEqual([...state.records.keys()], strangers);
      assert.deepEqual(told, strangers);
    });
  });

  describe('bounds', () => {
    it('refuses a further member with a typed failure when the table is full', () => {
      const refusals = new Set<string>();
      const options = { ...MEMBERSHIP_OPTIONS, maxMembers: 5 };
      const fleet = new Fleet({ size: 8, seed: 11, options });
      const perform = fleet.perform.bind(fleet);
      fleet.perform = (member, effects) => {
        for (const effect of effects) {
          if (effect.kind === MembershipEffectKind.Refused) refusals.add(effect.failure.name);
        }
        perform(member, effects);
      };
      fleet.runUntil(JOINED_MS);
      assert.deepEqual([...refusals], ['members-full']);
      for (const member of fleet.members) assert.ok(member.state.records.size <= 5);
    });
  });
});
