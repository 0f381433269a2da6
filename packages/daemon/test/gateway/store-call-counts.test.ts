/** Tests the counters of a gateway's calls to the platform's store. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { Failure } from '@cassiamast/coordination';
import { type FleetPort, KEY_VALUE_UNREACHABLE } from '@cassiamast/ports';
import { errAsync, okAsync } from 'neverthrow';
import { countStoreCalls } from '../../src/gateway/store-call-counts.js';

const UNREACHABLE: Failure = KEY_VALUE_UNREACHABLE.of({
  call: 'list',
  endpoint: 'store',
  mayHaveRun: false,
  detail: 'cut off',
});

/** A store that answers listings and grants leases but fails calls for changes. */
const STORE = {
  list: () => okAsync({ changes: [], faults: [], revision: 1 }),
  changesAfter: () => errAsync(UNREACHABLE),
  grantLease: () => okAsync({ leaseId: '7', ttlMs: 3000 }),
} as unknown as FleetPort;

describe('the counters of store calls', () => {
  it('count the calls of each kind and the failures', async () => {
    const counts: Record<string, number> = {};
    const fleet = countStoreCalls(STORE, (name) => {
      counts[name] = (counts[name] ?? 0) + 1;
    });
    await fleet.list();
    await fleet.changesAfter(1, 1500);
    await fleet.changesAfter(1, 1500);
    await fleet.grantLease(3000);
    assert.deepEqual(counts, {
      store_list_calls_total: 1,
      store_changes_calls_total: 2,
      store_failures_total: 2,
      store_grant_lease_calls_total: 1,
    });
  });

  it('pass answers and failures through unchanged', async () => {
    const fleet = countStoreCalls(STORE, () => undefined);
    const failed = await fleet.changesAfter(1, 1500);
    assert.equal(failed._unsafeUnwrapErr(), UNREACHABLE);
  });
});
