/**
 * Names the keys of the configuration in the key-value service. The current document and the history
 * are written in one transaction, so the history always ends with the current version.
 */

/** Key of the current {@link ConfigurationDocument} as JSON; changed by compare-and-swap only. */
export const CONFIGURATION_CURRENT_KEY = 'cassiamast/config/current';

/** Key of the small {@link ConfigurationHead}, which members watch instead of the whole document. */
export const CONFIGURATION_HEAD_KEY = 'cassiamast/config/head';

/** Prefix of all history keys. */
export const CONFIGURATION_HISTORY_PREFIX = 'cassiamast/config/history/';

/** Versions kept in the history: about two hours at 650 edits a day, and at most 64 MB of storage. */
export const MAX_HISTORY_VERSIONS = 64;

/** Versions in keys are zero-padded to this length, so that keys sort in version order. */
const VERSION_DIGITS = 12;

/** Returns the history key of a version. */
export function historyKey(version: number): string {
  return CONFIGURATION_HISTORY_PREFIX + String(version).padStart(VERSION_DIGITS, '0');
}

/** Returns the version of a history key, or null for any other key. */
export function historyVersion(key: string): number | null {
  if (!key.startsWith(CONFIGURATION_HISTORY_PREFIX)) return null;
  const digits = key.slice(CONFIGURATION_HISTORY_PREFIX.length);
  return /^\d+$/.test(digits) ? Number(digits) : null;
}

/** Returns the version to delete from the history when `version` is added, or null if none. */
export function prunedVersion(version: number): number | null {
  const oldest = version - MAX_HISTORY_VERSIONS;
  return oldest >= 1 ? oldest : null;
}
