/** The catalogue: an entry explains itself from its own data and recognises its occurrences. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { defineFailure } from '../../../src/core/failures/failure.js';

const PORT_TAKEN = defineFailure({
  name: 'port-taken',
  title: 'The port is taken',
  message: (data: { readonly port: number }) => `Port ${String(data.port)} is in use.`,
  hint: 'Stop the other process or change the port in the settings.',
});
const OTHER = defineFailure({ name: 'other', title: 'Other', message: () => 'Other.', hint: '-' });

describe('failure catalogue', () => {
  describe('an occurrence', () => {
    it('carries the message made from its own data', () => {
      const failure = PORT_TAKEN.of({ port: 80 });
      assert.equal(failure.message, 'Port 80 is in use.');
      assert.deepEqual(failure.data, { port: 80 });
    });

    it('is recognised by its own entry only, also after JSON', () => {
      const failure = JSON.parse(JSON.stringify(PORT_TAKEN.of({ port: 80 })));
      assert.equal(PORT_TAKEN.is(failure), true);
      assert.equal(OTHER.is(failure), false);
    });
  });
});
