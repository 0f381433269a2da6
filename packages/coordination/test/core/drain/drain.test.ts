/** Tests the phases of a drain. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import type { DrainEffect, DrainState } from '../../../src/index.js';
import {
  DRAIN_OPTIONS,
  DrainEffectKind,
  DrainPhase,
  acceptsWork,
  createDrain,
  endDrain,
  startDrain,
  tickDrain,
} from '../../../src/index.js';

function started(): DrainState {
  const state = createDrain(DRAIN_OPTIONS);
  assert.deepEqual(startDrain(state, 0), [{ kind: DrainEffectKind.AnnounceLeaving }]);
  return state;
}

function kinds(effects: readonly DrainEffect[]): DrainEffectKind[] {
  return effects.map((effect) => effect.kind);
}

describe('a drain', () => {
  /**
   * After a process gets SIGTERM, the load balancer and other entries still send it work for a
   * moment. A process that closed at once would abort or reject this work.
   */
  it('accepts work until senders have had time to notice, even when nothing is running', () => {
    const state = started();
    assert.deepEqual(tickDrain(state, 0, DRAIN_OPTIONS.noticeMs - 1), []);
    assert.equal(acceptsWork(state), true);
    const effects = tickDrain(state, 0, DRAIN_OPTIONS.noticeMs);
    assert.deepEqual(kinds(effects), [DrainEffectKind.StopAccepting, DrainEffectKind.Drained]);
    assert.equal(acceptsWork(state), false);
  });

  it('waits for running work and ends as soon as it is done', () => {
    const state = started();
    assert.deepEqual(kinds(tickDrain(state, 3, 5_000)), [DrainEffectKind.StopAccepting]);
    assert.deepEqual(tickDrain(state, 1, 9_000), []);
    assert.deepEqual(kinds(tickDrain(state, 0, 9_100)), [DrainEffectKind.Drained]);
  });

  it('hands over the remaining work at the deadline and waits until that is done', () => {
    const state = started();
    tickDrain(state, 2, 5_000);
    assert.deepEqual(kinds(tickDrain(state, 2, 30_000)), [DrainEffectKind.HandOver]);
    assert.deepEqual(tickDrain(state, 1, 31_000), []);
    assert.deepEqual(kinds(tickDrain(state, 0, 31_500)), [DrainEffectKind.Drained]);
  });

  it('reports how much work could not be handed over', () => {
    const state = started();
    tickDrain(state, 2, 5_000);
    tickDrain(state, 2, 30_000);
    const effects = tickDrain(state, 1, 35_000);
    assert.deepEqual(effects, [{ kind: DrainEffectKind.Drained, leftRunning: 1 }]);
  });

  it('starts only once, and the target serves again after its end', () => {
    const state = started();
    assert.deepEqual(startDrain(state, 1_000), []);
    endDrain(state);
    assert.equal(state.phase, DrainPhase.Serving);
    assert.equal(acceptsWork(state), true);
  });

  describe('that accepts work while it waits', () => {
    const options = { ...DRAIN_OPTIONS, acceptsWhileDraining: true };

    // Otherwise a process that found no running work could accept some just before it ends.
    it('rejects new work in the step in which it finds none running', () => {
      const state = createDrain(options);
      startDrain(state, 0);
      const noticed = tickDrain(state, 1, options.noticeMs);
      assert.deepEqual(kinds(noticed), [DrainEffectKind.LimitAccepting]);
      assert.deepEqual(tickDrain(state, 1, 6_000), []);
      const ended = tickDrain(state, 0, 6_100);
      assert.deepEqual(kinds(ended), [DrainEffectKind.StopAccepting, DrainEffectKind.Drained]);
    });

    it('rejects new work before it hands over the remaining work', () => {
      const state = createDrain(options);
      startDrain(state, 0);
      tickDrain(state, 1, options.noticeMs);
      const late = tickDrain(state, 1, options.drainMs);
      assert.deepEqual(kinds(late), [DrainEffectKind.StopAccepting, DrainEffectKind.HandOver]);
    });

    it('never ends before new work is rejected, for any running work and tick times', () => {
      const ticks = fc.array(
        fc.record({ runningWork: fc.nat(2), afterMs: fc.nat(options.drainMs) }),
      );
      fc.assert(
        fc.property(ticks, fc.boolean(), (steps, acceptsWhileDraining) => {
          const state = createDrain({ ...options, acceptsWhileDraining });
          let nowMs = 0;
          const seen = kinds(startDrain(state, nowMs));
          for (const { runningWork, afterMs } of steps) {
            nowMs += afterMs;
            seen.push(...kinds(tickDrain(state, runningWork, nowMs)));
          }
          const endedAt = seen.indexOf(DrainEffectKind.Drained);
          const stoppedAt = seen.indexOf(DrainEffectKind.StopAccepting);
          if (endedAt >= 0) assert.ok(stoppedAt >= 0 && stoppedAt < endedAt);
        }),
        { seed: 1 },
      );
    });
  });
});
