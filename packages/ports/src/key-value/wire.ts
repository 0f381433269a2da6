/**
 * The etcd v3 JSON gateway's form of requests and answers: keys and values in base64, 64-bit
 * numbers as text, members with their default value left out.
 */
import type { JsonObject } from '../http/json.js';
import { asList, asNumber, asObject, asText } from '../http/json.js';
import type { KeyValueChange, KeyValueCompare, KeyValueEntry, KeyValueWrite } from './port.js';

/** Text to base64. */
export function encode(text: string): string {
  return Buffer.from(text, 'utf8').toString('base64');
}

/** Base64 to text. */
export function decode(base64: string): string {
  return Buffer.from(base64, 'base64').toString('utf8');
}

/** The key that ends the range of all keys with this prefix: its last byte plus one. */
export function rangeEnd(prefix: string): string {
  const bytes = Buffer.from(prefix, 'utf8');
  for (let at = bytes.length - 1; at >= 0; at--) {
    const byte = bytes[at] ?? 0xff;
    if (byte < 0xff) {
      bytes[at] = byte + 1;
      return bytes.subarray(0, at + 1).toString('base64');
    }
  }
  return Buffer.from([0]).toString('base64');
}

/** A transaction's body; where a comparison fails, it reads the compared keys instead. */
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

/** One stored entry. */
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

/** The entries of a range answer. */
export function readEntries(answer: JsonObject): readonly KeyValueEntry[] {
  return asList(answer.kvs)
    .map(readEntry)
    .filter((entry) => entry !== null);
}

/** The service's revision in an answer's header. */
export function readRevision(answer: JsonObject): number {
  return asNumber(asObject(answer.header)?.revision);
}

/** The entries that a failed transaction read instead. */
export function readTransactionEntries(answer: JsonObject): readonly KeyValueEntry[] {
  return asList(answer.responses).flatMap((response) => {
    const range = asObject(asObject(response)?.response_range);
    return range === null ? [] : readEntries(range);
  });
}

/** The changes in one message of a watch. */
export function readChanges(result: JsonObject): readonly KeyValueChange[] {
  return asList(result.events).flatMap((event) => {
    const body = asObject(event);
    const entry = readEntry(body?.kv);
    if (body === null || entry === null) return [];
    const removed = body.type === 'DELETE';
    return [{ key: entry.key, entry: removed ? null : entry, revision: entry.modRevision }];
  });
}
