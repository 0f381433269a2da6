/**
 * Reads the configuration and its history from the key-value service.
 */
import {
  CONFIGURATION_CURRENT_KEY,
  historyKey,
  MAX_HISTORY_VERSIONS,
  parseDocument,
  type ConfigurationDocument,
  type Failure,
} from '@cassiamast/coordination';
import type { KeyValuePort } from '@cassiamast/ports';
import { err, ok, okAsync, ResultAsync, type Result } from 'neverthrow';
import { NO_SUCH_VERSION, SERVICE_FAILED } from '../process/failures.js';

/** One version in the output of `history`. */
export interface HistoryItem {
  readonly version: number;
  readonly editId: string;
  readonly editedAtMs: number;
  readonly editedBy: string;
}

/** The key-value operations used to read the configuration. */
export type ReadPort = Pick<KeyValuePort, 'get'>;

function serviceFailure(failure: Failure): Failure {
  return SERVICE_FAILED.of({ cause: failure.message });
}

function readKey(port: ReadPort, key: string): ResultAsync<ConfigurationDocument | null, Failure> {
  return port
    .get(key)
    .mapErr(serviceFailure)
    .map((entry) => (entry === null ? null : parseDocument(entry.value)));
}

/** Returns the active document, or null when no configuration has been applied yet. */
export function readCurrent(port: ReadPort): ResultAsync<ConfigurationDocument | null, Failure> {
  return readKey(port, CONFIGURATION_CURRENT_KEY);
}

/**
 * Returns the document of a version; null selects the current version. Errors: `no-such-version`,
 * `key-value-failed`.
 */
export function readVersion(
  port: ReadPort,
  version: number | null,
): ResultAsync<ConfigurationDocument, Failure> {
  const found = version === null ? readCurrent(port) : readKey(port, historyKey(version));
  return found.andThen((document) =>
    document === null ? err(NO_SUCH_VERSION.of({ version })) : ok(document),
  );
}

/**
 * Returns the latest versions, newest first. Versions are read one at a time: a document can be half
 * a megabyte, so that all of them in one response would exceed the size that the client accepts.
 *
 * @param onProgress called with the number of versions read, after each version.
 */
export async function readHistory(
  port: ReadPort,
  limit: number,
  onProgress: (read: number) => void,
): Promise<Result<readonly HistoryItem[], Failure>> {
  const current = await readCurrent(port);
  if (current.isErr()) return err(current.error);
  if (current.value === null) return ok([]);
  const items = [itemOf(current.value)];
  const itemLimit = Math.min(limit, MAX_HISTORY_VERSIONS, current.value.version);
  while (items.length < itemLimit) {
    const document = await readKey(port, historyKey(current.value.version - items.length));
    if (document.isErr()) return err(document.error);
    if (document.value === null) break;
    items.push(itemOf(document.value));
    onProgress(items.length);
  }
  return ok(items.slice(0, limit));
}

function itemOf({ version, editId, editedAtMs, editedBy }: ConfigurationDocument): HistoryItem {
  return { version, editId, editedAtMs, editedBy };
}

/** Like {@link readVersion}, but returns null for a version that is not in the history. */
export function readVersionIfKept(
  port: ReadPort,
  version: number,
): ResultAsync<ConfigurationDocument | null, Failure> {
  return version < 1 ? okAsync(null) : readKey(port, historyKey(version));
}
