/** Tests a gateway that is stopped while it announces itself, and one whose entry is lost. */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { type Failure, seededRandom } from '@cassiamast/coordination';
import { type FleetPort, KEY_VALUE_UNREACHABLE } from '@cassiamast/ports';
import { type Result, ResultAsync, err, ok } from 'neverthrow';
import { type Presence, type PresenceOptions, createPresence } from '../../src/gateway/presence.js';
import { withResolvers } from '../../src/node/promises.js';
import { waitFor } from '../fixtures/wait-for.js';

const LEASE = { leaseId: '7', ttlMs: 3000, era: 0 };
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

function presenceWith(
  fleet: FleetPort,
  isMissing = () => false,
  ttlMs = LEASE.ttlMs,
  era = () => 0,
): Presence {
  const options: PresenceOptions = {
    fleet,
    self: { id: '10.0.0.1:7380', failureDomain: 'eros-hall', coreShare: 0.5 },
    ttlMs,
    random: seededRandom(1),
    nowMs: () => performance.now(),
    log: { info: () => undefined, warn: () => undefined, lifecycle: () => undefined },
    beginAnnouncement: () => () => undefined,
    beginRenewal: () => () => undefined,
    isMissing,
    era,
  };
  return createPresence(options);
}

describe('the presence of a gateway that is stopped', () => {
  let store: ControlledStore;
  let presence: Presence;

  beforeEach(async () => {
    store = new ControlledStore();
    presence = presenceWith(store.port);
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

/** A store whose answer to the first announcement is lost, and that carries it out when told. */
class LateStore {
  readonly granted: string[] = [];
  readonly renewed: string[] = [];
  readonly revoked: string[] = [];
  /** Rises when the store comes back from an older copy. */
  era = 0;
  announcements = 0;
  /** The lease that the entry depends on; null without an entry. */
  entryLeaseId: string | null = null;
  carryOutFirst: () => void = () => undefined;

  readonly port = {
    grantLease: () => {
      const leaseId = String(this.granted.push('lease'));
      const lease = { ...LEASE, leaseId, era: this.era };
      return new ResultAsync(Promise.resolve(ok<typeof LEASE, Failure>(lease)));
    },
    keepLeaseAlive: (leaseId: string) => {
      this.renewed.push(leaseId);
      const lease = { ...LEASE, leaseId, era: this.era };
      return new ResultAsync(Promise.resolve(ok<typeof LEASE, Failure>(lease)));
    },
    revokeLease: (leaseId: string) => {
      this.revoked.push(leaseId);
      return new ResultAsync(Promise.resolve(ok<null, Failure>(null)));
    },
    announce: (_: unknown, leaseId: string) => {
      this.announcements += 1;
      const carryOut = () => {
        this.entryLeaseId = leaseId;
      };
      if (this.announcements > 1) {
        carryOut();
        return new ResultAsync(Promise.resolve(ok<null, Failure>(null)));
      }
      this.carryOutFirst = carryOut;
      return new ResultAsync(Promise.resolve(err<null, Failure>(LOST)));
    },
  } as unknown as FleetPort;
}

describe('the entry of a gateway', () => {
  const TTL_MS = 300;
  let store: LateStore;
  let presence: Presence;

  beforeEach(() => {
    store = new LateStore();
  });

  afterEach(() => presence.withdraw());

  // Under the earlier lease, which was not renewed any more, it went with that lease's end.
  it('stays when the store carries out an earlier announcement late', async () => {
    presence = presenceWith(store.port, () => false, TTL_MS);
    await presence.child.start(() => undefined);
    await waitFor(() => presence.isConfirmed());
    store.carryOutFirst();
    store.renewed.length = 0;
    await waitFor(() => store.renewed.length > 1);
    assert.ok(store.renewed.every((leaseId) => leaseId === store.entryLeaseId));
  });

  // The lease was renewed although the entry was gone, and the others did not count the gateway.
  it('is written again when it is missing', async () => {
    presence = presenceWith(store.port, () => store.entryLeaseId === null, TTL_MS);
    await presence.child.start(() => undefined);
    await waitFor(() => store.entryLeaseId !== null);
    store.entryLeaseId = null;
    await waitFor(() => store.entryLeaseId !== null);
    await waitFor(() => presence.isConfirmed());
  });

  // The store had granted the id to another gateway, whose entry stayed after that one was killed.
  it('is written under another lease when the store came back from an older copy', async () => {
    presence = presenceWith(store.port, () => false, TTL_MS);
    await presence.child.start(() => undefined);
    await waitFor(() => presence.isConfirmed());
    const before = store.entryLeaseId;
    store.era = 1;
    await waitFor(() => store.entryLeaseId !== before);
    store.renewed.length = 0;
    await waitFor(() => store.renewed.length > 1);
    assert.ok(store.renewed.every((leaseId) => leaseId === store.entryLeaseId));
  });

  // The entries of the other process that had been granted the id went with it.
  it('is not withdrawn under a lease from before the store came back', async () => {
    presence = presenceWith(
      store.port,
      () => false,
      TTL_MS,
      () => store.era,
    );
    await presence.child.start(() => undefined);
    await waitFor(() => presence.isConfirmed());
    store.era = 1;
    await presence.withdraw();
    assert.deepEqual(store.revoked, []);
  });
});

describe('a gateway whose connections to the store go silent', () => {
  const TTL_MS = 300;

  // Its announcement lapsed, and for a while the others shared its limits and its schedules.
  it('renews its lease on a new connection in time', async () => {
    const store = new LateStore();
    const { keepLeaseAlive } = store.port;
    const silent = new ResultAsync(new Promise<Result<typeof LEASE, Failure>>(() => undefined));
    let isSilent = false;
    const renewedAtMs: number[] = [];
    store.entryLeaseId = '1';
    const port: FleetPort = {
      ...store.port,
      keepLeaseAlive: (leaseId) => {
        if (isSilent) return silent;
        renewedAtMs.push(performance.now());
        return keepLeaseAlive(leaseId);
      },
      renewConnections: () => {
        isSilent = false;
      },
    };
    const presence = presenceWith(port, () => false, TTL_MS);
    await presence.child.start(() => undefined);
    for (let silences = 1; silences <= 3; silences += 1) {
      const { length: renewals } = renewedAtMs;
      await waitFor(() => renewedAtMs.length > renewals);
      isSilent = true;
      await waitFor(() => renewedAtMs.length > renewals + 1);
    }
    await presence.withdraw();
    const gapsMs = renewedAtMs.slice(1).map((atMs, index) => atMs - (renewedAtMs[index] ?? 0));
    assert.ok(Math.max(...gapsMs) < TTL_MS, gapsMs.join(', '));
  });

  // The lease was gone when the renewal was given up, and the error ended the process.
  it('can be stopped while it renews its lease', async () => {
    const store = new LateStore();
    const { keepLeaseAlive } = store.port;
    const silent = new ResultAsync(new Promise<Result<typeof LEASE, Failure>>(() => undefined));
    let isSilent = false;
    let lostRenewals = 0;
    const port: FleetPort = {
      ...store.port,
      keepLeaseAlive: (leaseId) => {
        if (!isSilent) return keepLeaseAlive(leaseId);
        lostRenewals += 1;
        return silent;
      },
      renewConnections: () => undefined,
    };
    const unhandled: unknown[] = [];
    const record = (error: unknown): void => void unhandled.push(error);
    process.on('unhandledRejection', record);
    const presence = presenceWith(port, () => false, TTL_MS);
    await presence.child.start(() => undefined);
    await waitFor(() => presence.isConfirmed());
    isSilent = true;
    await waitFor(() => lostRenewals > 0);
    await presence.withdraw();
    await new Promise((resolve) => setTimeout(resolve, TTL_MS));
    process.off('unhandledRejection', record);
    assert.deepEqual(unhandled, []);
  });
});
