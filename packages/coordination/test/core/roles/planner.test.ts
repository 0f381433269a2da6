/** The role planner: when roles change, when they are kept, and which target changes. */
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

const DECODING: Demand = { prefill: 1.3, decode: 4.8 };
const PREFILLING: Demand = { prefill: 3.9, decode: 2.2 };

function plannerOf(floorTargets = 1): RolePlanner {
  return createRolePlanner({
    ...DEFAULT_PLANNER_OPTIONS,
    service: 's',
    profile: DEFAULT_ENGINE_PROFILE,
    floorTargets,
  });
}

function targetsOf(prefillTargets: number, nowMs: number, total = 8): PlannerTarget[] {
  return Array.from({ length: total }, (_, index) => {
    const role = index < prefillTargets ? EngineRole.Prefill : EngineRole.Decode;
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

/** Plans once a second and returns the plans that contain orders. */
function run(
  planner: RolePlanner,
  prefillTargets: number,
  seconds: number,
  demandAt: (second: number) => Demand,
): RolePlan[] {
  const plansWithOrders: RolePlan[] = [];
  for (let second = 1; second <= seconds; second += 1) {
    const nowMs = second * 1000;
    const demand = demandOf(demandAt(second), nowMs, second);
    const plan = planRoles(planner, viewOf(targetsOf(prefillTargets, nowMs), demand), nowMs);
    if (plan.orders.length > 0) plansWithOrders.push(plan);
  }
  return plansWithOrders;
}

describe('role planner', () => {
  describe('a lasting shift of the mix', () => {
    it('adds prefill targets when prefill demand grows, with figures in the time line', () => {
      const plans = run(plannerOf(), 2, 60, (second) => (second < 30 ? DECODING : PREFILLING));
      const [first] = plans;
      assert.equal(first?.orders[0]?.role, EngineRole.Prefill);
      assert.equal(first.events[0]?.kind, EventKind.RoleDecision);
      assert.ok(Number(first.events[0].figures?.['gainRequests']) > 0);
    });

    it('adds decode targets when prefill demand drops', () => {
      const plans = run(plannerOf(), 5, 60, (second) => (second < 30 ? PREFILLING : DECODING));
      assert.equal(plans[0]?.orders[0]?.role, EngineRole.Decode);
    });
  });

  describe('a change that costs more than it gains', () => {
    it('is not made under a steady mix, and the reason is recorded', () => {
      const planner = plannerOf();
      assert.deepEqual(
        run(planner, 2, 120, () => DECODING),
        [],
      );
      assert.equal(planner.lastReason, 'no change would pay back');
    });

    it('is not made for swings of a few seconds around a mix that fits the roles', () => {
      const swing = (second: number): Demand =>
        second % 8 < 4 ? { prefill: 1, decode: 4.2 } : { prefill: 2.6, decode: 3.4 };
      assert.deepEqual(run(plannerOf(), 3, 240, swing), []);
    });
  });

  describe('outdated reports', () => {
    // During a partition, the planner receives no new reports, or the same ones repeatedly. It must
    // not change roles for a mix that ended long ago.
    it('keep the roles when demand reports are old', () => {
      const planner = plannerOf();
      run(planner, 2, 30, () => PREFILLING);
      const old = viewOf(targetsOf(2, 60_000), demandOf(PREFILLING, 30_000, 31));
      assert.deepEqual(planRoles(planner, old, 60_000).orders, []);
      assert.equal(planner.lastReason, 'demand reports are too old');
    });

    it('keep the roles when load reports are old', () => {
      const planner = plannerOf();
      const stale = viewOf(targetsOf(2, 0), demandOf(PREFILLING, 60_000, 1));
      planRoles(planner, stale, 60_000);
      assert.equal(planner.lastReason, 'load reports are too old');
    });

    it('are counted once when the same report is repeated', () => {
      const planner = plannerOf();
      for (let second = 1; second <= 60; second += 1) {
        const nowMs = second * 1000;
        planRoles(planner, viewOf(targetsOf(2, nowMs), demandOf(PREFILLING, nowMs, 1)), nowMs);
      }
      assert.equal(planner.samples.length, 1);
    });
  });

  describe('the target of a change', () => {
    it('is not chosen when too few targets would keep serving', () => {
      assert.deepEqual(
        run(plannerOf(8), 2, 60, () => PREFILLING),
        [],
      );
    });

    it('is in the failure domain with the fewest targets of the role', () => {
      const [plan] = run(plannerOf(), 2, 60, () => PREFILLING);
      // The prefill targets are in d0 and d1; t2 and t5 are the decode targets in d2.
      assert.ok(['t2', 't5'].includes(plan?.orders[0]?.target ?? ''));
    });

    it('is not chosen while the maximum number of targets is changing', () => {
      const planner = plannerOf();
      run(planner, 2, 30, () => PREFILLING);
      const changing = targetsOf(2, 31_000).map((target, index) =>
        index < 6 ? target : { ...target, accepting: false, changingTo: EngineRole.Prefill },
      );
      const view = viewOf(changing, demandOf({ prefill: 5.5, decode: 1 }, 31_000, 31));
      assert.deepEqual(planRoles(planner, view, 31_000).orders, []);
    });
  });

  it('keeps a limited number of samples', () => {
    const planner = plannerOf();
    run(planner, 2, 500, () => DECODING);
    assert.equal(planner.samples.length, 120);
  });
});
