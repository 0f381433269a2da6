/** One drain, step by step. */
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
   * A process gets SIGTERM. The balancer and other entries go on sending work for a moment; a
   * process that closed at once would cut or refuse it.
   */
  it('takes work until senders have had time to notice, even with nothing running', () => {
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

  it('hands over what is left at the deadline, and waits for that as well', () => {
    const state = started();
    tickDrain(state, 2, 5_000);
    assert.deepEqual(kinds(tickDrain(state, 2, 30_000)), [DrainEffectKind.HandOver]);
    assert.deepEqual(tickDrain(state, 1, 31_000), []);
    assert.deepEqual(kinds(tickDrain(state, 0, 31_500)), [DrainEffectKind.Drained]);
  });

  it('says how much could not be moved in the end', () => {
    const state = started();
    tickDrain(state, 2, 5_000);
    tickDrain(state, 2, 30_000);
    const effects = tickDrain(state, 1, 35_000);
    assert.deepEqual(effects, [{ kind: DrainEffectKind.Drained, leftRunning: 1 }]);
  });

  it('is begun once, and a target serves again after it', () => {
    const state = started();
    assert.deepEqual(startDrain(state, 1_000), []);
    endDrain(state);
    assert.equal(state.phase, DrainPhase.Serving);
    assert.equal(acceptsWork(state), true);
  });

  describe('that takes work while it drains', () => {
    const options = { ...DRAIN_OPTIONS, acceptsWhileDraining: true };

    // Guards against work that is taken by a process that has counted none and is about to end.
    it('refuses new work in the step in which it counts none', () => {
      const state = createDrain(options);
      startDrain(state, 0);
      const noticed = tickDrain(state, 1, options.noticeMs);
      assert.deepEqual(kinds(noticed), [DrainEffectKind.LimitAccepting]);
      assert.deepEqual(tickDrain(state, 1, 6_000), []);
      const ended = tickDrain(state, 0, 6_100);
      assert.deepEqual(kinds(ended), [DrainEffectKind.StopAccepting, DrainEffectKind.Drained]);
    });

    it('refuses new work before it hands over what is left', () => {
      const state = createDrain(options);
      startDrain(state, 0);
      tickDrain(state, 1, options.noticeMs);
      const late = tickDrain(state, 1, options.drainMs);
      assert.deepEqual(kinds(late), [DrainEffectKind.StopAccepting, DrainEffectKind.HandOver]);
    });

    it('never ends before new work is refused, whatever runs and whenever it is looked at', () => {
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
