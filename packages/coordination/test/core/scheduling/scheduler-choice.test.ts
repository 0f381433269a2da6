/** The choice of the gateway that schedules. */
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

describe('the gateway that schedules', () => {
  it('is nobody where no gateway is there', () => {
    assert.equal(chooseScheduler([], 's', SERVICES), null);
  });

  // Callers wait seconds for their turn while engines are idle: the gateway that decides for all
  // of them has a quarter of a core, and others have more than one.
  it('is one of the largest', () => {
    const gateways = [1, 2, 3, 4, 5, 6].map((each) => gateway(each, each > 4 ? 1.35 : 0.243));
    const services = Array.from({ length: 50 }, (_, index) => `service-${String(index)}`);
    for (const service of services) {
      const chosen = chooseScheduler(gateways, service, services);
      assert.match(chosen ?? '', /^10\.0\.0\.[56]:/);
    }
  });

  // Answers come late for seconds after each restart. The gateway that schedules was killed, another
  // one took over, and the first one got its part back the moment it was up again, knowing nothing.
  it('stays the same when one starts again', () => {
    const before = [gateway(1, 0.5), gateway(2, 0.5), gateway(3, 0.5)];
    const without = before.slice(1);
    const after = [...without, gateway(1, 0.5, 9)];
    assert.equal(chooseScheduler(before, 's', SERVICES), '10.0.0.1:7380');
    assert.equal(chooseScheduler(without, 's', SERVICES), '10.0.0.2:7380');
    assert.equal(chooseScheduler(after, 's', SERVICES), '10.0.0.2:7380');
  });

  it('is another one for each of several services', () => {
    const gateways = [1, 2, 3].map((each) => gateway(each, 0.5));
    const services = ['a', 'b', 'c'];
    const chosen = services.map((service) => chooseScheduler(gateways, service, services));
    assert.equal(new Set(chosen).size, 3);
  });

  it('is the same for all, in whatever order they know each other', () => {
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
