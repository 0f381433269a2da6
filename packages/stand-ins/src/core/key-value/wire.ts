/**
 * The JSON gateway's form on the service's side: base64 and numbers as text in, and out again.
 */
import type { JsonBody } from '../http/http-server.js';
import type { Store, StoredChange, StoredEntry, StoreWrite } from './store.js';

/** Base64 of a body field to text. */
export function decodeField(value: unknown): string {
  return typeof value === 'string' ? Buffer.from(value, 'base64').toString('utf8') : '';
}

/** A 64-bit number, written as text or as a number. */
export function numberField(value: unknown): number {
  const number = typeof value === 'string' || typeof value === 'number' ? Number(value) : 0;
  return Number.isFinite(number) ? number : 0;
}

/** A member of a body as an object. */
export function objectField(value: unknown): JsonBody {
  return typeof value === 'object' && value !== null ? (value as JsonBody) : {};
}

/** A member of a body as a list of objects. */
export function listField(value: unknown): JsonBody[] {
  return Array.isArray(value) ? value.map(objectField) : [];
}

/** The header that every answer carries. */
export function header(store: Store): JsonBody {
  return { cluster_id: '1', member_id: '1', revision: String(store.revision), raft_term: '1' };
}

/** One entry as the gateway writes it. */
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

/** One change as an event of a watch; the default type, PUT, is left out. */
export function eventBody(change: StoredChange): JsonBody {
  if (change.entry !== null) return { kv: entryBody(change.entry) };
  return { type: 'DELETE', kv: { key: encode(change.key), mod_revision: String(change.revision) } };
}

/** The end of a range request: null for a single key. */
export function rangeEndField(value: unknown): string | null {
  return typeof value === 'string' && value !== '' ? decodeField(value) : null;
}

/** The writes among a transaction's operations. */
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
