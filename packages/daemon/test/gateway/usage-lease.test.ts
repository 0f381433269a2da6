/** Who takes the lease of the usage duty after it was lost. */
import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';
import { USAGE_GUARDS } from '@cassiamast/coordination';
import type { GatewayLog } from '../../src/gateway/gateway-log.js';
import { createUsageLease } from '../../src/gateway/usage-lease.js';
import { createMemoryStore } from './usage-store.js';
import { startVirtualClock } from './virtual-clock.js';

const STEP_MS = 100;

describe('the lease of the usage duty', () => {
  const clock = startVirtualClock();

  afterEach(() => {
    clock.stop();
  });

  // After an outage of the store no gateway was a candidate until one was announced again.
  it('is taken again by a gateway that had it, announced or not', async () => {
    const store = createMemoryStore(clock.nowMs);
    let isCandidate = true;
    const lease = createUsageLease({
      selfId: 'a',
      store: store.portOf(() => false),
      isCandidate: () => isCandidate,
      lastReadAtMs: () => -Infinity,
      random: () => 0.5,
      elapsedMs: clock.nowMs,
      nowMs: clock.nowMs,
      log: { info: () => undefined, warn: () => undefined } as unknown as GatewayLog,
      count: () => undefined,
      guards: USAGE_GUARDS,
      onGained: () => undefined,
      onLost: () => undefined,
    });
    const runUntil = async (atMs: number): Promise<void> => {
      while (clock.nowMs() < atMs) {
        lease.tick();
        await clock.advanceTo(clock.nowMs() + STEP_MS, STEP_MS);
      }
    };
    await runUntil(2000);
    assert.equal(lease.holds(), true);
    isCandidate = false;
    store.isAway = true;
    await runUntil(10_000);
    assert.equal(lease.holds(), false);
    store.isAway = false;
    await runUntil(11_000);
    assert.equal(lease.holds(), true);
  });
});
