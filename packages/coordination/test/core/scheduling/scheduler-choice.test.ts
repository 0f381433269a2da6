/** Tests the choice of the gateway that schedules a service. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { type AnnouncedGateway, chooseScheduler } from '../../../src/index.js';

const SERVICES = ['s'];

function gateway(
  number: number,
  coreShare: number,
  announcedAtRevision = number,
): AnnouncedGateway {
  const id = `10.0.0.${String(number)}:7380`;
  return { id, failureDomain: 'eros-hall', coreShare, announcedAtRevision };
}

describe('chooseScheduler', () => {
  it('returns null when there is no gateway', () => {
    assert.equal(chooseScheduler([], 's', SERVICES), null);
  });

  // Otherwise a gateway with a quarter of a core decides for all callers, and they wait seconds for
  // a decision while engines are idle and other gateways have more than one core.
  it('chooses one of the largest gateways', () => {
    const gateways = [1, 2, 3, 4, 5, 6].map((each) => gateway(each, each > 4 ? 1.35 : 0.243));
    const services = Array.from({ length: 50 }, (_, index) => `service-${String(index)}`);
    for (const service of services) {
      const chosen = chooseScheduler(gateways, service, services);
      assert.match(chosen ?? '', /^10\.0\.0\.[56]:/);
    }
  });

  // After each restart of the scheduling gateway, answers were late for seconds. Another gateway
  // had taken over, but the first one got its role back as soon as it was up again, without any
  // knowledge of engine state.
  it('does not hand back to a gateway that restarted', () => {
    const before = [gateway(1, 0.5), gateway(2, 0.5), gateway(3, 0.5)];
    const withoutFirst = before.slice(1);
    const after = [...withoutFirst, gateway(1, 0.5, 9)];
    assert.equal(chooseScheduler(before, 's', SERVICES), '10.0.0.1:7380');
    assert.equal(chooseScheduler(withoutFirst, 's', SERVICES), '10.0.0.2:7380');
    assert.equal(chooseScheduler(after, 's', SERVICES), '10.0.0.2:7380');
  });

  it('chooses a different gateway for each service', () => {
    const gateways = [1, 2, 3].map((each) => gateway(each, 0.5));
    const services = ['a', 'b', 'c'];
    const chosen = services.map((service) => chooseScheduler(gateways, service, services));
    assert.equal(new Set(chosen).size, 3);
  });

  it('does not depend on the order of gateways and services', () => {
    const shares = fc.array(fc.double({ min: 0.1, max: 2, noNaN: true }), { minLength: 1 });
    fc.assert(
      fc.property(shares, fc.array(fc.string()), (coreShares, services) => {
        const gateways = coreShares.map((share, index) => gateway(index, share, index % 3));
        for (const service of [...services, 'of no configuration']) {
          const chosen = chooseScheduler(gateways, service, services);
          const reversed = [[...gateways].reverse(), service, [...services].reverse()] as const;
          assert.equal(chooseScheduler(...reversed), chosen);
        }
      }),
    );
  });
});
