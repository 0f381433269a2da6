/**
 * The fields that the schema knows at a path, for the suggestion beside an unknown one.
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

/** Mappings of the schema by the last field name on the way to them. */
const MAPPINGS: ReadonlyMap<string, z.ZodObject> = new Map<string, z.ZodObject>([
  ['services', serviceSchema],
  ['workspaces', workspaceSchema],
  ['limits', limitsSchema],
  ['goals', goalsSchema],
  ['models', modelSchema],
  ['calls', callSchema],
  ['targets', targetSchema],
]);

/** Names of the fields allowed at the path; none for a path that leads to no mapping. */
export function knownFields(path: TextPath): readonly string[] {
  const lastField = path.filter((part) => typeof part === 'string').at(-1);
  const mapping = lastField === undefined ? textSchema : MAPPINGS.get(lastField);
  return Object.keys(mapping?.shape ?? {});
}
