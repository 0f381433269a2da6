/** A catalogue entry creates messages from its data and recognizes its occurrences. */
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
    it('has a message built from its own data', () => {
      const failure = PORT_TAKEN.of({ port: 80 });
      assert.equal(failure.message, 'Port 80 is in use.');
      assert.deepEqual(failure.data, { port: 80 });
    });

    it('is recognized only by its own entry, also after a JSON round trip', () => {
      const failure = JSON.parse(JSON.stringify(PORT_TAKEN.of({ port: 80 })));
      assert.equal(PORT_TAKEN.is(failure), true);
      assert.equal(OTHER.is(failure), false);
    });
  });
});
