/**
 * The JSON Schema of the text, for editors that complete and check it while it is typed. It is
 * committed as `schema/cassiamast.schema.json`, and a test keeps that file current.
 */
import { z } from 'zod';
import { textSchema } from './schema.js';

/** Makes the JSON Schema of what operators write, before defaults and units are resolved. */
export function textJsonSchema(): object {
  const schema = z.toJSONSchema(textSchema, { io: 'input' });
  return { ...schema, title: 'The text of a cassiamast deployment' };
}
