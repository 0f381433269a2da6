/** Usage reports while gateways and the store are lost, on a virtual clock. */
import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';
import { RpcMethod } from '../../src/protocol/methods.js';
import {
  MAX_UPDATE_DELAY_MS,
  REQUEST_EVERY_MS,
  USAGE,
  type UsageFleet,
  brokenRules,
  startUsageFleet,
} from './usage-fleet.js';

const GATEWAYS = 9;
const SEEDS = [1, 2, 3, 4, 5, 6];
const { windowMs, dueMs } = USAGE;
const REQUESTS_PER_WINDOW = windowMs / REQUEST_EVERY_MS;
const EARLIEST_FIXING_MS = 1500;
const SOME_TICKS_MS = 500;

describe('usage reports that outlive a loss', () => {
  let fleet: UsageFleet;

  /** Starts a fleet; resolves with the end of a window 30 s later, once a gateway reports. */
  async function startFleet(seed: number): Promise<number> {
    fleet = startUsageFleet(GATEWAYS, seed);
    const endMs = fleet.nowMs() + 6 * windowMs;
    await fleet.runUntil(endMs - 14_000);
    assert.ok(fleet.reports.length > 0, fleet.logLines.join('\n'));
    return endMs;
  }

  function assertReported(endMs: number): void {
    const window = endMs / windowMs - 1;
    const report = fleet.reports.find((each) => each.window === window);
    const lateMs = report === undefined ? Infinity : report.atMs - endMs - dueMs;
    assert.ok(lateMs <= 0, `${String(lateMs)} ms late\n${fleet.logLines.slice(-40).join('\n')}`);
    assert.deepEqual(brokenRules(fleet.reports), []);
  }

  function others(): readonly string[] {
    const ids = Array.from({ length: GATEWAYS }, (_, index) => `edge-${String(index)}`);
    return ids.filter((id) => id !== fleet.holder());
  }

  afterEach(() => {
    fleet.close();
  });

  for (const seed of SEEDS) {
    for (const isStoreCutOff of [false, true]) {
      const from = isStoreCutOff ? ' and from the store' : '';
      // Two reports were missing: counts were fixed late, and then waited 3 s without the store.
      it(`are in time after a third was cut off from the others${from}, seed ${String(seed)}`, async () => {
        const endMs = await startFleet(seed);
        const replaced = fleet.holder() ?? '';
        await fleet.runUntil(endMs - 12_000);
        fleet.kill(replaced);
        await fleet.runUntil(endMs - 10_000);
        fleet.start(replaced);
        await fleet.runUntil(endMs - 3000);
        fleet.cutOff = new Set(others().slice(0, GATEWAYS / 3));
        if (isStoreCutOff) fleet.storeCutOff = fleet.cutOff;
        await fleet.runUntil(endMs + 1000);
        fleet.cutOff = new Set();
        fleet.storeCutOff = new Set();
        await fleet.runUntil(endMs + 3000);
        fleet.store.isAway = true;
        await fleet.runUntil(endMs + 11_000);
        fleet.store.isAway = false;
        await fleet.runUntil(endMs + windowMs + dueMs + 1000);
        assertReported(endMs);
        assertReported(endMs + windowMs);
      });
    }
  }

  // Counts waited for the next round of questions, and then 3 s until all had read them.
  it('are sent as soon as the counts of a window can be whole', async () => {
    const endMs = await startFleet(1);
    await fleet.runUntil(endMs + dueMs);
    assertReported(endMs);
    const sent = fleet.reports.find(({ window }) => window === endMs / windowMs - 1);
    assert.ok((sent?.atMs ?? Infinity) < endMs + EARLIEST_FIXING_MS + SOME_TICKS_MS);
  });

  // The next round would come after the store is away.
  for (const seed of SEEDS) {
    it(`have the counts of gateways that are back just in time, seed ${String(seed)}`, async () => {
      const endMs = await startFleet(seed);
      await fleet.runUntil(endMs - 2000);
      fleet.cutOff = new Set(others().slice(0, GATEWAYS / 3));
      await fleet.runUntil(endMs + 2600);
      fleet.cutOff = new Set();
      await fleet.runUntil(endMs + 3000);
      fleet.store.isAway = true;
      await fleet.runUntil(endMs + dueMs);
      assertReported(endMs);
      assert.deepEqual(wrongCounts(endMs), []);
    });
  }

  // Killed while it waited for 3 s with fixed counts, its successor could send them too late only.
  it('are in time whenever the holder is killed', async () => {
    for (let afterMs = -1000; afterMs <= 5000; afterMs += 500) {
      const endMs = await startFleet(afterMs);
      await fleet.runUntil(endMs + afterMs);
      fleet.kill(fleet.holder() ?? '');
      await fleet.runUntil(endMs + dueMs + 1000);
      assertReported(endMs);
      fleet.close();
    }
  });

  /** Returns what is wrong with the counts of a window in which no gateway was lost. */
  function wrongCounts(endMs: number): readonly string[] {
    const report = fleet.reports.find(({ window }) => window === endMs / windowMs - 1);
    const counts = Object.entries(report?.counts ?? {});
    const wrong = counts.filter(([, count]) => Math.abs(count - REQUESTS_PER_WINDOW) > 1);
    return [...wrong.flat().map(String), ...(counts.length === GATEWAYS ? [] : ['incomplete'])];
  }

  // No gateway is announced right after an outage, and counts were fixed without those that answer.
  it('have the counts of all gateways after an outage of the store', async () => {
    const endMs = await startFleet(1);
    fleet.store.isAway = true;
    await fleet.runUntil(endMs - 6000);
    fleet.store.isAway = false;
    await fleet.runUntil(endMs + dueMs);
    for (const end of [endMs - windowMs, endMs]) assert.deepEqual(wrongCounts(end), []);
    assertReported(endMs);
  });

  it('are sent by the next holder if the lease ends between fixing and sending', async () => {
    const endMs = await startFleet(1);
    const first = fleet.holder();
    fleet.ignores = (_, method) => method === RpcMethod.UsageFixed;
    await fleet.runUntil(endMs + 2000);
    fleet.store.isAway = true;
    await fleet.runUntil(endMs + 5000);
    fleet.store.isAway = false;
    await fleet.runUntil(endMs + dueMs);
    const sent = fleet.reports.filter(({ window }) => window === endMs / windowMs - 1);
    assert.equal(sent.length, 1);
    assert.ok(fleet.logLines.some((line) => line.includes(`${String(first)} duty lost`)));
    assertReported(endMs);
  });

  it('wait as before while a gateway runs the version before', async () => {
    const endMs = await startFleet(1);
    const earlier = others()[0];
    fleet.ignores = (to, method) => to === earlier && method === RpcMethod.UsageFixed;
    await fleet.runUntil(endMs + dueMs);
    assertReported(endMs);
    const sent = fleet.reports.find(({ window }) => window === endMs / windowMs - 1);
    assert.ok((sent?.atMs ?? 0) >= endMs + EARLIEST_FIXING_MS + MAX_UPDATE_DELAY_MS);
    assert.ok((fleet.counters.get('usage_reports_unacknowledged_total') ?? 0) > 0);
  });
});
