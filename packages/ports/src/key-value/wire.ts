/**
 * Encodes requests and decodes responses of the etcd v3 JSON gateway. Keys and values are base64,
 * 64-bit integers are strings, and fields with their default value are omitted.
 */
import type { JsonObject } from '../http/json.js';
import { asList, asNumber, asObject, asText } from '../http/json.js';
import type { KeyValueChange, KeyValueCompare, KeyValueEntry, KeyValueWrite } from './port.js';

/** Encodes text as base64. */
export function encode(text: string): string {
  return Buffer.from(text, 'utf8').toString('base64');
}

/** Decodes base64 to text. */
export function decode(base64: string): string {
  return Buffer.from(base64, 'base64').toString('utf8');
}

/**
 * Returns the exclusive end of the range of all keys with this prefix, in base64: the prefix with
 * its last byte incremented.
 */
export function rangeEnd(prefix: string): string {
  const bytes = Buffer.from(prefix, 'utf8');
  for (let index = bytes.length - 1; index >= 0; index--) {
    const byte = bytes[index] ?? 0xff;
    if (byte < 0xff) {
      bytes[index] = byte + 1;
      return bytes.subarray(0, index + 1).toString('base64');
    }
  }
  return Buffer.from([0]).toString('base64');
}

/** Builds the body of a transaction that reads the compared keys if a condition is not met. */
export function transactionBody(
  compares: readonly KeyValueCompare[],
  writes: readonly KeyValueWrite[],
): JsonObject {
  return {
    compare: compares.map((compare) => ({
      key: encode(compare.key),
      target: 'MOD',
      result: 'EQUAL',
      mod_revision: String(compare.modRevision),
    })),
    success: writes.map(writeBody),
    failure: compares.map((compare) => ({ request_range: { key: encode(compare.key) } })),
  };
}

function writeBody(write: KeyValueWrite): JsonObject {
  const key = encode(write.key);
  if (write.value === null) return { request_delete_range: { key } };
  const put = { key, value: encode(write.value) };
  return { request_put: write.leaseId === undefined ? put : { ...put, lease: write.leaseId } };
}

/** Parses a stored entry; returns null if it has no key. */
export function readEntry(value: unknown): KeyValueEntry | null {
  const kv = asObject(value);
  if (kv === null || typeof kv.key !== 'string') return null;
  return {
    key: decode(kv.key),
    value: decode(asText(kv.value)),
    createRevision: asNumber(kv.create_revision),
    modRevision: asNumber(kv.mod_revision),
  };
}

/** Parses the entries of a range response. */
export function readEntries(answer: JsonObject): readonly KeyValueEntry[] {
  return asList(answer.kvs)
    .map(readEntry)
    .filter((entry) => entry !== null);
}

/** Returns the service's revision from the header of a response. */
export function readRevision(answer: JsonObject): number {
  return asNumber(asObject(answer.header)?.revision);
}

/** Parses the entries that a transaction read because a condition was not met. */
export function readTransactionEntries(answer: JsonObject): readonly KeyValueEntry[] {
  return asList(answer.responses).flatMap((response) => {
    const range = asObject(asObject(response)?.response_range);
    return range === null ? [] : readEntries(range);
  });
}

/** Parses the changes in one message of a watch. */
export function readChanges(result: JsonObject): readonly KeyValueChange[] {
  return asList(result.events).flatMap((event) => {
    const eventBody = asObject(event);
    const entry = readEntry(eventBody?.kv);
    if (eventBody === null || entry === null) return [];
    const removed = eventBody.type === 'DELETE';
    return [{ key: entry.key, entry: removed ? null : entry, revision: entry.modRevision }];
  });
}
