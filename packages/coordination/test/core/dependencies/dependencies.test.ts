/** Tests the effects of dependencies on readiness, the drain order and the order of shedding. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import {
  dependencyDepths,
  drainOrder,
  findDependencyCycle,
} from '../../../src/core/dependencies/graph.js';
import { readinessOf, UnreadyCause } from '../../../src/core/dependencies/readiness.js';
import { effectivePriorities, shedOrder } from '../../../src/core/dependencies/shedding.js';

const SEED = 20_261_202;

function service(name: string, dependsOn: readonly string[] = [], priority = 50) {
  return { name, dependsOn, priority };
}

const PORTAL = service('portal', ['llm', 'store'], 80);
const LLM = service('llm', [], 20);
const STORE = service('store', ['llm'], 10);
const FLEET = [PORTAL, LLM, STORE];

describe('dependencies', () => {
  describe('cycles', () => {
    it('are found and returned in order', () => {
      const cycle = findDependencyCycle([
        service('a', ['b']),
        service('b', ['c']),
        service('c', ['b']),
      ]);
      assert.deepEqual(cycle, ['b', 'c', 'b']);
    });

    it('are not reported for services that share a dependency', () => {
      assert.equal(findDependencyCycle(FLEET), null);
    });

    it('do not hang the other functions if validation missed one', () => {
      const cycle = [service('a', ['b']), service('b', ['a'])];
      assert.equal(dependencyDepths(cycle).size, 2);
      assert.equal(readinessOf(cycle, () => 1).size, 2);
      assert.equal(shedOrder(cycle).length, 2);
    });
  });

  describe('readiness', () => {
    it('requires a serving target of the service and of its dependencies', () => {
      const serving = new Map([
        ['portal', 3],
        ['llm', 0],
        ['store', 1],
      ]);
      const readiness = readinessOf(FLEET, (name) => serving.get(name) ?? 0);
      const unready = { ready: false, cause: UnreadyCause.Dependency, service: 'llm' };
      assert.deepEqual(readiness.get('portal'), unready);
      assert.deepEqual(readiness.get('store'), unready);
      assert.deepEqual(readiness.get('llm'), { ...unready, cause: UnreadyCause.NoTarget });
    });

    it('holds for all services when all have serving targets', () => {
      const readiness = readinessOf(FLEET, () => 1);
      assert.deepEqual(
        [...readiness.values()].map(({ ready }) => ready),
        [true, true, true],
      );
    });

    it('reports an unknown dependency', () => {
      const readiness = readinessOf([service('a', ['gone'])], () => 1);
      assert.deepEqual(readiness.get('a'), {
        ready: false,
        cause: UnreadyCause.UnknownDependency,
        service: 'gone',
      });
    });
  });

  describe('stopping', () => {
    it('stops dependents before their dependencies', () => {
      assert.deepEqual(drainOrder(FLEET), [['portal'], ['store'], ['llm']]);
    });

    it('keeps that order in every acyclic graph', () => {
      fc.assert(
        fc.property(acyclicServices(), (services) => {
          const wave = new Map(
            drainOrder(services).flatMap((names, index) => names.map((name) => [name, index])),
          );
          for (const { name, dependsOn } of services) {
            for (const other of dependsOn)
              assert.ok((wave.get(name) ?? 0) < (wave.get(other) ?? 0));
          }
        }),
        { seed: SEED },
      );
    });
  });

  describe('shedding', () => {
    it('keeps a dependency as long as its most important dependent', () => {
      assert.deepEqual(
        effectivePriorities(FLEET),
        new Map([
          ['portal', 80],
          ['llm', 80],
          ['store', 80],
        ]),
      );
      assert.deepEqual(shedOrder(FLEET), ['portal', 'store', 'llm']);
    });

    it('never sheds a dependency before its dependent', () => {
      fc.assert(
        fc.property(acyclicServices(), (services) => {
          const order = shedOrder(services);
          for (const { name, dependsOn } of services) {
            for (const other of dependsOn) assert.ok(order.indexOf(name) < order.indexOf(other));
          }
        }),
        { seed: SEED },
      );
    });
  });
});

/** Generates up to twelve services, each of which depends only on services with a lower number. */
function acyclicServices() {
  const spec = fc.record({ priority: fc.nat(100), below: fc.array(fc.nat(11), { maxLength: 3 }) });
  return fc.array(spec, { minLength: 1, maxLength: 12 }).map((specs) =>
    specs.map(({ priority, below }, index) => {
      const names = new Set(
        below.filter((other) => other < index).map((other) => `s${String(other)}`),
      );
      return service(`s${String(index)}`, [...names], priority);
    }),
  );
}
