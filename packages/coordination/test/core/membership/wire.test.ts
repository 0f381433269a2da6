/** The encoding of membership datagrams: round trips, bounds, malformed input. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import type { MemberNews } from '../../../src/index.js';
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
  createNewsQueue,
  enqueueNews,
  newsBytes,
  takeNews,
} from '../../../src/core/membership/news-queue.js';

const MAX_DATAGRAM_BYTES = 1_200;

const newsArbitrary: fc.Arbitrary<MemberNews> = fc.record({
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
    it('gives back what was encoded', () => {
      const messages = fc.record({
        method: fc.constantFrom(MembershipMethod.Ping, MembershipMethod.Ack),
        sequence: fc.nat(),
        hints: fc.array(fc.nat(), { maxLength: 3 }),
        news: fc.array(newsArbitrary, { maxLength: 5 }),
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

    it('answers malformed input with a typed failure and never throws', () => {
      const methods = fc.oneof(fc.constantFrom(...Object.values(MembershipMethod)), fc.string());
      fc.assert(
        fc.property(methods, fc.jsonValue(), (method, params) => {
          const decoded = decodeMembershipMessage(method, params);
          if (decoded.isErr()) assert.equal(decoded.error.name, 'malformed-membership-message');
        }),
        { seed: 2, numRuns: 2_000 },
      );
    });

    it('refuses news of an unknown state, a negative incarnation or an id without a port', () => {
      const bad = [
        ['10.0.0.1:7000', 9, 1],
        ['10.0.0.1:7000', 0, -1],
        ['10.0.0.1', 0, 1],
        ['10.0.0.1:7000', 0, 1, 7, 'fd', 't'],
      ];
      for (const news of bad) {
        assert.ok(decodeMembershipMessage(MembershipMethod.Gossip, [[], [news]]).isErr());
      }
    });
  });

  describe('news on a message', () => {
    it('never makes a datagram larger than no path splits', () => {
      fc.assert(
        fc.property(fc.array(newsArbitrary, { maxLength: 60 }), (news) => {
          const queue = createNewsQueue();
          for (const item of news) enqueueNews(queue, item);
          const taken = takeNews(queue, MEMBERSHIP_OPTIONS.newsBytesPerMessage, 6);
          const hints = [650_000, 100_000];
          const method = MembershipMethod.Ping;
          const wire = encodeMembershipMessage({ method, sequence: 1e9, hints, news: taken });
          assert.ok(datagramBytes(wire) <= MAX_DATAGRAM_BYTES);
        }),
        { seed: 3 },
      );
    });

    it('sends each piece as often as the limit says, fresh pieces first', () => {
      const queue = createNewsQueue();
      const news = (port: number): MemberNews => ({
        id: `10.0.0.1:${String(port)}`,
        state: MemberState.Alive,
        incarnation: 1,
        details: null,
      });
      enqueueNews(queue, news(7001));
      const room = newsBytes(news(7001));
      assert.equal(takeNews(queue, room, 3)[0]?.id, '10.0.0.1:7001');
      enqueueNews(queue, news(7002));
      const order = [1, 2, 3, 4, 5].map(() => takeNews(queue, room, 3)[0]?.id.slice(-4));
      assert.deepEqual(order, ['7002', '7001', '7002', '7001', '7002']);
      assert.deepEqual(takeNews(queue, room, 3), []);
    });
  });
});
