/** Tests the gauges that compare the target directory with the router's view. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { EngineRole } from '@cassiamast/coordination';
import type { Policies } from '../../src/entry/policies.js';
import { setTargetGauges } from '../../src/entry/target-gauges.js';

describe('target gauges', () => {
  // A router that missed a target update ignores a working target, while everything else looks
  // healthy.
  it('show a target that is open but not routed to', () => {
    const gauges = new Map<string, ReadonlyMap<string, number>>();
    const views = new Map([['told', { accepting: true }]]);
    const info = { failureDomain: 'fd', role: EngineRole.Mixed, accepting: true };
    setTargetGauges({
      services: () => [{ name: 's' }, { name: 'plain' }],
      directory: {
        infos: (name) =>
          name === 's'
            ? [
                { ...info, name: 'told' },
                { ...info, name: 'untold' },
              ]
            : [],
      },
      policies: {
        models: () =>
          new Map([['s', { router: { views } }]]) as unknown as ReturnType<Policies['models']>,
      },
      gauge: (name, values) => gauges.set(name, values),
    });
    assert.deepEqual(Object.fromEntries(gauges.get('target_open') ?? []), { told: 1, untold: 1 });
    assert.deepEqual(Object.fromEntries(gauges.get('target_routed') ?? []), { told: 1, untold: 0 });
  });
});
