/** Encoding of membership datagrams: round trips, size limits and malformed input. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import type { MemberUpdate } from '../../../src/index.js';
import {
  MEMBERSHIP_OPTIONS,
  MemberKind,
  MemberState,
  MembershipMethod,
  datagramBytes,
  decodeMembershipMessage,
  encodeMembershipMessage,
} from '../../../src/index.js';
import {
  createUpdateQueue,
  enqueueUpdate,
  updateBytes,
  takeUpdates,
} from '../../../src/core/membership/update-queue.js';

const MAX_DATAGRAM_BYTES = 1_200;

const updateArbitrary: fc.Arbitrary<MemberUpdate> = fc.record({
  id: fc.ipV4().map((host) => `${host}:7000`),
  state: fc.constantFrom(...Object.values(MemberState)),
  incarnation: fc.nat(),
  details: fc.option(
    fc.record({
      kind: fc.constantFrom(...Object.values(MemberKind)),
      failureDomain: fc.string({ maxLength: 20 }),
      target: fc.string({ maxLength: 20 }),
    }),
  ),
});

describe('membership datagrams', () => {
  describe('decoding', () => {
    it('round-trips encoded messages', () => {
      const messages = fc.record({
        method: fc.constantFrom(MembershipMethod.Ping, MembershipMethod.Ack),
        sequence: fc.nat(),
        hints: fc.array(fc.nat(), { maxLength: 3 }),
        news: fc.array(updateArbitrary, { maxLength: 5 }),
      });
      fc.assert(
        fc.property(messages, (message) => {
          const { method, params } = encodeMembershipMessage(message);
          const plain: unknown = JSON.parse(JSON.stringify(message));
          const received: unknown = JSON.parse(JSON.stringify(params));
          assert.deepEqual(decodeMembershipMessage(method, received)._unsafeUnwrap(), plain);
        }),
        { seed: 1 },
      );
    });

    it('returns a typed failure for malformed input and never throws', () => {
      const methods = fc.oneof(fc.constantFrom(...Object.values(MembershipMethod)), fc.string());
      fc.assert(
        fc.property(methods, fc.jsonValue(), (method, params) => {
          const decoded = decodeMembershipMessage(method, params);
          if (decoded.isErr()) assert.equal(decoded.error.name, 'malformed-membership-message');
        }),
        { seed: 2, numRuns: 2_000 },
      );
    });

    it('rejects updates with an unknown state, a negative incarnation or an id without a port', () => {
      const bad = [
        ['10.0.0.1:7000', 9, 1],
        ['10.0.0.1:7000', 0, -1],
        ['10.0.0.1', 0, 1],
        ['10.0.0.1:7000', 0, 1, 7, 'fd', 't'],
      ];
      for (const update of bad) {
        assert.ok(decodeMembershipMessage(MembershipMethod.Gossip, [[], [update]]).isErr());
      }
    });
  });

  describe('updates on a message', () => {
    it('never produce a datagram large enough to be fragmented', () => {
      fc.assert(
        fc.property(fc.array(updateArbitrary, { maxLength: 60 }), (updates) => {
          const queue = createUpdateQueue();
          for (const update of updates) enqueueUpdate(queue, update);
          const taken = takeUpdates(queue, MEMBERSHIP_OPTIONS.updateBytesPerMessage, 6);
          const hints = [650_000, 100_000];
          const method = MembershipMethod.Ping;
          const wire = encodeMembershipMessage({ method, sequence: 1e9, hints, news: taken });
          assert.ok(datagramBytes(wire) <= MAX_DATAGRAM_BYTES);
        }),
        { seed: 3 },
      );
    });

    it('are each sent up to the send limit, new ones first', () => {
      const queue = createUpdateQueue();
      const updateOfPort = (port: number): MemberUpdate => ({
        id: `10.0.0.1:${String(port)}`,
        state: MemberState.Alive,
        incarnation: 1,
        details: null,
      });
      enqueueUpdate(queue, updateOfPort(7001));
      const budgetBytes = updateBytes(updateOfPort(7001));
      assert.equal(takeUpdates(queue, budgetBytes, 3)[0]?.id, '10.0.0.1:7001');
      enqueueUpdate(queue, updateOfPort(7002));
      const order = [1, 2, 3, 4, 5].map(() => takeUpdates(queue, budgetBytes, 3)[0]?.id.slice(-4));
      assert.deepEqual(order, ['7002', '7001', '7002', '7001', '7002']);
      assert.deepEqual(takeUpdates(queue, budgetBytes, 3), []);
    });
  });
});
