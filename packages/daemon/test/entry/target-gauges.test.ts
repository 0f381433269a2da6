/** The gauges that tell what an entry knows of its targets from what its router acts on. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { EngineRole } from '@cassiamast/coordination';
import type { Policies } from '../../src/entry/policies.js';
import { setTargetGauges } from '../../src/entry/target-gauges.js';

describe('gauges of targets', () => {
  // Guards against a router that was not told of its targets, while all else looks well.
  it('tell a target that is open and not routed to', () => {
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
