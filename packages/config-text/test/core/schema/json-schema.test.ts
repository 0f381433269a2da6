/** The committed JSON Schema is the one that the code makes. */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { describe, it } from 'node:test';
import { textJsonSchema } from '../../../src/core/schema/json-schema.js';

const COMMITTED = new URL('../../../../schema/cassiamast.schema.json', import.meta.url);

describe('the JSON Schema for editors', () => {
  it('is committed in its current form', () => {
    const committed: unknown = JSON.parse(readFileSync(COMMITTED, 'utf8'));
    const made: unknown = JSON.parse(JSON.stringify(textJsonSchema()));
    assert.deepEqual(
      committed,
      made,
      'run packages/config-text/dist/src/core/schema/write-json-schema.js',
    );
  });

  it('carries the pattern of quantities and refuses unknown fields', () => {
    const text = JSON.stringify(textJsonSchema());
    assert.ok(text.includes(String.raw`(ms|s|min|h)$`));
    assert.ok(text.includes('"additionalProperties":false'));
  });
});
