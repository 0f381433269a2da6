/** The announcement of a gateway that is told to stop while it announces itself. */
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

/** A store that answers when the test lets it. */
class HeldStore {
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

describe('the presence of a gateway that is told to stop', () => {
  let store: HeldStore;
  let presence: Presence;

  beforeEach(async () => {
    store = new HeldStore();
    presence = createPresence({
      fleet: store.port,
      self: { id: '10.0.0.1:7380', failureDomain: 'eros-hall', coreShare: 0.5 },
      ttlMs: LEASE.ttlMs,
      random: seededRandom(1),
      nowMs: () => 0,
      log: { info: () => undefined, warn: () => undefined, lifecycle: () => undefined },
    });
    await presence.child.start(() => undefined);
  });

  // Guards against a gateway that the others take for a scheduler after it has stopped.
  it('does not announce with a lease that comes afterwards, and gives it back', async () => {
    store.announced.resolve(ok(null));
    await presence.withdraw();
    store.granted.resolve(ok(LEASE));
    await presence.tried;
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
      await presence.tried;
      assert.deepEqual(store.calls, ['grant', 'announce', 'revoke 7']);
      assert.equal(presence.isConfirmed(), false);
    });
  }
});
