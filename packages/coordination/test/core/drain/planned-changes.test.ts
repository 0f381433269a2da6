/** Tests the admission of concurrent planned changes. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import type { ChangeRequest, ServiceSnapshot } from '../../../src/index.js';
import {
  ChangeKind,
  MAX_CHANGES,
  WaitReason,
  addChange,
  admitChanges,
} from '../../../src/index.js';

function service(name: string, targets: number, floorTargets: number): ServiceSnapshot {
  return {
    name,
    dependsOn: [],
    floorTargets,
    removed: false,
    targets: Array.from({ length: targets }, (_, index) => ({
      name: `${name}-${String(index)}`,
      failureDomain: `fd-${String(index % 3)}`,
      serving: true,
    })),
  };
}

function change(target: string, changes: Partial<ChangeRequest> = {}): ChangeRequest {
  const [name = ''] = target.split('-');
  const defaults = { kind: ChangeKind.RoleChange, forced: false, requestedAtMs: 0 };
  return { id: target, service: name, target, ...defaults, ...changes };
}

const NONE = new Set<string>();

describe('planned changes', () => {
  /**
   * Three replacements, a role change and a withdrawal are requested within a second. Each alone is
   * harmless; started together, they leave the service without any target.
   */
  describe('requested together', () => {
    it('never take a service below its floor, for any requests in any order', () => {
      const targetIndexes = fc.array(fc.integer({ min: 0, max: 7 }), { maxLength: 12 });
      fc.assert(
        fc.property(
          targetIndexes,
          fc.integer({ min: 0, max: 8 }),
          targetIndexes,
          (indexes, floor, down) => {
            const fullService = service('a', 8, floor);
            const targets = fullService.targets.map((target, index) => ({
              ...target,
              serving: !down.includes(index),
            }));
            const before = targets.filter((target) => target.serving).length;
            const requests = indexes.map((index, position) =>
              change(`a-${String(index)}`, { id: String(position) }),
            );
            const { admitted } = admitChanges([{ ...fullService, targets }], requests, NONE);
            const admittedTargets = new Set(admitted.map((request) => request.target));
            const after = targets.filter(
              ({ name, serving }) => serving && !admittedTargets.has(name),
            ).length;
            assert.ok(after >= Math.min(before, floor));
          },
        ),
        { seed: 1, numRuns: 500 },
      );
    });

    it('count changes that are already in progress', () => {
      const changingTargets = new Set(['a-0']);
      const { waiting } = admitChanges([service('a', 3, 2)], [change('a-1')], changingTargets);
      assert.equal(waiting[0]?.reason, WaitReason.Floor);
    });

    it('affect only one failure domain of a service at a time', () => {
      const requests = [change('a-0'), change('a-1'), change('a-3')];
      const { admitted, waiting } = admitChanges([service('a', 9, 1)], requests, NONE);
      assert.deepEqual(
        admitted.map((request) => request.target),
        ['a-0', 'a-3'],
      );
      assert.equal(waiting[0]?.reason, WaitReason.OtherDomain);
    });

    it('admit a forced change first and make the others wait for it', () => {
      const requests = [change('a-1'), change('a-0', { forced: true, requestedAtMs: 9 })];
      const { admitted, waiting } = admitChanges([service('a', 3, 2)], requests, NONE);
      assert.deepEqual(
        admitted.map((request) => request.target),
        ['a-0'],
      );
      assert.equal(waiting[0]?.request.target, 'a-1');
    });

    it('of an unknown target wait for that reason', () => {
      const { waiting } = admitChanges([service('a', 3, 0)], [change('b-1')], NONE);
      assert.equal(waiting[0]?.reason, WaitReason.UnknownTarget);
    });
  });

  describe('dependencies', () => {
    // Two services are removed in one edit while requests to the upper one still call the lower one.
    it('keep a removed service serving until its dependents are drained', () => {
      const lower = { ...service('low', 2, 1), removed: true };
      const upper = { ...service('up', 1, 1), removed: true, dependsOn: ['low'] };
      const requests = [change('low-0'), change('low-1'), change('up-0')];
      const first = admitChanges([lower, upper], requests, NONE);
      const changing = new Set(first.admitted.map((request) => request.target));
      assert.deepEqual([...changing], ['low-0', 'up-0']);
      assert.equal(first.waiting[0]?.reason, WaitReason.Dependents);
      const idle = upper.targets.map((target) => ({ ...target, serving: false }));
      const second = admitChanges([lower, { ...upper, targets: idle }], requests, changing);
      assert.deepEqual(
        second.admitted.map((request) => request.target),
        ['low-1'],
      );
    });
  });

  describe('bounds', () => {
    it('reject requests beyond the maximum, but not one that is queued already', () => {
      const requests = new Map<string, ChangeRequest>();
      for (let index = 0; index < MAX_CHANGES; index += 1) {
        assert.ok(addChange(requests, change(`a-${String(index)}`)).isOk());
      }
      const rejected = addChange(requests, change('b-0'));
      assert.equal(rejected._unsafeUnwrapErr().name, 'too-many-changes');
      assert.ok(addChange(requests, change('a-0')).isOk());
    });
  });
});
