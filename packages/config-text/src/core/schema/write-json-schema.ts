/**
 * Regenerates the committed JSON Schema. After changing the schema, run
 * `node packages/config-text/dist/src/core/schema/write-json-schema.js` and then the formatter.
 */
import { writeFileSync } from 'node:fs';
import { textJsonSchema } from './json-schema.js';

const SCHEMA_FILE = new URL('../../../../schema/cassiamast.schema.json', import.meta.url);

writeFileSync(SCHEMA_FILE, `${JSON.stringify(textJsonSchema(), null, 2)}\n`);
