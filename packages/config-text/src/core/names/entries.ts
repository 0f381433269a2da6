/**
 * Extracts names, addresses and digests with their paths from unvalidated data. Malformed values
 * are skipped, so name faults can be reported together with structural faults.
 */
import type { TextPath } from '../faults/fault.js';

/** A string value and its path. */
export interface TextEntry {
  readonly value: string;
  readonly path: TextPath;
}

/** A mapping in the raw data and its path. */
export interface MappingEntry {
  readonly fields: Readonly<Record<string, unknown>>;
  readonly path: TextPath;
}

/** Returns the value if it is a mapping, otherwise an empty mapping. */
function asMapping(value: unknown): Readonly<Record<string, unknown>> {
  const isMapping = typeof value === 'object' && value !== null && !Array.isArray(value);
  return isMapping ? (value as Record<string, unknown>) : {};
}

function ownField(fields: Readonly<Record<string, unknown>>, name: string): unknown {
  return Object.hasOwn(fields, name) ? fields[name] : undefined;
}

/** Returns the root mapping of the raw data. */
export function rootEntry(raw: unknown): MappingEntry {
  return { fields: asMapping(raw), path: [] };
}

/** Returns one entry for each item of a list field; an item that is not a mapping has no fields. */
export function mappingsIn(parent: MappingEntry, field: string): MappingEntry[] {
  const list = ownField(parent.fields, field);
  if (!Array.isArray(list)) return [];
  return list.map((item: unknown, index) => ({
    fields: asMapping(item),
    path: [...parent.path, field, index],
  }));
}

/** Returns the strings in a list field. */
export function textsIn(parent: MappingEntry, field: string): TextEntry[] {
  const list = ownField(parent.fields, field);
  if (!Array.isArray(list)) return [];
  return list.flatMap((item: unknown, index) =>
    typeof item === 'string' ? [{ value: item, path: [...parent.path, field, index] }] : [],
  );
}

/** Returns the string in a field as a list of one entry, or an empty list if there is none. */
export function textOf(parent: MappingEntry, field: string): TextEntry[] {
  const value = ownField(parent.fields, field);
  return typeof value === 'string' ? [{ value, path: [...parent.path, field] }] : [];
}
