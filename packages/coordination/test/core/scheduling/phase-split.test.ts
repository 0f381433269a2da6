/** Tests the split of engines between prefill and decode. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  EnginePhase,
  PHASE_SPLIT_OPTIONS,
  type PhaseEngine,
  choosePhaseOrders,
} from '../../../src/index.js';

function fleet(
  decode: number,
  prefill: number,
  overrides: Partial<PhaseEngine> = {},
): PhaseEngine[] {
  const domains = ['hosea-kutako', 'eros-hall', 'prosperita'];
  return Array.from({ length: decode + prefill }, (_, index) => ({
    id: `e${String(index)}`,
    failureDomain: domains[index % 3] ?? '',
    phase: index < decode ? EnginePhase.Decode : EnginePhase.Prefill,
    usable: true,
    changing: false,
    requests: 0,
    limited: false,
    ...overrides,
  }));
}

const choose = (engines: readonly PhaseEngine[], streams = 0, isIdle = true) =>
  choosePhaseOrders(engines, streams, isIdle, PHASE_SPLIT_OPTIONS);

describe('choosePhaseOrders', () => {
  it('reduces the decode engines to the number that the streams need', () => {
    const orders = choose(fleet(5, 3));
    assert.equal(orders.length, 5 - PHASE_SPLIT_OPTIONS.minDecodeEngines);
    assert.ok(orders.every(({ phase }) => phase === EnginePhase.Prefill));
  });

  it('keeps the remaining decode engines in different failure domains', () => {
    const engines = fleet(5, 3);
    const ordered = new Set(choose(engines).map(({ engineId }) => engineId));
    const remaining = engines.filter(
      ({ id, phase }) => phase === EnginePhase.Decode && !ordered.has(id),
    );
    assert.equal(
      new Set(remaining.map(({ failureDomain }) => failureDomain)).size,
      remaining.length,
    );
  });

  it('changes one engine at a time while callers are served', () => {
    assert.equal(choose(fleet(5, 3), 10, false).length, 1);
    const changing = fleet(5, 3).map((engine, index) => ({ ...engine, changing: index === 0 }));
    assert.deepEqual(choose(changing, 10, false), []);
  });

  it('adds decode engines when there are more streams', () => {
    const streams = PHASE_SPLIT_OPTIONS.streamsPerEngine * 2 + 1;
    const [order] = choose(fleet(2, 6), streams, false);
    assert.equal(order?.phase, EnginePhase.Decode);
  });

  describe('with rate-limited engines', () => {
    const limitedDecode = (decode: number, prefill: number): PhaseEngine[] =>
      fleet(decode, prefill).map((engine) => ({
        ...engine,
        limited: engine.phase === EnginePhase.Decode,
      }));

    // Otherwise callers are refused because decode engines are rate limited, although other
    // engines have room.
    it('replaces all rate-limited decode engines at once', () => {
      const orders = choose(limitedDecode(2, 6), 10, false);
      assert.equal(orders.length, PHASE_SPLIT_OPTIONS.minDecodeEngines);
      assert.ok(orders.every(({ phase }) => phase === EnginePhase.Decode));
    });

    it('keeps at least one prefill engine', () => {
      assert.equal(choose(limitedDecode(2, 2), 10, false).length, 1);
    });

    it('gives no orders to rate-limited engines', () => {
      const engines = fleet(2, 6, { limited: true });
      assert.deepEqual(choose(engines, 10, false), []);
    });
  });

  it('leaves a correct split and a small service unchanged', () => {
    assert.deepEqual(choose(fleet(PHASE_SPLIT_OPTIONS.minDecodeEngines, 6)), []);
    assert.deepEqual(choose(fleet(2, 1)), []);
  });
});
