/**
 * Looks up the fields that the schema allows at a path, to suggest a name for an unknown field.
 */
import type { z } from 'zod';
import type { TextPath } from '../faults/fault.js';
import {
  callSchema,
  goalsSchema,
  limitsSchema,
  modelSchema,
  serviceSchema,
  targetSchema,
  textSchema,
  workspaceSchema,
} from './schema.js';

/** Mapping schemas by the last field name in their path. */
const SCHEMA_BY_FIELD: ReadonlyMap<string, z.ZodObject> = new Map<string, z.ZodObject>([
  ['services', serviceSchema],
  ['workspaces', workspaceSchema],
  ['limits', limitsSchema],
  ['goals', goalsSchema],
  ['models', modelSchema],
  ['calls', callSchema],
  ['targets', targetSchema],
]);

/** Returns the names of the fields allowed at the path, or an empty list if it is not a mapping. */
export function knownFields(path: TextPath): readonly string[] {
  const lastField = path.filter((part) => typeof part === 'string').at(-1);
  const mapping = lastField === undefined ? textSchema : SCHEMA_BY_FIELD.get(lastField);
  return Object.keys(mapping?.shape ?? {});
}
