/** Tests that the weight store rejects fetches beyond its limit on concurrent fetches. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createWeightStoreClient, WEIGHT_STORE_UNAVAILABLE } from '@cassiamast/ports';
import { startWeightStore } from '../../../src/core/weight-store/weight-store.js';
import { until } from '../../fixtures/engines.js';

describe('weight store', () => {
  it('rejects fetches beyond the concurrency limit, and shows it in its status', async () => {
    const store = await startWeightStore({ maxFetches: 1, rateMbPerS: 1, retryAfterMs: 60_000 });
    const client = createWeightStoreClient({ address: store.address });
    const fetchMb = (sizeMb: number) =>
      fetch(`${store.address}/fetches`, {
        method: 'POST',
        body: JSON.stringify({ size_mb: sizeMb }),
      });
    const first = fetchMb(1_000).catch(() => null);
    await until(() => store.activeFetches() === 1);
    assert.equal((await fetchMb(1)).status, 429);
    const status = (await client.status())._unsafeUnwrap();
    assert.equal(status.activeFetches, 1);
    assert.ok(status.retryAfterMs > 0);
    await store.stop();
    await first;
    const failed = await client.status();
    assert.ok(failed.isErr() && WEIGHT_STORE_UNAVAILABLE.is(failed.error));
    await client.close();
  });
});
