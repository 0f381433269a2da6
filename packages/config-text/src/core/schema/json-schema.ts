/**
 * Generates the JSON Schema that editors use for completion and validation of the text. The result
 * is committed as `schema/cassiamast.schema.json`; a test fails if that file is out of date.
 */
import { z } from 'zod';
import { textSchema } from './schema.js';

/** Returns the JSON Schema of the text as written, before defaults and units are resolved. */
export function textJsonSchema(): object {
  const schema = z.toJSONSchema(textSchema, { io: 'input' });
  return { ...schema, title: 'The text of a cassiamast deployment' };
}
