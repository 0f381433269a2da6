/** Tests for the placement of keys on members, and for the proof that a request never ran. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { provesAbsence } from '../../../src/core/placement/absence.js';
import type { ContactHistory } from '../../../src/core/placement/absence.js';
import {
  claimAggregatorOf,
  createPlacement,
  holdersOf,
  holdersWithout,
  watcherOf,
} from '../../../src/core/placement/placement.js';
import type { PlacementMember } from '../../../src/core/placement/placement.js';
import { hash32 } from '../../fixtures/requests.js';

function members(count: number, domains: number): PlacementMember[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `10.0.0.${String(index)}:7000`,
    failureDomain: `domain-${String(index % domains)}`,
  }));
}

const KEYS = Array.from({ length: 300 }, (_, index) => `key-${String(index)}`);

describe('placement', () => {
  describe('holders', () => {
    it('are in two failure domains, independent of the order of the members', () => {
      const all = members(11, 3);
      const placement = createPlacement(all, hash32);
      const reversed = createPlacement([...all].reverse(), hash32);
      const domainOf = new Map(all.map((member) => [member.id, member.failureDomain]));
      for (const key of KEYS) {
        const holders = holdersOf(placement, key);
        assert.deepEqual(holdersOf(reversed, key), holders);
        assert.equal(new Set(holders.map((id) => domainOf.get(id))).size, 2);
      }
    });

    it('are two members of a single domain, a single member, or none', () => {
      assert.equal(new Set(holdersOf(createPlacement(members(3, 1), hash32), 'key')).size, 2);
      assert.equal(holdersOf(createPlacement(members(1, 1), hash32), 'key').length, 1);
      assert.deepEqual(holdersOf(createPlacement([], hash32), 'key'), []);
    });

    it('change only for the keys of a member that leaves', () => {
      const all = members(20, 3);
      const placement = createPlacement(all, hash32);
      const leavingId = all[4]?.id ?? '';
      for (const key of KEYS) {
        const before = holdersOf(placement, key);
        if (before.includes(leavingId)) continue;
        assert.deepEqual(holdersWithout(placement, key, new Set([leavingId])), before);
      }
    });

    it('are spread over all members', () => {
      const placement = createPlacement(members(10, 5), hash32);
      const used = new Set(KEYS.flatMap((key) => holdersOf(placement, key)));
      assert.equal(used.size, 10);
    });
  });

  describe('single-member lookups', () => {
    it('find a claim aggregator and a watcher inside the domain', () => {
      const placement = createPlacement(members(9, 3), hash32);
      assert.notEqual(claimAggregatorOf(placement, 'key', 16), null);
      const watcher = watcherOf(placement, 'configuration', 'domain-1');
      const found = placement.members.find((member) => member.id === watcher);
      assert.equal(found?.failureDomain, 'domain-1');
      assert.equal(watcherOf(placement, 'configuration', 'elsewhere'), null);
    });
  });

  describe('absence', () => {
    const contacts: ContactHistory[] = members(6, 3).map((member, index) => ({
      ...member,
      seenSinceMs: 0,
      lastOutOfContactAtMs: null,
      isEntry: index < 3,
    }));
    const holders = holdersOf(createPlacement(contacts, hash32), 'key');
    const evidence = {
      keyText: 'key',
      absentAt: holders,
      contacts,
      horizonMs: 1000,
      nowMs: 5000,
      hash32,
    };

    it('is proven by both members that held the key over the whole horizon', () => {
      assert.equal(provesAbsence(evidence), true);
      assert.equal(provesAbsence({ ...evidence, absentAt: holders.slice(1) }), false);
    });

    it('is not proven by members that joined within the horizon', () => {
      const recentlyJoined = contacts.map((contact) =>
        holders.includes(contact.id) ? { ...contact, seenSinceMs: 4500 } : contact,
      );
      assert.equal(provesAbsence({ ...evidence, contacts: recentlyJoined }), false);
    });

    // During a partition, an entry on the other side accepted the key with holders of its side.
    // After the partition heals, a retry reaches this side, whose holders have no record. Reporting
    // "not-run" would be false, because these holders never received the request.
    it('is not proven if an entry and a sidecar were out of contact', () => {
      const outOfContact = contacts.map((contact, index) =>
        index === 0 || index === 5 ? { ...contact, lastOutOfContactAtMs: 4800 } : contact,
      );
      assert.equal(provesAbsence({ ...evidence, contacts: outOfContact }), false);
    });
  });
});
