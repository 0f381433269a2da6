/**
 * Reads and writes the values of the configuration's two keys. The document may reach a megabyte,
 * and watching it would make members read all of it for every event. A small head key, written by
 * the same transaction, therefore names the current version and the edits that led to it.
 */
import type { ConfigurationDocument } from '../model/configuration.js';

/** Number of recent edits listed in the head, where an editor looks for its edit after a lost answer. */
export const MAX_RECENT_EDITS = 64;

/** The value of the head key, stored as JSON. */
export interface ConfigurationHead {
  readonly version: number;
  readonly editId: string;
  /** Latest first, including the current edit; at most {@link MAX_RECENT_EDITS}. */
  readonly recentEdits: readonly { readonly version: number; readonly editId: string }[];
}

/** Returns the head for `document`, which follows the head `previous`. */
export function headAfter(
  previous: ConfigurationHead | null,
  document: ConfigurationDocument,
): ConfigurationHead {
  const { version, editId } = document;
  const recentEdits = [{ version, editId }, ...(previous?.recentEdits ?? [])];
  return { version, editId, recentEdits: recentEdits.slice(0, MAX_RECENT_EDITS) };
}

function isVersion(value: unknown): value is number {
  return typeof value === 'number' && Number.isSafeInteger(value) && value >= 1;
}

/** Parses the value of the head key; returns null when it is malformed. */
export function parseHead(value: string): ConfigurationHead | null {
  const parsed = parseObject(value);
  if (parsed === null || !isVersion(parsed['version']) || typeof parsed['editId'] !== 'string') {
    return null;
  }
  return Array.isArray(parsed['recentEdits']) ? (parsed as unknown as ConfigurationHead) : null;
}

/** Parses the value of the document key; returns null when it is malformed. */
export function parseDocument(value: string): ConfigurationDocument | null {
  const parsed = parseObject(value);
  if (parsed === null || !isVersion(parsed['version']) || typeof parsed['editId'] !== 'string') {
    return null;
  }
  const compiled = parsed['compiled'];
  if (typeof compiled !== 'object' || compiled === null) return null;
  return parsed as unknown as ConfigurationDocument;
}

function parseObject(value: string): Record<string, unknown> | null {
  try {
    const parsed: unknown = JSON.parse(value);
    return typeof parsed === 'object' && parsed !== null
      ? (parsed as Record<string, unknown>)
      : null;
  } catch {
    return null;
  }
}
