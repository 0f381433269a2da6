/** The role planner: when it changes, when it does not, and whom. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  createRolePlanner,
  DEFAULT_ENGINE_PROFILE,
  DEFAULT_PLANNER_OPTIONS,
  EngineRole,
  EventKind,
  planRoles,
} from '../../../src/index.js';
import type {
  DemandReport,
  PlannerTarget,
  PlannerView,
  RolePlan,
  RolePlanner,
} from '../../../src/index.js';
import { reportOf } from '../../fixtures/routing-fixtures.js';

/** Demand in engines. */
interface Demand {
  readonly prefill: number;
  readonly decode: number;
}

const DRAFTING: Demand = { prefill: 1.3, decode: 4.8 };
const READING: Demand = { prefill: 3.9, decode: 2.2 };

function plannerOf(floorTargets = 1): RolePlanner {
  return createRolePlanner({
    ...DEFAULT_PLANNER_OPTIONS,
    service: 's',
    profile: DEFAULT_ENGINE_PROFILE,
    floorTargets,
  });
}

function targetsOf(readers: number, nowMs: number, total = 8): PlannerTarget[] {
  return Array.from({ length: total }, (_, index) => {
    const role = index < readers ? EngineRole.Prefill : EngineRole.Decode;
    const name = `t${String(index)}`;
    return {
      name,
      failureDomain: `d${String(index % 3)}`,
      role,
      accepting: true,
      changingTo: null,
      report: reportOf(name, { role, atMs: nowMs }),
    };
  });
}

function demandOf(demand: Demand, nowMs: number, sequence: number): DemandReport {
  return {
    entry: 'e',
    atMs: nowMs,
    sequence,
    spanMs: 1000,
    requests: 57,
    prefillMs: demand.prefill * 1000,
    savedMs: 0,
    decodeMs: demand.decode * 1000,
  };
}

function viewOf(targets: readonly PlannerTarget[], demand: DemandReport): PlannerView {
  return { targets, demand: [demand], entriesAlive: 1 };
}

/** Plans once a second; gives the plans that order something. */
function run(
  planner: RolePlanner,
  readers: number,
  seconds: number,
  demandAt: (second: number) => Demand,
): RolePlan[] {
  const ordering: RolePlan[] = [];
  for (let second = 1; second <= seconds; second += 1) {
    const nowMs = second * 1000;
    const demand = demandOf(demandAt(second), nowMs, second);
    const plan = planRoles(planner, viewOf(targetsOf(readers, nowMs), demand), nowMs);
    if (plan.orders.length > 0) ordering.push(plan);
  }
  return ordering;
}

describe('role planner', () => {
  describe('a shift that lasts', () => {
    it('gets more readers when reading grows, with its figures in the time line', () => {
      const plans = run(plannerOf(), 2, 60, (second) => (second < 30 ? DRAFTING : READING));
      const [first] = plans;
      assert.equal(first?.orders[0]?.role, EngineRole.Prefill);
      assert.equal(first.events[0]?.kind, EventKind.RoleDecision);
      assert.ok(Number(first.events[0].figures?.['gainRequests']) > 0);
    });

    it('gets more writers when reading ends', () => {
      const plans = run(plannerOf(), 5, 60, (second) => (second < 30 ? READING : DRAFTING));
      assert.equal(plans[0]?.orders[0]?.role, EngineRole.Decode);
    });
  });

  describe('what does not pay back', () => {
    it('leaves the roles alone under a steady mix, and says so once', () => {
      const planner = plannerOf();
      assert.deepEqual(
        run(planner, 2, 120, () => DRAFTING),
        [],
      );
      assert.equal(planner.lastReason, 'no change would pay back');
    });

    it('does not chase swings of a few seconds around a mix that the roles fit', () => {
      const swing = (second: number): Demand =>
        second % 8 < 4 ? { prefill: 1, decode: 4.2 } : { prefill: 2.6, decode: 3.4 };
      assert.deepEqual(run(plannerOf(), 3, 240, swing), []);
    });
  });

  describe('reports that cannot be trusted', () => {
    // An operator sees a role change in the middle of a partition, for a mix that is long over.
    // The planner is cut off, its reports age or stand still, and it must hold instead.
    it('holds when demand reports are old', () => {
      const planner = plannerOf();
      run(planner, 2, 30, () => READING);
      const old = viewOf(targetsOf(2, 60_000), demandOf(READING, 30_000, 31));
      assert.deepEqual(planRoles(planner, old, 60_000).orders, []);
      assert.equal(planner.lastReason, 'demand reports are too old');
    });

    it('holds when load reports are old', () => {
      const planner = plannerOf();
      const stale = viewOf(targetsOf(2, 0), demandOf(READING, 60_000, 1));
      planRoles(planner, stale, 60_000);
      assert.equal(planner.lastReason, 'load reports are too old');
    });

    it('learns nothing from a report that stands still', () => {
      const planner = plannerOf();
      for (let second = 1; second <= 60; second += 1) {
        const nowMs = second * 1000;
        planRoles(planner, viewOf(targetsOf(2, nowMs), demandOf(READING, nowMs, 1)), nowMs);
      }
      assert.equal(planner.samples.length, 1);
    });
  });

  describe('the target that changes', () => {
    it('keeps the floor', () => {
      assert.deepEqual(
        run(plannerOf(8), 2, 60, () => READING),
        [],
      );
    });

    it('is in a failure domain with the fewest of the role', () => {
      const [plan] = run(plannerOf(), 2, 60, () => READING);
      // Readers stand in d0 and d1; t2, t5 are the writers in d2.
      assert.ok(['t2', 't5'].includes(plan?.orders[0]?.target ?? ''));
    });

    it('waits while as many change as may', () => {
      const planner = plannerOf();
      run(planner, 2, 30, () => READING);
      const changing = targetsOf(2, 31_000).map((target, index) =>
        index < 6 ? target : { ...target, accepting: false, changingTo: EngineRole.Prefill },
      );
      const view = viewOf(changing, demandOf({ prefill: 5.5, decode: 1 }, 31_000, 31));
      assert.deepEqual(planRoles(planner, view, 31_000).orders, []);
    });
  });

  it('keeps a bounded history', () => {
    const planner = plannerOf();
    run(planner, 2, 500, () => DRAFTING);
    assert.equal(planner.samples.length, 120);
  });
});
