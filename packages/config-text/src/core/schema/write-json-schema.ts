/**
 * Writes the committed JSON Schema anew: `node packages/config-text/dist/src/core/schema/write-json-schema.js`.
 * Run it, and then the formatter, after a change of the schema.
 */
import { writeFileSync } from 'node:fs';
import { textJsonSchema } from './json-schema.js';

const TARGET = new URL('../../../../schema/cassiamast.schema.json', import.meta.url);

writeFileSync(TARGET, `${JSON.stringify(textJsonSchema(), null, 2)}\n`);
