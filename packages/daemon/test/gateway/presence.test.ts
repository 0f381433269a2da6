/** Tests a gateway that is stopped while its announcement is in progress. */
import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { type Failure, seededRandom } from '@cassiamast/coordination';
import { type FleetPort, KEY_VALUE_UNREACHABLE } from '@cassiamast/ports';
import { type Result, ResultAsync, err, ok } from 'neverthrow';
import { type Presence, createPresence } from '../../src/gateway/presence.js';
import { withResolvers } from '../../src/node/http-body.js';
import { waitFor } from '../fixtures/wait-for.js';

const LEASE = { leaseId: '7', ttlMs: 3000 };
const LOST: Failure = KEY_VALUE_UNREACHABLE.of({
  call: 'announce',
  endpoint: 'store',
  mayHaveRun: true,
  detail: 'no answer',
});

/** A store whose answers are released by the test. */
class ControlledStore {
  readonly calls: string[] = [];
  readonly granted = withResolvers<Result<typeof LEASE, Failure>>();
  readonly announced = withResolvers<Result<null, Failure>>();

  readonly port = {
    grantLease: () => this.answer('grant', this.granted.promise),
    announce: () => this.answer('announce', this.announced.promise),
    revokeLease: (leaseId: string) =>
      this.answer(`revoke ${leaseId}`, Promise.resolve(ok<null, Failure>(null))),
  } as unknown as FleetPort;

  private answer<Value>(call: string, result: Promise<Result<Value, Failure>>) {
    this.calls.push(call);
    return new ResultAsync(result);
  }
}

describe('the presence of a gateway that is stopped', () => {
  let store: ControlledStore;
  let presence: Presence;

  beforeEach(async () => {
    store = new ControlledStore();
    presence = createPresence({
      fleet: store.port,
      self: { id: '10.0.0.1:7380', failureDomain: 'eros-hall', coreShare: 0.5 },
      ttlMs: LEASE.ttlMs,
      random: seededRandom(1),
      nowMs: () => 0,
      log: { info: () => undefined, warn: () => undefined, lifecycle: () => undefined },
      beginAnnouncement: () => () => undefined,
      beginRenewal: () => () => undefined,
    });
    await presence.child.start(() => undefined);
  });

  // An announcement made after the stop would let other gateways choose a stopped gateway as
  // scheduler.
  it('revokes a lease that is granted after the stop and does not announce with it', async () => {
    store.announced.resolve(ok(null));
    await presence.withdraw();
    store.granted.resolve(ok(LEASE));
    await presence.firstAttempt;
    assert.deepEqual(store.calls, ['grant', 'revoke 7']);
    assert.equal(presence.isConfirmed(), false);
  });

  for (const [outcome, answer] of [
    ['stands', ok<null, Failure>(null)],
    ['may stand', err<null, Failure>(LOST)],
  ] as const) {
    it(`takes back an announcement under way that ${outcome}`, async () => {
      store.granted.resolve(ok(LEASE));
      await waitFor(() => store.calls.includes('announce'));
      await presence.withdraw();
      store.announced.resolve(answer);
      await presence.firstAttempt;
      assert.deepEqual(store.calls, ['grant', 'announce', 'revoke 7']);
      assert.equal(presence.isConfirmed(), false);
    });
  }
});
