/** Tests that the committed JSON Schema matches the generated one. */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { describe, it } from 'node:test';
import { textJsonSchema } from '../../../src/core/schema/json-schema.js';

const COMMITTED = new URL('../../../../schema/cassiamast.schema.json', import.meta.url);

describe('the JSON Schema for editors', () => {
  it('matches the committed file', () => {
    const committed: unknown = JSON.parse(readFileSync(COMMITTED, 'utf8'));
    const generated: unknown = JSON.parse(JSON.stringify(textJsonSchema()));
    assert.deepEqual(
      committed,
      generated,
      'run packages/config-text/dist/src/core/schema/write-json-schema.js',
    );
  });

  it('contains the patterns of quantities and disallows unknown fields', () => {
    const text = JSON.stringify(textJsonSchema());
    assert.ok(text.includes(String.raw`(ms|s|min|h)$`));
    assert.ok(text.includes('"additionalProperties":false'));
  });
});
