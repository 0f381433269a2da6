/**
 * Tests how gateways share the rate limits that targets announce and lend each other their shares.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  RequestedWork,
  FleetChangeKind,
  type FleetView,
  LOAN_MS,
  type LimitReport,
  applyChanges,
  createFleetView,
  seededRandom,
} from '@cassiamast/coordination';
import { errAsync, okAsync } from 'neverthrow';
import { MEMBER_UNREACHABLE } from '../../src/node/failures.js';
import type { RpcClient } from '../../src/node/rpc-client.js';
import { RpcMethod } from '../../src/protocol/methods.js';
import { createGatewayCount } from '../../src/gateway/gateway-count.js';
import { type TargetLimits, createTargetLimits } from '../../src/gateway/target-limits.js';

const IDS = ['a', 'b', 'c', 'd'] as const;
const DECIDER = 'a';
const TARGET = { id: 't', service: 's' };
const LIMIT_PER_S = 8;

/** Gateways that call each other within one process, with a clock that the test sets. */
interface Fleet {
  readonly view: FleetView;
  readonly gateways: Map<string, TargetLimits>;
  readonly gauges: Map<string, ReadonlyMap<string, number>>;
  readonly logged: string[];
  nowMs: number;
  /** Gateways that can't be reached. */
  readonly away: Set<string>;
}

function startFleet(): Fleet {
  const view = createFleetView();
  const changes = IDS.map((id, index) => ({
    kind: FleetChangeKind.Gateway as const,
    revision: index + 1,
    gateway: { id, failureDomain: 'eros-hall', coreShare: 0.5 },
  }));
  applyChanges(view, changes, IDS.length, 0);
  const fleet: Fleet = {
    view,
    gateways: new Map(),
    gauges: new Map(),
    logged: [],
    nowMs: 0,
    away: new Set(),
  };
  const call = (member: string, method: string, params: unknown): unknown => {
    const gateway = fleet.gateways.get(member);
    if (gateway === undefined || fleet.away.has(member)) {
      return errAsync(MEMBER_UNREACHABLE.of({ member, method, detail: 'away' } as never));
    }
    return okAsync(perform(gateway, method, params as readonly unknown[]));
  };
  for (const id of IDS) {
    const gateways = createGatewayCount({
      selfId: id,
      view,
      share: { windowMs: 10_000, leaseTtlMs: 3_000 },
      clocks: () => ({ monotonicMs: fleet.nowMs, elapsedMs: fleet.nowMs }),
      log: { info: () => undefined, warn: () => undefined, lifecycle: () => undefined },
    });
    gateways.beginAnnouncement()();
    gateways.beginRead()();
    const limits = createTargetLimits({
      selfId: id,
      view,
      gateways,
      rpc: { call } as unknown as RpcClient,
      schedulerOf: () => DECIDER,
      elapsedMs: () => fleet.nowMs,
      random: seededRandom(1),
      log: {
        info: (message) => fleet.logged.push(`${id}: ${message}`),
        warn: () => undefined,
        lifecycle: () => undefined,
      },
      count: () => undefined,
      gauge: (name, values) => fleet.gauges.set(`${id}/${name}`, values),
    });
    fleet.gateways.set(id, limits);
  }
  fleet.nowMs = LOAN_MS;
  return fleet;
}

function perform(gateway: TargetLimits, method: string, params: readonly unknown[]): unknown {
  const [first, second, third] = params as [never, never, never];
  if (method === RpcMethod.LimitsBorrow) return gateway.onBorrow(first, second, third);
  if (method === RpcMethod.LimitsTake) return gateway.onTake(first, second, third);
  gateway.onLimitsReported(first as readonly LimitReport[], second);
  return null;
}

function gatewayOf(fleet: Fleet, id: string): TargetLimits {
  const gateway = fleet.gateways.get(id);
  if (gateway === undefined) throw new Error(`no gateway ${id}`);
  return gateway;
}

