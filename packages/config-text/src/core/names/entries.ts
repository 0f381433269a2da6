/**
 * A lenient reading of the raw data: which names, addresses and digests stand where. It skips
 * whatever is malformed, so that faults of names are reported together with faults of form.
 */
import type { TextPath } from '../faults/fault.js';

/** A text value and where it stands. */
export interface TextEntry {
  readonly value: string;
  readonly path: TextPath;
}

/** A mapping of the raw data and where it stands. */
export interface MappingEntry {
  readonly fields: Readonly<Record<string, unknown>>;
  readonly path: TextPath;
}

/** The mapping itself, or one without fields for anything else. */
function asMapping(value: unknown): Readonly<Record<string, unknown>> {
  const isMapping = typeof value === 'object' && value !== null && !Array.isArray(value);
  return isMapping ? (value as Record<string, unknown>) : {};
}

function ownField(fields: Readonly<Record<string, unknown>>, name: string): unknown {
  return Object.hasOwn(fields, name) ? fields[name] : undefined;
}

/** The root of the raw data. */
export function rootEntry(raw: unknown): MappingEntry {
  return { fields: asMapping(raw), path: [] };
}

/** The mappings in a list field. */
export function mappingsIn(parent: MappingEntry, field: string): MappingEntry[] {
  const list = ownField(parent.fields, field);
  if (!Array.isArray(list)) return [];
  return list.map((item: unknown, index) => ({
    fields: asMapping(item),
    path: [...parent.path, field, index],
  }));
}

/** The texts in a list field. */
export function textsIn(parent: MappingEntry, field: string): TextEntry[] {
  const list = ownField(parent.fields, field);
  if (!Array.isArray(list)) return [];
  return list.flatMap((item: unknown, index) =>
    typeof item === 'string' ? [{ value: item, path: [...parent.path, field, index] }] : [],
  );
}

/** The text in a field, as a list of one or none. */
export function textOf(parent: MappingEntry, field: string): TextEntry[] {
  const value = ownField(parent.fields, field);
  return typeof value === 'string' ? [{ value, path: [...parent.path, field] }] : [];
}
