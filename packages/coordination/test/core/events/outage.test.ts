/** Detection of the beginning and end of an outage. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  createOutageWatch,
  recordCallFailure,
  recordCallSuccess,
  OUTAGE_FAILURES,
  OutageChange,
} from '../../../src/core/events/outage.js';

describe('an outage', () => {
  it('begins once, after several consecutive failures', () => {
    const watch = createOutageWatch();
    const changes = Array.from({ length: 5 }, (_, index) =>
      recordCallFailure(watch, index * 1_000),
    );
    assert.deepEqual(changes.indexOf(OutageChange.Began), OUTAGE_FAILURES - 1);
    assert.equal(changes.filter((change) => change !== OutageChange.None).length, 1);
    assert.equal(watch.outSinceMs, (OUTAGE_FAILURES - 1) * 1_000);
  });

  it('ends at the first success', () => {
    const watch = createOutageWatch();
    for (let call = 0; call < OUTAGE_FAILURES; call += 1) recordCallFailure(watch, call);
    assert.equal(recordCallSuccess(watch), OutageChange.Ended);
    assert.equal(recordCallSuccess(watch), OutageChange.None);
  });

  it('does not begin because of isolated failures', () => {
    const watch = createOutageWatch();
    for (let call = 0; call < 100; call += 1) {
      assert.equal(recordCallFailure(watch, call), OutageChange.None);
      assert.equal(recordCallSuccess(watch), OutageChange.None);
    }
  });
});
