/** The fleet through missed, repeated and old changes, and through outages of the store. */
import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import {
  EnginePhase,
  FleetChangeKind,
  type FleetChange,
  type FleetView,
  LAPSE_DOUBT_MS,
  OUTAGE_SILENCE_MS,
  applyChanges,
  applyListing,
  createFleetView,
  hasStartedAgain,
  noteStoreAnswer,
  servingTarget,
  servingTargets,
  settleDoubts,
} from '../../../src/index.js';

const SERVICE = 'inspect-llm';

function target(name: string, revision: number, draining = false, bornAtMs = 0): FleetChange {
  const entry = {
    id: bornAtMs === 0 ? name : `${name}@${String(bornAtMs)}`,
    name,
    bornAtMs,
    service: SERVICE,
    address: '10.0.0.1:80',
    failureDomain: 'eros-hall',
    slots: 64,
    draining,
    phase: EnginePhase.Decode,
  };
  return { kind: FleetChangeKind.Target, revision, target: entry };
}

function removed(name: string, revision: number): FleetChange {
  return { kind: FleetChangeKind.TargetRemoved, revision, name };
}

describe('the fleet as a gateway sees it', () => {
  let view: FleetView;
  const serving = (nowMs = 0): readonly string[] =>
    servingTargets(view, SERVICE, nowMs).map(({ id }) => id);

  beforeEach(() => {
    view = createFleetView();
    noteStoreAnswer(view, 0);
    applyListing(view, [target('a', 1), target('b', 2)], 5, 0);
  });

  describe('in calm', () => {
    it('drops a target at once when its entry is removed', () => {
      applyChanges(view, [removed('a', 6)], 6, 100);
      assert.deepEqual(serving(), ['b']);
    });

    it('gives no new work to one that drains', () => {
      applyChanges(view, [target('a', 6, true)], 6, 100);
      assert.deepEqual(serving(), ['b']);
    });

    it('drops what a new listing lacks', () => {
      applyListing(view, [target('b', 2)], 9, 100);
      assert.deepEqual(serving(), ['b']);
    });
  });

  // A leaving target gets new work: its entry was removed, and a repeated or late change from before
  // puts it back.
  describe('an old change', () => {
    it('does not bring a removed target back', () => {
      applyChanges(view, [removed('a', 6), target('a', 4)], 6, 100);
      assert.deepEqual(serving(), ['b']);
    });

    it('does not undo a leaving', () => {
      applyChanges(view, [target('a', 6, true), target('a', 1)], 6, 100);
      assert.deepEqual(serving(), ['b']);
    });

    it('does not remove a target that was written again since', () => {
      applyChanges(view, [target('a', 8), removed('a', 6)], 8, 100);
      assert.deepEqual(serving(), ['b', 'a'].sort());
    });
  });

  // All requests are refused for two seconds after the store returns. Entries lapsed while it was
  // away, and a gateway that takes each missing entry for a target that left has none.
  describe('after an outage of the store', () => {
    const backAtMs = OUTAGE_SILENCE_MS + 1000;

    beforeEach(() => {
      noteStoreAnswer(view, backAtMs);
      applyChanges(view, [removed('a', 6)], 6, backAtMs);
    });

    it('keeps a target whose entry is missing for a moment', () => {
      settleDoubts(view, backAtMs + LAPSE_DOUBT_MS - 1);
      assert.deepEqual(serving(), ['a', 'b']);
    });

    it('keeps it for good when its entry comes back', () => {
      applyChanges(view, [target('a', 7)], 7, backAtMs + 500);
      settleDoubts(view, backAtMs + LAPSE_DOUBT_MS);
      assert.deepEqual(serving(), ['a', 'b']);
    });

    it('takes it as gone when its entry stays missing', () => {
      settleDoubts(view, backAtMs + LAPSE_DOUBT_MS);
      assert.deepEqual(serving(), ['b']);
    });

    // A leaving target gets new work for three seconds. Its entry went while the store was away for
    // this gateway, and the doubt about it ended only with the next news, which took a watch's wait.
    it('gives it no work once the doubt has passed, whether news come or not', () => {
      assert.deepEqual(serving(backAtMs + LAPSE_DOUBT_MS - 1), ['a', 'b']);
      assert.deepEqual(serving(backAtMs + LAPSE_DOUBT_MS), ['b']);
    });

    it('drops one at once that had reported its leaving', () => {
      applyChanges(view, [target('b', 7, true), removed('b', 8)], 8, backAtMs + 100);
      assert.equal(view.targets.has('b'), false);
    });
  });

  // An engine crashes and is back under its name a second later. Requests that were meant for the
  // earlier start go to the new one, which holds nothing of theirs, and its crashes count for it.
  describe('a target that starts again under its name', () => {
    it('takes the place of its earlier start, which is no target any more', () => {
      applyChanges(view, [target('a', 6, false, 2000)], 6, 100);
      assert.deepEqual(serving().toSorted(), ['a@2000', 'b']);
      assert.equal(servingTarget(view, 'a', 100), null);
    });

    it('serves although its earlier start was leaving', () => {
      applyChanges(view, [target('a', 6, true), target('a', 7, false, 2000)], 7, 100);
      assert.deepEqual(serving().toSorted(), ['a@2000', 'b']);
    });

    it('is not disturbed by an entry of its earlier start that arrives late', () => {
      const late = [target('a', 6, false, 2000), target('a', 7, true, 1000)];
      applyChanges(view, late, 7, 100);
      assert.deepEqual(serving().toSorted(), ['a@2000', 'b']);
    });

    it('is gone when its entry is removed', () => {
      applyChanges(view, [target('a', 6, false, 2000), removed('a', 7)], 7, 100);
      assert.deepEqual(serving(), ['b']);
    });

    it('tells what the earlier start held from what the new one holds', () => {
      const before = servingTarget(view, 'a', 0);
      assert.ok(before !== null && !hasStartedAgain(view, before));
      applyChanges(view, [target('a', 6, false, 2000)], 6, 100);
      assert.ok(hasStartedAgain(view, before));
    });
  });
});
