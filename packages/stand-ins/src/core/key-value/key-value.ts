/**
 * Emulates the key-value service: a subset of the etcd v3 JSON gateway in one process. Counts calls by
 * kind and injects the known faults of the service on request.
 */
import type { Exchange, JsonBody, Route } from '../http/http-server.js';
import { sendJson, startHttpServer } from '../http/http-server.js';
import { delay } from '../time/delay.js';
import type { KeyValueFaults } from './faults.js';
import { noFaults, consumeFault } from './faults.js';
import type { Store, StoredChange } from './store.js';
import * as storage from './store.js';
import { createWatches } from './watches.js';
import * as wire from './wire.js';

const EXPIRY_TICK_MS = 100;
const NOT_FOUND = 404;

/** Kinds of calls that are counted. */
export enum KeyValueCallKind {
  Range = 'range',
  Transaction = 'transaction',
  LeaseGrant = 'lease-grant',
  LeaseKeepAlive = 'lease-keep-alive',
  LeaseRevoke = 'lease-revoke',
  Watch = 'watch',
}

/** Options of {@link startKeyValue}. */
export interface KeyValueOptions {
  readonly host?: string;
  /** 0 selects any free port. */
  readonly port?: number;
  /** Monotonic clock, in milliseconds; used for lease expiry. */
  readonly nowMs?: () => number;
}

/** A running key-value service. */
export interface KeyValueStandIn {
  readonly address: string;
  readonly port: number;
  /** The active faults. Use `setFaults` to change them. */
  readonly faults: Readonly<KeyValueFaults>;
  readonly setFaults: (change: Partial<KeyValueFaults>) => void;
  /** Returns the number of calls by kind. A watch is counted when it is created. */
  readonly counts: () => Readonly<Record<KeyValueCallKind, number>>;
  readonly waitingWatches: () => number;
  /** Expires the leases that are due. Also runs automatically every 100 ms. */
  readonly expireLeases: () => void;
  readonly store: Store;
  readonly stop: () => Promise<void>;
}

/** Starts a key-value stand-in. */
export async function startKeyValue(options: KeyValueOptions = {}): Promise<KeyValueStandIn> {
  const nowMs = options.nowMs ?? (() => performance.now());
  const store = storage.createStore();
  const faults = noFaults();
  const watches = createWatches(store, faults);
  const counts = newCounts();
  const routes = createRoutes({ store, watches, counts, nowMs, faults });
  const setFaults = (change: Partial<KeyValueFaults>): void => {
    Object.assign(faults, change);
    if (faults.down) watches.breakAll();
  };
  const expireLeases = (): void => {
    watches.notify(storage.expireLeases(store, nowMs()));
  };
  const server = await startHttpServer({
    host: options.host ?? '127.0.0.1',
    port: options.port ?? 0,
    route: (method, path) => {
      if (method === 'GET' && path === '/counts') return sendCounts;
      if (method !== 'POST') return null;
      if (path === '/faults') return updateFaults;
      return routes.get(path) ?? null;
    },
  });
  const updateFaults: Route = ({ body, response }) => {
    setFaults(body as Partial<KeyValueFaults>);
    sendJson(response, 200, faults);
  };
  const sendCounts: Route = ({ response }) => {
    sendJson(response, 200, { ...counts, waitingWatches: watches.count() });
  };
  const tick = setInterval(expireLeases, EXPIRY_TICK_MS);
  return {
    address: server.address,
    port: server.port,
    faults,
    setFaults,
    counts: () => ({ ...counts }),
    waitingWatches: watches.count,
    expireLeases,
    store,
    stop: async () => {
      clearInterval(tick);
      await server.stop();
    },
  };
}

function newCounts(): Record<KeyValueCallKind, number> {
  const entries = Object.values(KeyValueCallKind).map((kind) => [kind, 0] as const);
  return Object.fromEntries(entries) as Record<KeyValueCallKind, number>;
}

interface Parts {
  readonly store: Store;
  readonly watches: ReturnType<typeof createWatches>;
  readonly counts: Record<KeyValueCallKind, number>;
  readonly nowMs: () => number;
  readonly faults: KeyValueFaults;
}

