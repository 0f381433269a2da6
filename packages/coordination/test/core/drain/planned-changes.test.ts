/** Several planned changes together. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import type { ChangeRequest, ServiceStanding } from '../../../src/index.js';
import {
  ChangeKind,
  MAX_CHANGES,
  WaitReason,
  addChange,
  admitChanges,
} from '../../../src/index.js';

function service(name: string, targets: number, floorTargets: number): ServiceStanding {
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
  const fixed = { kind: ChangeKind.RoleChange, forced: false, askedAtMs: 0 };
  return { id: target, service: name, target, ...fixed, ...changes };
}

const NONE = new Set<string>();

describe('planned changes', () => {
  /**
   * Three replacements, a role change and a withdrawal are asked for within a second. Each alone is
   * harmless; begun together they leave the service with no target at all.
   */
  describe('together', () => {
    it('never take a service below its floor, whatever is asked for in whichever order', () => {
      const asked = fc.array(fc.integer({ min: 0, max: 7 }), { maxLength: 12 });
      fc.assert(
        fc.property(asked, fc.integer({ min: 0, max: 8 }), asked, (indexes, floor, down) => {
          const whole = service('a', 8, floor);
          const targets = whole.targets.map((target, index) => ({
            ...target,
            serving: !down.includes(index),
          }));
          const before = targets.filter((target) => target.serving).length;
          const requests = indexes.map((index, place) =>
            change(`a-${String(index)}`, { id: String(place) }),
          );
          const { admitted } = admitChanges([{ ...whole, targets }], requests, NONE);
          const gone = new Set(admitted.map((request) => request.target));
          const after = targets.filter(({ name, serving }) => serving && !gone.has(name)).length;
          assert.ok(after >= Math.min(before, floor));
        }),
        { seed: 1, numRuns: 500 },
      );
    });

    it('count what is already under way', () => {
      const underWay = new Set(['a-0']);
      const { waiting } = admitChanges([service('a', 3, 2)], [change('a-1')], underWay);
      assert.equal(waiting[0]?.reason, WaitReason.Floor);
    });

    it('keep to one failure domain of a service at a time', () => {
      const requests = [change('a-0'), change('a-1'), change('a-3')];
      const { admitted, waiting } = admitChanges([service('a', 9, 1)], requests, NONE);
      assert.deepEqual(
        admitted.map((request) => request.target),
        ['a-0', 'a-3'],
      );
      assert.equal(waiting[0]?.reason, WaitReason.OtherDomain);
    });

    it('let a target that leaves anyway go first, and make the others wait for it', () => {
      const requests = [change('a-1'), change('a-0', { forced: true, askedAtMs: 9 })];
      const { admitted, waiting } = admitChanges([service('a', 3, 2)], requests, NONE);
      assert.deepEqual(
        admitted.map((request) => request.target),
        ['a-0'],
      );
      assert.equal(waiting[0]?.request.target, 'a-1');
    });

    it('of an unknown target wait with that reason', () => {
      const { waiting } = admitChanges([service('a', 3, 0)], [change('b-1')], NONE);
      assert.equal(waiting[0]?.reason, WaitReason.UnknownTarget);
    });
  });

  describe('dependencies', () => {
    /** Two services are removed in one edit; requests to the upper one still call the lower one. */
    it('keep a removed service up until its dependents are drained', () => {
      const lower = { ...service('low', 2, 1), removed: true };
      const upper = { ...service('up', 1, 1), removed: true, dependsOn: ['low'] };
      const requests = [change('low-0'), change('low-1'), change('up-0')];
      const first = admitChanges([lower, upper], requests, NONE);
      const began = new Set(first.admitted.map((request) => request.target));
      assert.deepEqual([...began], ['low-0', 'up-0']);
      assert.equal(first.waiting[0]?.reason, WaitReason.Dependents);
      const idle = upper.targets.map((target) => ({ ...target, serving: false }));
      const second = admitChanges([lower, { ...upper, targets: idle }], requests, began);
      assert.deepEqual(
        second.admitted.map((request) => request.target),
        ['low-1'],
      );
    });
  });

  describe('bounds', () => {
    it('refuse more requests than are kept, but not one that is kept already', () => {
      const requests = new Map<string, ChangeRequest>();
      for (let index = 0; index < MAX_CHANGES; index += 1) {
        assert.ok(addChange(requests, change(`a-${String(index)}`)).isOk());
      }
      const refused = addChange(requests, change('b-0'));
      assert.equal(refused._unsafeUnwrapErr().name, 'too-many-changes');
      assert.ok(addChange(requests, change('a-0')).isOk());
    });
  });
});
