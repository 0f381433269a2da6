/** How engines are split between reading prompts and making tokens. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  EnginePhase,
  PHASE_SPLIT_OPTIONS,
  type PhaseEngine,
  choosePhaseOrders,
} from '../../../src/index.js';

function fleet(decode: number, prefill: number, change: Partial<PhaseEngine> = {}): PhaseEngine[] {
  const domains = ['hosea-kutako', 'eros-hall', 'prosperita'];
  return Array.from({ length: decode + prefill }, (_, index) => ({
    id: `e${String(index)}`,
    failureDomain: domains[index % 3] ?? '',
    phase: index < decode ? EnginePhase.Decode : EnginePhase.Prefill,
    usable: true,
    changing: false,
    requests: 0,
    limited: false,
    ...change,
  }));
}

const choose = (engines: readonly PhaseEngine[], streams = 0, isIdle = true) =>
  choosePhaseOrders(engines, streams, isIdle, PHASE_SPLIT_OPTIONS);

describe('the split of phases', () => {
  it('has as few engines make tokens as streams need', () => {
    const orders = choose(fleet(5, 3));
    assert.equal(orders.length, 5 - PHASE_SPLIT_OPTIONS.minDecode);
    assert.ok(orders.every(({ phase }) => phase === EnginePhase.Prefill));
  });

  it('leaves those that make tokens in different failure domains', () => {
    const engines = fleet(5, 3);
    const ordered = new Set(choose(engines).map(({ engineId }) => engineId));
    const left = engines.filter(
      ({ id, phase }) => phase === EnginePhase.Decode && !ordered.has(id),
    );
    assert.equal(new Set(left.map(({ failureDomain }) => failureDomain)).size, left.length);
  });

  it('changes one engine at a time while callers are served', () => {
    assert.equal(choose(fleet(5, 3), 10, false).length, 1);
    const changing = fleet(5, 3).map((each, index) => ({ ...each, changing: index === 0 }));
    assert.deepEqual(choose(changing, 10, false), []);
  });

  it('has more engines make tokens when there are more streams', () => {
    const streams = PHASE_SPLIT_OPTIONS.streamsPerEngine * 2 + 1;
    const [order] = choose(fleet(2, 6), streams, false);
    assert.equal(order?.phase, EnginePhase.Decode);
  });

  describe('with engines that name rate limits', () => {
    const limitedDecode = (decode: number, prefill: number): PhaseEngine[] =>
      fleet(decode, prefill).map((each) => ({
        ...each,
        limited: each.phase === EnginePhase.Decode,
      }));

    // Guards against callers who are refused while engines with room only read prompts.
    it('has others make tokens in their place, all at once', () => {
      const orders = choose(limitedDecode(2, 6), 10, false);
      assert.equal(orders.length, PHASE_SPLIT_OPTIONS.minDecode);
      assert.ok(orders.every(({ phase }) => phase === EnginePhase.Decode));
    });

    it('keeps one that reads', () => {
      assert.equal(choose(limitedDecode(2, 2), 10, false).length, 1);
    });

    it('gives them no orders', () => {
      const engines = fleet(2, 6, { limited: true });
      assert.deepEqual(choose(engines, 10, false), []);
    });
  });

  it('leaves a right split and a small service as they are', () => {
    assert.deepEqual(choose(fleet(PHASE_SPLIT_OPTIONS.minDecode, 6)), []);
    assert.deepEqual(choose(fleet(2, 1)), []);
  });
});
