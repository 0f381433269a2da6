/**
 * The two keys of the configuration. The document may reach a megabyte, so members that watch it
 * would spend their budget on reading it again and again; a small head key, written by the same
 * transaction, says which version is in force and which edits led to it.
 */
import type { ConfigurationDocument } from '../model/configuration.js';

/** Edits remembered in the head: an editor whose answer was lost finds its edit among these. */
export const REMEMBERED_EDITS = 64;

/** What the head key holds, as JSON. */
export interface ConfigurationHead {
  readonly version: number;
  readonly editId: string;
  /** Latest first, this edit included; at most {@link REMEMBERED_EDITS}. */
  readonly recentEdits: readonly { readonly version: number; readonly editId: string }[];
}

/** The head that belongs to the document after `previous`. */
export function headAfter(
  previous: ConfigurationHead | null,
  document: ConfigurationDocument,
): ConfigurationHead {
  const { version, editId } = document;
  const recentEdits = [{ version, editId }, ...(previous?.recentEdits ?? [])];
  return { version, editId, recentEdits: recentEdits.slice(0, REMEMBERED_EDITS) };
}

function isVersion(value: unknown): value is number {
  return typeof value === 'number' && Number.isSafeInteger(value) && value >= 1;
}

/** Reads a head key's value; null when it is not one. */
export function parseHead(value: string): ConfigurationHead | null {
  const parsed = parseObject(value);
  if (parsed === null || !isVersion(parsed['version']) || typeof parsed['editId'] !== 'string') {
    return null;
  }
  return Array.isArray(parsed['recentEdits']) ? (parsed as unknown as ConfigurationHead) : null;
}

/** Reads the document key's value; null when it is not one. */
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
