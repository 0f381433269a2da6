/**
 * Decodes and encodes the wire format of the JSON gateway, which carries keys and values as base64 and
 * 64-bit numbers as text.
 */
import type { JsonBody } from '../http/http-server.js';
import type { Store, StoredChange, StoredEntry, StoreWrite } from './store.js';

/** Decodes a base64 body field to text. */
export function decodeField(value: unknown): string {
  return typeof value === 'string' ? Buffer.from(value, 'base64').toString('utf8') : '';
}

/** Returns a 64-bit number given as text or as a number, or 0 if it is invalid. */
export function numberField(value: unknown): number {
  const number = typeof value === 'string' || typeof value === 'number' ? Number(value) : 0;
  return Number.isFinite(number) ? number : 0;
}

/** Returns a body field as an object, or an empty object. */
export function objectField(value: unknown): JsonBody {
  return typeof value === 'object' && value !== null ? (value as JsonBody) : {};
}

/** Returns a body field as a list of objects, or an empty list. */
export function listField(value: unknown): JsonBody[] {
  return Array.isArray(value) ? value.map(objectField) : [];
}

/** Returns the header of every answer. */
export function header(store: Store): JsonBody {
  return { cluster_id: '1', member_id: '1', revision: String(store.revision), raft_term: '1' };
}

/** Encodes an entry. */
export function entryBody(entry: StoredEntry): JsonBody {
  const body: JsonBody = {
    key: encode(entry.key),
    value: encode(entry.value),
    create_revision: String(entry.createRevision),
    mod_revision: String(entry.modRevision),
    version: String(entry.version),
  };
  return entry.lease === '0' ? body : { ...body, lease: entry.lease };
}

/** Encodes a change as a watch event. The default type, PUT, is omitted. */
export function eventBody(change: StoredChange): JsonBody {
  if (change.entry !== null) return { kv: entryBody(change.entry) };
  return { type: 'DELETE', kv: { key: encode(change.key), mod_revision: String(change.revision) } };
}

/** Decodes the end of a range request. Returns null for a single key. */
export function rangeEndField(value: unknown): string | null {
  return typeof value === 'string' && value !== '' ? decodeField(value) : null;
}

/** Returns the writes among a transaction's operations. */
export function readWrites(operations: readonly JsonBody[]): readonly StoreWrite[] {
  return operations.flatMap((operation): StoreWrite[] => {
    if (operation.request_put !== undefined) {
      const put = objectField(operation.request_put);
      const lease = String(numberField(put.lease));
      return [{ put: { key: decodeField(put.key), value: decodeField(put.value), lease } }];
    }
    if (operation.request_delete_range === undefined) return [];
    return [{ remove: { key: decodeField(objectField(operation.request_delete_range).key) } }];
  });
}

function encode(text: string): string {
  return Buffer.from(text, 'utf8').toString('base64');
}
