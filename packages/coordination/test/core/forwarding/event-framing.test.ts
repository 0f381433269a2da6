/** Splits a stream into complete events. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import * as fc from 'fast-check';
import { createEventFraming, hasPartialEvent, addEventBytes } from '../../../src/index.js';

describe('event framing', () => {
  it('forwards complete events, however the bytes are split', () => {
    const events = [
      'id: 1\ndata: a\n\n',
      'id: 2\r\ndata: b\r\n\r\n',
      ': note\n\n',
      'id: 3\ndata: c\n\n',
    ];
    const bytes = Buffer.from(events.join(''));
    fc.assert(
      fc.property(fc.array(fc.nat(bytes.length)), (cuts) => {
        const framing = createEventFraming();
        const offsets = [0, ...cuts.sort((a, b) => a - b), bytes.length];
        const parts = offsets
          .slice(1)
          .map((end, index) => addEventBytes(framing, bytes.subarray(offsets[index], end)));
        assert.equal(Buffer.concat(parts).toString(), bytes.toString());
        assert.equal(hasPartialEvent(framing), false);
        assert.equal(framing.lastEventId, '3');
      }),
      { seed: 2 },
    );
  });

  // An engine crashes while it writes an event. If the partial event were forwarded, the caller would
  // receive it before the complete event that another engine sends.
  it('withholds an event that an engine did not complete', () => {
    const framing = createEventFraming();
    const whole = addEventBytes(framing, Buffer.from('id: 1\ndata: a\n\nid: 2\ndata: b'));
    assert.equal(whole.toString(), 'id: 1\ndata: a\n\n');
    assert.equal(hasPartialEvent(framing), true);
    assert.equal(framing.lastEventId, '1');
  });
});
