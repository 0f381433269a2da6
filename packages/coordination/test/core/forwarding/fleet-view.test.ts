/** The view of the fleet under missed, duplicated and stale changes, and during store outages. */
import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import {
  CrashRemoval,
  EnginePhase,
  FleetChangeKind,
  type FleetChange,
  type FleetView,
  TargetTransition,
  EXPIRY_GRACE_MS,
  DOUBT_MS,
  OUTAGE_DELAY_MS,
  admitDoubtedTargets,
  applyChanges,
  applyListing,
  crashesOf,
  createFleetView,
  hasRestarted,
  livesSinceMs,
  recordStoreAnswer,
  removeCrash,
  revisionInEra,
  servingTarget,
  servingTargets,
  removeMissingTargets,
} from '../../../src/index.js';

const SERVICE = 'inspect-llm';
/** How long a call to the store waits for changes. */
const WATCH_MS = 1500;

function target(name: string, revision: number, draining = false, bornAtMs = 0): FleetChange {
  const entry = {
    id: bornAtMs === 0 ? name : `${name}@${String(bornAtMs)}`,
    name,
    bornAtMs,
    version: 'v1',
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

describe('fleet view', () => {
  let view: FleetView;
  const serving = (nowMs = 0): readonly string[] =>
    servingTargets(view, SERVICE, nowMs).map(({ id }) => id);

  beforeEach(() => {
    view = createFleetView();
    recordStoreAnswer(view, 0, WATCH_MS);
    applyListing(view, [target('a', 1), target('b', 2)], 5, 0);
  });

  describe('without an outage', () => {
    it('removes a target at once when its entry is removed', () => {
      applyChanges(view, [removed('a', 6)], 6, 100);
      assert.deepEqual(serving(), ['b']);
    });

    it('sends no new work to a draining target', () => {
      applyChanges(view, [target('a', 6, true)], 6, 100);
      assert.deepEqual(serving(), ['b']);
    });

    it('removes a target that a new listing does not contain', () => {
      applyListing(view, [target('b', 2)], 9, 100);
      assert.deepEqual(serving(), ['b']);
    });
  });

  // A gateway that takes its own pause between two calls for silence of the store keeps removed
  // targets in use after every poll without news.
  describe('after a long pause between two calls', () => {
    const PAUSE_MS = 2000;
    const NEXT_ANSWER_MS = PAUSE_MS + WATCH_MS;

    it('removes a target at once when its entry is removed', () => {
      recordStoreAnswer(view, 100, NEXT_ANSWER_MS);
      const nextAnswerAtMs = 100 + NEXT_ANSWER_MS + OUTAGE_DELAY_MS;
      recordStoreAnswer(view, nextAnswerAtMs, NEXT_ANSWER_MS);
      applyChanges(view, [removed('a', 6)], 6, nextAnswerAtMs);
      assert.deepEqual(serving(nextAnswerAtMs), ['b']);
    });

    it('keeps it if the answer was late by more than that', () => {
      recordStoreAnswer(view, 100, NEXT_ANSWER_MS);
      const nextAnswerAtMs = 100 + NEXT_ANSWER_MS + OUTAGE_DELAY_MS + 1;
      recordStoreAnswer(view, nextAnswerAtMs, NEXT_ANSWER_MS);
      applyChanges(view, [removed('a', 6)], 6, nextAnswerAtMs);
      assert.deepEqual(serving(nextAnswerAtMs), ['a', 'b']);
    });
  });

  // A target that has left receives new work if a duplicated or late change from before its removal
  // restores its entry.
  describe('a stale change', () => {
    it('does not restore a removed target', () => {
      applyChanges(view, [removed('a', 6), target('a', 4)], 6, 100);
      assert.deepEqual(serving(), ['b']);
    });

    it('does not revert draining', () => {
      applyChanges(view, [target('a', 6, true), target('a', 1)], 6, 100);
      assert.deepEqual(serving(), ['b']);
    });

    it('does not remove a target that was written again later', () => {
      applyChanges(view, [target('a', 8), removed('a', 6)], 8, 100);
      assert.deepEqual(serving(), ['b', 'a'].sort());
    });
  });

  // A target is written after the copy from which the store comes back, and lives on. A gateway that
  // removes it at once rejects requests until the target has noticed the loss.
  describe('after the store came back from an older copy', () => {
    const ERA = 1;
    const BACK_AT_MS = 500;
    const RESTORE = { rewriteAtMs: BACK_AT_MS };

    beforeEach(() => {
      applyListing(
        view,
        [target('a', revisionInEra(ERA, 1))],
        revisionInEra(ERA, 1),
        BACK_AT_MS,
        RESTORE,
      );
    });

    it('keeps a target whose entry was lost', () => {
      assert.deepEqual(serving(BACK_AT_MS), ['a', 'b']);
    });

    it('removes it if it is not written again', () => {
      const endsAtMs = BACK_AT_MS + EXPIRY_GRACE_MS;
      assert.deepEqual(serving(endsAtMs), ['a']);
      removeMissingTargets(view, endsAtMs);
      assert.equal(view.targets.has('b'), false);
    });

    describe('a target that had left', () => {
      const LEFT_AT_MS = 5000;
      const BACK_AGAIN_MS = 6000;
      const listed = target('a', revisionInEra(ERA + 1, 1));

      beforeEach(() => {
        const { revision } = listed;
        applyChanges(
          view,
          [removed('a', revisionInEra(ERA, 2))],
          revisionInEra(ERA, 2),
          LEFT_AT_MS,
        );
        applyListing(view, [listed], revision, BACK_AGAIN_MS, RESTORE);
      });

      it('is not used again', () => {
        assert.deepEqual(serving(BACK_AGAIN_MS), []);
        applyListing(view, [listed], listed.revision, BACK_AGAIN_MS + 100);
        assert.deepEqual(serving(BACK_AGAIN_MS + 100), []);
      });

      it('is used again if its entry lasts', () => {
        admitDoubtedTargets(view, BACK_AGAIN_MS + DOUBT_MS - 1);
        assert.deepEqual(serving(BACK_AGAIN_MS), []);
        admitDoubtedTargets(view, BACK_AGAIN_MS + DOUBT_MS);
        assert.deepEqual(serving(BACK_AGAIN_MS), ['a']);
      });

      it('is used again if its entry is written again', () => {
        const revision = listed.revision + 1;
        applyChanges(view, [target('a', revision)], revision, BACK_AGAIN_MS);
        assert.deepEqual(serving(BACK_AGAIN_MS), ['a']);
      });

      it('is not used again if its entry is removed', () => {
        const revision = listed.revision + 1;
        applyChanges(view, [removed('a', revision)], revision, BACK_AGAIN_MS);
        admitDoubtedTargets(view, BACK_AGAIN_MS + DOUBT_MS);
        assert.deepEqual(serving(BACK_AGAIN_MS), []);
      });
    });

    // The copy has a crash that was refuted since; with it, a harmless content would be rejected.
    it('does not count a crash again that counted no more', () => {
      const crash = { content: 'harmless', target: 'a' };
      const listed = (era: number): FleetChange => ({
        kind: FleetChangeKind.Crash,
        revision: revisionInEra(era, 1),
        crash,
      });
      applyChanges(view, [listed(ERA)], revisionInEra(ERA, 2), BACK_AT_MS);
      removeCrash(view.crashes, crash, CrashRemoval.Refuted);
      applyListing(view, [listed(ERA + 1)], revisionInEra(ERA + 1, 1), BACK_AT_MS, RESTORE);
      assert.deepEqual(crashesOf(view.crashes, 'harmless'), []);
      applyChanges(view, [listed(ERA + 1)], revisionInEra(ERA + 1, 2), BACK_AT_MS);
      assert.deepEqual(crashesOf(view.crashes, 'harmless'), [crash]);
    });

    it('keeps it for good if it is written again', () => {
      const revision = revisionInEra(ERA, 2);
      applyChanges(view, [target('b', revision)], revision, BACK_AT_MS + 400);
      assert.deepEqual(serving(BACK_AT_MS + EXPIRY_GRACE_MS), ['a', 'b']);
    });
  });

  // Entries expire during a store outage. A gateway that removes every target with a missing entry
  // has no targets left and rejects all requests for two seconds after the store returns.
  describe('after a store outage', () => {
    const backAtMs = WATCH_MS + OUTAGE_DELAY_MS + 1000;

    beforeEach(() => {
      recordStoreAnswer(view, backAtMs, WATCH_MS);
      applyChanges(view, [removed('a', 6)], 6, backAtMs);
    });

    it('keeps a target whose entry is missing during the grace period', () => {
      removeMissingTargets(view, backAtMs + EXPIRY_GRACE_MS - 1);
      assert.deepEqual(serving(), ['a', 'b']);
    });

    it('keeps a target whose entry reappears', () => {
      applyChanges(view, [target('a', 7)], 7, backAtMs + 500);
      removeMissingTargets(view, backAtMs + EXPIRY_GRACE_MS);
      assert.deepEqual(serving(), ['a', 'b']);
    });

    it('removes a target whose entry is still missing after the grace period', () => {
      removeMissingTargets(view, backAtMs + EXPIRY_GRACE_MS);
      assert.deepEqual(serving(), ['b']);
    });

    // The entry of a leaving target was removed while this gateway could not reach the store. When the
    // grace period ended only with the next update, which took as long as a watch waits, the target
    // received new work for three seconds.
    it('sends no work to it after the grace period, even without an update', () => {
      assert.deepEqual(serving(backAtMs + EXPIRY_GRACE_MS - 1), ['a', 'b']);
      assert.deepEqual(serving(backAtMs + EXPIRY_GRACE_MS), ['b']);
    });

    // A gateway that extends the grace period of missing targets with each outage sends work to
    // targets that left long ago.
    it('does not use a target again whose grace period is over', () => {
      const nextBackAtMs = backAtMs + EXPIRY_GRACE_MS + WATCH_MS + OUTAGE_DELAY_MS;
      recordStoreAnswer(view, nextBackAtMs, WATCH_MS);
      assert.deepEqual(serving(nextBackAtMs), ['b']);
    });

    it('removes a draining target at once', () => {
      applyChanges(view, [target('b', 7, true), removed('b', 8)], 8, backAtMs + 100);
      assert.equal(view.targets.has('b'), false);
    });
  });

  describe('a transition of a target', () => {
    let transitions: string[];

    beforeEach(() => {
      transitions = [];
      view = createFleetView((transition, { id }, revision) => {
        transitions.push(`${id} ${transition} at ${String(revision)}`);
      });
      recordStoreAnswer(view, 0, WATCH_MS);
      applyListing(view, [target('a', 1), target('b', 2)], 5, 0);
    });

    it('is reported once when a target drains and when its entry is removed', () => {
      applyChanges(view, [target('a', 6, true), target('a', 7, true), removed('a', 8)], 8, 100);
      assert.deepEqual(transitions, [
        `a ${TargetTransition.Draining} at 6`,
        `a ${TargetTransition.Removed} at 8`,
      ]);
    });

    it('is reported when an entry is missing after an outage, and when it is back or not', () => {
      const backAtMs = WATCH_MS + OUTAGE_DELAY_MS + 1000;
      recordStoreAnswer(view, backAtMs, WATCH_MS);
      applyChanges(view, [removed('a', 6), removed('b', 7)], 7, backAtMs);
      applyChanges(view, [target('a', 8)], 8, backAtMs + 500);
      removeMissingTargets(view, backAtMs + EXPIRY_GRACE_MS);
      assert.deepEqual(transitions, [
        `a ${TargetTransition.Missing} at 6`,
        `b ${TargetTransition.Missing} at 7`,
        `a ${TargetTransition.Reappeared} at 8`,
        `b ${TargetTransition.Removed} at 8`,
      ]);
    });
  });

  // An engine crashes and is back under the same name a second later. Without an id per start,
  // requests for the earlier start go to the new one, which has none of their state, and crashes of
  // the earlier start count against the new one.
  // A crash is refuted by a target that lives on. Entries outlive their targets while the store is
  // away, so a crash would be refuted that was one.
  describe('the life of a target', () => {
    it('lasts since its entry was listed', () => {
      assert.equal(livesSinceMs(view, 'a', 100), 0);
      assert.equal(livesSinceMs(view, 'unknown', 100), null);
    });

    it('is not known while the store does not answer', () => {
      assert.equal(livesSinceMs(view, 'a', WATCH_MS + OUTAGE_DELAY_MS + 1), null);
    });

    it('is known again from the end of an outage on', () => {
      recordStoreAnswer(view, 9000, WATCH_MS);
      assert.equal(livesSinceMs(view, 'a', 9500), 9000);
    });

    it('begins anew when a missing entry is written again', () => {
      recordStoreAnswer(view, 9000, WATCH_MS);
      applyChanges(view, [removed('a', 6)], 6, 9000);
      assert.equal(livesSinceMs(view, 'a', 9100), null);
      applyChanges(view, [target('a', 7)], 7, 9200);
      assert.equal(livesSinceMs(view, 'a', 9300), 9200);
    });
  });

  describe('a target that restarts under its name', () => {
    it('replaces its earlier start', () => {
      applyChanges(view, [target('a', 6, false, 2000)], 6, 100);
      assert.deepEqual(serving().toSorted(), ['a@2000', 'b']);
      assert.equal(servingTarget(view, 'a', 100), null);
    });

    it('serves although its earlier start was draining', () => {
      applyChanges(view, [target('a', 6, true), target('a', 7, false, 2000)], 7, 100);
      assert.deepEqual(serving().toSorted(), ['a@2000', 'b']);
    });

    it('is not affected by a late entry of its earlier start', () => {
      const late = [target('a', 6, false, 2000), target('a', 7, true, 1000)];
      applyChanges(view, late, 7, 100);
      assert.deepEqual(serving().toSorted(), ['a@2000', 'b']);
    });

    it('is removed when its entry is removed', () => {
      applyChanges(view, [target('a', 6, false, 2000), removed('a', 7)], 7, 100);
      assert.deepEqual(serving(), ['b']);
    });

    it('is reported as restarted for an entry of its earlier start', () => {
      const before = servingTarget(view, 'a', 0);
      assert.ok(before !== null && !hasRestarted(view, before));
      applyChanges(view, [target('a', 6, false, 2000)], 6, 100);
      assert.ok(hasRestarted(view, before));
    });
  });
});
