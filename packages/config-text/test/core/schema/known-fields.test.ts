/** Tests which fields are known at a path and which name is suggested for an unknown one. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { editDistance, nearestName } from '../../../src/core/faults/nearest.js';
import { knownFields } from '../../../src/core/schema/known-fields.js';

describe('suggestions', () => {
  it('come from the fields allowed at the path', () => {
    assert.ok(knownFields([]).includes('services'));
    assert.ok(knownFields(['services', 0]).includes('dependsOn'));
    assert.ok(knownFields(['services', 0, 'targets', 1]).includes('withdrawn'));
    assert.deepEqual(knownFields(['services', 0, 'name']), []);
  });

  it('are omitted unless a known name is close enough', () => {
    assert.equal(editDistance('kitten', 'sitting'), 3);
    assert.equal(nearestName('Withdrawn', ['withdrawn', 'sidecar']), 'withdrawn');
    assert.equal(nearestName('zzz', ['withdrawn', 'sidecar']), null);
    assert.equal(nearestName('w'.repeat(5_000), ['withdrawn']), null);
  });
});
