/** Tests how gateways share one retry budget. */
import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import {
  FleetChangeKind,
  ShareState,
  applyChanges,
  createFleetView,
} from '@cassiamast/coordination';
import { createGatewayCount } from '../../src/gateway/gateway-count.js';
import { type RetryBudgets, createRetryBudgets } from '../../src/gateway/retry-budgets.js';

const OPTIONS = { windowMs: 10_000, ratio: 0.2, slack: 58 };
const LEASE_TTL_MS = 3_000;
const RENEWAL_MS = 1_000;
const GATEWAYS = 10;
const SERVICE = 'ramp-portal';
const OUTAGE_MS = 4_000;
const STEP_MS = 100;
const SILENT_LOG = { info: () => undefined, warn: () => undefined, lifecycle: () => undefined };

/** Gateways that read the same view, with one clock. */
function createGateways(): {
  readonly view: ReturnType<typeof createFleetView>;
  readonly clock: { nowMs: number };
  /** Lets the time pass while announcements are confirmed and the fleet is read. */
  readonly pass: (forMs: number) => void;
  /** Takes all retries that the budgets of all gateways allow now, and returns their number. */
  readonly takeAll: () => number;
} {
  const clock = { nowMs: 0 };
  const view = createFleetView();
  const ids = Array.from({ length: GATEWAYS }, (_, index) => `10.0.0.${String(index)}:7760`);
  const announced = ids.map((id, index) => ({
    kind: FleetChangeKind.Gateway as const,
    revision: index + 1,
    gateway: { id, failureDomain: 'eros-hall', coreShare: 0.5 },
  }));
  applyChanges(view, announced, GATEWAYS, 0);
  const counts = ids.map((selfId) =>
    createGatewayCount({
      selfId,
      view,
      share: { windowMs: OPTIONS.windowMs, leaseTtlMs: LEASE_TTL_MS },
      clocks: () => ({ monotonicMs: clock.nowMs, elapsedMs: clock.nowMs }),
      log: SILENT_LOG,
    }),
  );
  for (const count of counts) count.beginAnnouncement()();
  const budgets = counts.map((gateways) =>
    createRetryBudgets({
      limits: OPTIONS,
      gateways,
      clocks: () => ({ monotonicMs: clock.nowMs, elapsedMs: clock.nowMs }),
      unreadSinceMs: () => clock.nowMs,
      log: SILENT_LOG,
      count: () => undefined,
    }),
  );
  return {
    view,
    clock,
    pass: (forMs) => {
      for (let passedMs = 0; passedMs < forMs; passedMs += RENEWAL_MS) {
        clock.nowMs += RENEWAL_MS;
        for (const count of counts) {
          count.beginRenewal()();
          count.beginRead()();
          count.refresh();
        }
      }
    },
    takeAll: () => {
      let taken = 0;
      for (const budget of budgets) {
        while (budget.reserve(SERVICE, 'request', 1) !== null) taken += 1;
      }
      return taken;
    },
  };
}

describe('retry budgets', () => {
  // A process that is killed and replaced must not use the same share of the slack again.
  it('count no slack until a window after the others know the gateway', () => {
    const { pass, takeAll } = createGateways();
    pass(OPTIONS.windowMs * 1.5);
    assert.equal(takeAll(), 0);
    pass(OPTIONS.windowMs);
    assert.ok(takeAll() > 0);
  });

  // When all announcements have expired after an outage of the store, a gateway that counted only
  // itself would use the whole budget.
  it('stay divided among gateways whose announcements have expired', () => {
    const { view, clock, pass, takeAll } = createGateways();
    pass(OPTIONS.windowMs * 2);
    clock.nowMs += OUTAGE_MS;
    view.gateways.clear();
    const taken = takeAll();
    assert.ok(taken > 0 && taken <= OPTIONS.slack, String(taken));
  });

  // Gateways that a gateway can't see may have started meanwhile, and use a share as well.
  it('count no slack once the store has not been heard of for half a window', () => {
    const { clock, pass, takeAll } = createGateways();
    pass(OPTIONS.windowMs * 2);
    clock.nowMs += OPTIONS.windowMs / 2 + 1;
    assert.equal(takeAll(), 0);
  });
});

describe('the requests that pay for retries', () => {
  const clock = { monotonicMs: 0, elapsedMs: 0 };
  let unreadSinceMs: number | null = null;
  let budgets: RetryBudgets;

  beforeEach(() => {
    clock.monotonicMs = 0;
    clock.elapsedMs = 0;
    unreadSinceMs = null;
    budgets = createRetryBudgets({
      limits: OPTIONS,
      gateways: { share: () => ({ state: ShareState.Recent, fraction: 0, gateways: 1 }) },
      clocks: () => ({ ...clock }),
      unreadSinceMs: () => unreadSinceMs ?? clock.monotonicMs,
      log: SILENT_LOG,
      count: () => undefined,
    });
  });

  function receive(requests: number): void {
    for (let request = 0; request < requests; request += 1) {
      clock.monotonicMs += STEP_MS;
      clock.elapsedMs += STEP_MS;
      budgets.noteRequest(SERVICE);
    }
  }

  const hasRoom = (): boolean => budgets.reserve(SERVICE, 'request', 1) !== null;

  it('are those of the last windows', () => {
    receive(100);
    assert.ok(hasRoom());
  });

  // Callers sent them during the stall, which may lie in an earlier window.
  it('are not those that are read after a stall', () => {
    unreadSinceMs = -1_000;
    receive(100);
    assert.ok(!hasRoom());
  });

  // The suspended VM's monotonic clock does not tell how long ago they were sent.
  it('are not those from before the VM was suspended', () => {
    receive(100);
    const reserved = budgets.reserve(SERVICE, 'request', 1);
    clock.elapsedMs += 5_000;
    assert.equal(reserved?.open(), null);
    assert.ok(!hasRoom());
  });
});