/** Lets a gateway learn a limit. Resolves when it has been reported to the others. */
async function learnLimit(fleet: Fleet, id: string, perS: number | null): Promise<void> {
  const sentAtMs = fleet.nowMs + 1;
  fleet.nowMs += 2;
  gatewayOf(fleet, id).noteAnswer(TARGET, perS, { work: RequestedWork.Run, sentAtMs });
  await new Promise((resolve) => setImmediate(resolve));
}

/** Counts the permits that a gateway gets in two seconds. */
async function countPermits(fleet: Fleet, id: string): Promise<number> {
  let count = 0;
  for (let turn = 0; turn < 200; turn += 1) {
    fleet.nowMs += 10;
    if ((await gatewayOf(fleet, id).take(TARGET)) === 0) count += 1;
  }
  return count;
}

describe('the limits of targets', () => {
  it('are known to all gateways when one has learned them', async () => {
    const fleet = startFleet();
    await learnLimit(fleet, 'c', LIMIT_PER_S);
    for (const id of IDS) assert.ok(fleet.logged.includes(`${id}: rate limit named`), id);
    await learnLimit(fleet, 'c', null);
    for (const id of IDS) assert.ok(fleet.logged.includes(`${id}: rate limit ended`), id);
  });

  it('are exported as gauges with their age and the own share', async () => {
    const fleet = startFleet();
    await learnLimit(fleet, 'c', LIMIT_PER_S);
    fleet.nowMs += 500;
    gatewayOf(fleet, DECIDER).measure();
    assert.equal(fleet.gauges.get('a/target_limit_per_s')?.get(TARGET.id), LIMIT_PER_S);
    assert.equal(fleet.gauges.get('a/target_limit_age_s')?.get(TARGET.id), 0.5);
    assert.equal(fleet.gauges.get('a/target_limit_share')?.get(TARGET.id), 1);
  });

  // Otherwise the callers of one gateway would get only that gateway's part of an unused limit.
  it('can be used entirely by one gateway while the others do not need them', async () => {
    const fleet = startFleet();
    await learnLimit(fleet, 'c', LIMIT_PER_S);
    fleet.nowMs += 1;
    assert.ok((await countPermits(fleet, 'c')) >= LIMIT_PER_S);
  });

  // A gateway that counted only itself after all announcements have expired would use the whole
  // limit.
  it('stay divided among gateways whose announcements have expired', async () => {
    const fleet = startFleet();
    await gatewayOf(fleet, 'c').child.start(() => undefined);
    await gatewayOf(fleet, 'c').child.stop();
    for (const id of IDS) fleet.away.add(id);
    fleet.view.gateways.clear();
    await learnLimit(fleet, 'c', LIMIT_PER_S);
    fleet.nowMs += LOAN_MS;
    const ownPart = (2 * LIMIT_PER_S) / IDS.length;
    assert.ok((await countPermits(fleet, 'c')) <= ownPart + 1);
  });

  it('provide a leaving gateway with permits of the deciding gateway', async () => {
    const fleet = startFleet();
    await learnLimit(fleet, 'c', LIMIT_PER_S);
    gatewayOf(fleet, 'c').leave();
    fleet.nowMs += LOAN_MS;
    await learnLimit(fleet, 'b', LIMIT_PER_S);
    assert.ok((await countPermits(fleet, 'c')) > 0);
    gatewayOf(fleet, 'c').measure();
    assert.equal(fleet.gauges.get('c/target_limit_share')?.get(TARGET.id), 0);
  });

  // A gateway that loses contact with the deciding gateway must neither stop nor exceed the limit.
  it('leave a gateway its own share when it cannot reach the deciding gateway', async () => {
    const fleet = startFleet();
    await learnLimit(fleet, 'c', LIMIT_PER_S);
    fleet.away.add(DECIDER);
    fleet.nowMs += LOAN_MS;
    const count = await countPermits(fleet, 'c');
    const ownPart = (2 * LIMIT_PER_S) / IDS.length;
    assert.ok(count >= ownPart - 1 && count <= ownPart + 1, String(count));
  });
});