/** Result of a call: its answer and the changes to send to watches. */
interface Outcome {
  readonly status?: number;
  readonly body: JsonBody;
  readonly changes?: readonly StoredChange[];
}

function createRoutes(parts: Parts): Map<string, Route> {
  const { store, nowMs } = parts;
  const leaseNotFound = {
    status: NOT_FOUND,
    body: { code: 5, message: 'requested lease not found' },
  };
  return new Map<string, Route>([
    [
      '/v3/kv/range',
      unary(parts, KeyValueCallKind.Range, (body) => ({ body: range(store, body) })),
    ],
    [
      '/v3/kv/txn',
      unary(
        parts,
        KeyValueCallKind.Transaction,
        (body) => transaction(store, body) ?? leaseNotFound,
      ),
    ],
    [
      '/v3/lease/grant',
      unary(parts, KeyValueCallKind.LeaseGrant, (body) => {
        const lease = storage.grantLease(store, wire.numberField(body.TTL), nowMs());
        return { body: { header: wire.header(store), ID: lease.id, TTL: String(lease.ttlS) } };
      }),
    ],
    [
      '/v3/lease/keepalive',
      unary(parts, KeyValueCallKind.LeaseKeepAlive, (body) => {
        const id = String(wire.numberField(body.ID));
        const lease = storage.keepLeaseAlive(store, id, nowMs());
        const ttl = lease === null ? {} : { TTL: String(lease.ttlS) };
        return { body: { result: { header: wire.header(store), ID: id, ...ttl } } };
      }),
    ],
    [
      '/v3/lease/revoke',
      unary(parts, KeyValueCallKind.LeaseRevoke, (body) => {
        const changes = storage.revokeLease(store, String(wire.numberField(body.ID)));
        return changes === null ? leaseNotFound : { body: { header: wire.header(store) }, changes };
      }),
    ],
    ['/v3/watch', watch(parts)],
  ]);
}

function unary(parts: Parts, kind: KeyValueCallKind, run: (body: JsonBody) => Outcome): Route {
  return async ({ response, body }: Exchange) => {
    parts.counts[kind] += 1;
    if (parts.faults.slowMs > 0) await delay(parts.faults.slowMs);
    if (parts.faults.down) {
      response.destroy();
      return;
    }
    const outcome = run(body);
    parts.watches.notify(outcome.changes ?? []);
    const isWrite = kind !== KeyValueCallKind.Range;
    if (isWrite && consumeFault(parts.faults, 'loseAnswers')) response.destroy();
    else sendJson(response, outcome.status ?? 200, outcome.body);
  };
}

function watch(parts: Parts): Route {
  return ({ response, body }) => {
    parts.counts[KeyValueCallKind.Watch] += 1;
    if (parts.faults.down) {
      response.destroy();
      return;
    }
    const create = wire.objectField(body.create_request);
    const key = wire.decodeField(create.key);
    const end = wire.rangeEndField(create.range_end);
    const watched = (changed: string): boolean =>
      end === null ? changed === key : changed >= key && changed < end;
    parts.watches.add(response, watched, wire.numberField(create.start_revision));
  };
}

function range(store: Store, body: JsonBody): JsonBody {
  const end = wire.rangeEndField(body.range_end);
  const limit = wire.numberField(body.limit);
  const entries = storage.readRange(store, wire.decodeField(body.key), end, limit);
  return {
    header: wire.header(store),
    kvs: entries.map(wire.entryBody),
    count: String(entries.length),
  };
}

/** Runs a transaction. Returns null if a write refers to a lease that does not exist. */
function transaction(store: Store, body: JsonBody): Outcome | null {
  const comparesHold = wire.listField(body.compare).every((compare) => {
    const entry = store.entries.get(wire.decodeField(compare.key));
    return (entry?.modRevision ?? 0) === wire.numberField(compare.mod_revision);
  });
  const operations = wire.listField(comparesHold ? body.success : body.failure);
  const changes = storage.applyWrites(store, wire.readWrites(operations));
  if (changes === null) return null;
  const responses = operations.map((operation) =>
    operation.request_range === undefined
      ? {}
      : { response_range: range(store, wire.objectField(operation.request_range)) },
  );
  return {
    body: { header: wire.header(store), responses, ...(comparesHold ? { succeeded: true } : {}) },
    changes,
  };
}
