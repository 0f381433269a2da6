/**
 * Where the configuration lives in the key-value service. The current document and the history are
 * written in one transaction, so that the history always ends with the version in force.
 */

/** Holds the current {@link ConfigurationDocument} as JSON; changed by compare-and-swap only. */
export const CONFIGURATION_CURRENT_KEY = 'cassiamast/config/current';

/** Holds the small {@link ConfigurationHead} that members watch instead of the whole document. */
export const CONFIGURATION_HEAD_KEY = 'cassiamast/config/head';

/** Every key of the history begins with this. */
export const CONFIGURATION_HISTORY_PREFIX = 'cassiamast/config/history/';

/** Versions kept; at 650 edits a day about two hours, and at most 64 MB in the service. */
export const MAX_HISTORY_VERSIONS = 64;

/** Digits of a version in a key, so that keys sort as versions do. */
const VERSION_DIGITS = 12;

/** The history key of one version. */
export function historyKey(version: number): string {
  return CONFIGURATION_HISTORY_PREFIX + String(version).padStart(VERSION_DIGITS, '0');
}

/** The version that a history key names, or null for any other key. */
export function historyVersion(key: string): number | null {
  if (!key.startsWith(CONFIGURATION_HISTORY_PREFIX)) return null;
  const digits = key.slice(CONFIGURATION_HISTORY_PREFIX.length);
  return /^\d+$/.test(digits) ? Number(digits) : null;
}

/** The version that leaves the history when `version` enters it, or null while it has room. */
export function prunedVersion(version: number): number | null {
  const oldest = version - MAX_HISTORY_VERSIONS;
  return oldest >= 1 ? oldest : null;
}
