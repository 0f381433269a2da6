/** The choice of the gateway that schedules. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { type GatewayEntry, chooseScheduler, createHashing } from '../../../src/index.js';

const { hash32 } = await createHashing();

function gateway(number: number, coreShare: number): GatewayEntry {
  return { id: `10.0.0.${String(number)}:7380`, failureDomain: 'eros-hall', coreShare };
}

describe('the gateway that schedules', () => {
  it('is nobody where no gateway is there', () => {
    assert.equal(chooseScheduler([], 's', hash32), null);
  });

  // Callers wait seconds for their turn while engines are idle: the gateway that decides for all
  // of them has a quarter of a core, and others have more than one.
  it('is one of the largest', () => {
    const gateways = [1, 2, 3, 4, 5, 6].map((each) => gateway(each, each > 4 ? 1.35 : 0.243));
    for (let service = 0; service < 50; service += 1) {
      const chosen = chooseScheduler(gateways, `service-${String(service)}`, hash32);
      assert.match(chosen ?? '', /^10\.0\.0\.[56]:/);
    }
  });

  it('is the same for all, in whatever order they know each other', () => {
    const shares = fc.array(fc.double({ min: 0.1, max: 2, noNaN: true }), { minLength: 1 });
    fc.assert(
      fc.property(shares, fc.string(), (coreShares, service) => {
        const gateways = coreShares.map((share, index) => gateway(index, share));
        const chosen = chooseScheduler(gateways, service, hash32);
        assert.equal(chooseScheduler([...gateways].reverse(), service, hash32), chosen);
      }),
    );
  });
});
