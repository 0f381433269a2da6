/** Tests the key-value stand-in through the product's own client. */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import type { KeyValueChange, KeyValueClient } from '@cassiamast/ports';
import {
  createKeyValueClient,
  KEY_VALUE_ANSWER_LOST,
  KEY_VALUE_LEASE_GONE,
  KEY_VALUE_UNREACHABLE,
  KEY_VALUE_WATCH_ENDED,
} from '@cassiamast/ports';
import type { KeyValueStandIn } from '../../../src/core/key-value/key-value.js';
import { startKeyValue } from '../../../src/core/key-value/key-value.js';
import { until } from '../../fixtures/engines.js';

const ABSENT = 0;

describe('key-value service', () => {
  let service: KeyValueStandIn;
  let client: KeyValueClient;
  let nowMs = 0;
  beforeEach(async () => {
    nowMs = 0;
    service = await startKeyValue({ nowMs: () => nowMs });
    client = createKeyValueClient({ endpoints: [service.address] });
  });
  afterEach(async () => {
    await client.close();
    await service.stop();
  });

  const put = (key: string, value: string, modRevision = ABSENT, leaseId?: string) =>
    client.transact([{ key, modRevision }], [{ key, value, leaseId }]);

  describe('compare-and-swap', () => {
    it('creates once, and returns the stored entry to the loser', async () => {
      const first = (await put('claims/a', 'entry-1'))._unsafeUnwrap();
      const second = (await put('claims/a', 'entry-2'))._unsafeUnwrap();
      assert.equal(first.succeeded, true);
      assert.equal(second.succeeded, false);
      assert.equal(second.current[0]?.value, 'entry-1');
    });

    it('keeps the create revision over changes, and gives a new one after a removal', async () => {
      const created = (await put('lease', 'a'))._unsafeUnwrap().revision;
      const changed = (await put('lease', 'b', created))._unsafeUnwrap().revision;
      const entry = (await client.get('lease'))._unsafeUnwrap();
      assert.deepEqual([entry?.createRevision, entry?.modRevision], [created, changed]);
      await client.transact([], [{ key: 'lease', value: null }]);
      const again = (await put('lease', 'c'))._unsafeUnwrap().revision;
      assert.equal((await client.get('lease'))._unsafeUnwrap()?.createRevision, again);
    });

    it('stores any text unchanged', async () => {
      const value = 'Хан-Уул тэжээл\n"66/11 kV" \u{1F50C}';
      await put('тэжээл/1', value);
      assert.equal((await client.get('тэжээл/1'))._unsafeUnwrap()?.value, value);
    });
  });

  describe('list', () => {
    it('returns the keys of a prefix in order, up to a limit', async () => {
      for (const key of ['p/2', 'p/1', 'p/3', 'q/1']) await put(key, key);
      const keys = (await client.list('p/', 2))._unsafeUnwrap().map((entry) => entry.key);
      assert.deepEqual(keys, ['p/1', 'p/2']);
    });
  });

  describe('a lease', () => {
    it('removes its keys when it expires, and cannot be kept alive after that', async () => {
      // A planner is paused for longer than its lease. When it resumes, its key is removed and may have
      // another holder, so extending the lease fails with a named failure.
      const lease = (await client.grantLease(1_500))._unsafeUnwrap();
      assert.equal(lease.ttlMs, 2_000);
      await put('planner', 'me', ABSENT, lease.leaseId);
      nowMs = 1_900;
      assert.ok((await client.keepLeaseAlive(lease.leaseId)).isOk());
      nowMs = 3_900;
      service.expireLeases();
      assert.equal((await client.get('planner'))._unsafeUnwrap(), null);
      const late = await client.keepLeaseAlive(lease.leaseId);
      assert.ok(late.isErr() && KEY_VALUE_LEASE_GONE.is(late.error));
    });

    it('ends at once when it is revoked', async () => {
      const lease = (await client.grantLease(10_000))._unsafeUnwrap();
      await put('planner', 'me', ABSENT, lease.leaseId);
      assert.ok((await client.revokeLease(lease.leaseId)).isOk());
      assert.equal((await client.get('planner'))._unsafeUnwrap(), null);
      const twice = await client.revokeLease(lease.leaseId);
      assert.ok(twice.isErr() && KEY_VALUE_LEASE_GONE.is(twice.error));
    });
  });

  describe('a watch', () => {
    const collect = (fromRevision: number) => {
      const seen: (string | null)[] = [];
      const ends: unknown[] = [];
      const take = (change: KeyValueChange): void => {
        seen.push(change.entry?.value ?? null);
      };
      const stop = client.watch('w', fromRevision, take, (failure) => ends.push(failure));
      return { seen, ends, stop };
    };

    it('reports changes since a past revision, and removals', async () => {
      const first = (await put('w', 'one'))._unsafeUnwrap().revision;
      const watch = collect(first);
      await until(() => watch.seen.length === 1);
      await put('w', 'two', first);
      await client.transact([], [{ key: 'w', value: null }]);
      await until(() => watch.seen.length === 3);
      watch.stop();
      assert.deepEqual(watch.seen, ['one', 'two', null]);
    });

    it('drops and repeats changes and sends old ones when these faults are set', async () => {
      const watch = collect(0);
      await until(() => service.waitingWatches() === 1);
      service.setFaults({ dropWatchEvents: 1 });
      const lost = (await put('w', 'lost'))._unsafeUnwrap().revision;
      service.setFaults({ repeatWatchEvents: 1, staleWatchEvents: 1 });
      await put('w', 'told', lost);
      await until(() => watch.seen.length === 3);
      watch.stop();
      assert.deepEqual(watch.seen, ['told', 'told', 'lost']);
    });

    it('ends with a named failure when the service stops', async () => {
      const watch = collect(0);
      await until(() => service.waitingWatches() === 1);
      service.setFaults({ down: true });
      await until(() => watch.ends.length === 1);
      assert.ok(
        KEY_VALUE_WATCH_ENDED.is(watch.ends[0] as Parameters<typeof KEY_VALUE_WATCH_ENDED.is>[0]),
      );
    });
  });

  describe('faults', () => {
    it('an outage fails calls that may or may not have run, and ends', async () => {
      service.setFaults({ down: true });
      const failed = await put('k', 'v');
      assert.ok(failed.isErr() && KEY_VALUE_ANSWER_LOST.is(failed.error));
      assert.equal(failed.error.data.mayHaveRun, true);
      service.setFaults({ down: false });
      assert.equal((await client.get('k'))._unsafeUnwrap(), null);
    });

    it('a stopped service is unreachable: the call did not run', async () => {
      await service.stop();
      const failed = await put('k', 'v');
      assert.ok(failed.isErr() && KEY_VALUE_UNREACHABLE.is(failed.error));
      assert.equal(failed.error.data.mayHaveRun, false);
    });

    it('a lost answer leaves the write applied', async () => {
      // An operator applies an edit; the service stores it, but its answer is lost. A caller that
      // writes again after the failure would create a second version; a read shows the first.
      service.setFaults({ loseAnswers: 1 });
      const failed = await put('k', 'v');
      assert.ok(failed.isErr() && KEY_VALUE_ANSWER_LOST.is(failed.error));
      assert.equal((await client.get('k'))._unsafeUnwrap()?.value, 'v');
      assert.equal((await put('k', 'v'))._unsafeUnwrap().succeeded, false);
    });
  });

  describe('counts', () => {
    it('includes each call by kind, and each open watch once', async () => {
      await put('k', 'v');
      await client.get('k');
      await client.get('k');
      const stop = client.watch(
        'k',
        0,
        () => undefined,
        () => undefined,
      );
      await until(() => service.waitingWatches() === 1);
      stop();
      assert.deepEqual(service.counts(), {
        range: 2,
        transaction: 1,
        'lease-grant': 0,
        'lease-keep-alive': 0,
        'lease-revoke': 0,
        watch: 1,
      });
    });
  });
});
