// A stand-in of the platform's store: items with revisions, watches, transactions and leases that expire.
import { createServer } from 'node:http';
import { readBody, sendJson, listen, closeServer } from './http.mjs';

const ANSWER_MS = 4;
const EXPIRY_CHECK_MS = 20;

export async function startStore() {
  const items = new Map();
  const leases = new Map();
  const changes = [];
  const watches = new Set();
  let revision = 1;
  let lastLease = 0;

  function put(key, value, lease = 0) {
    revision += 1;
    const created = items.get(key)?.created ?? revision;
    const item = { key, value, revision, created, lease };
    items.set(key, item);
    changes.push({ revision, event: item });
  }

  function remove(key) {
    if (!items.delete(key)) return;
    revision += 1;
    changes.push({ revision, event: { key, revision, removed: true } });
  }

  function notify() {
    for (const answer of [...watches]) answer();
  }

  function endLease(id) {
    leases.delete(id);
    for (const item of [...items.values()]) if (item.lease === id) remove(item.key);
    notify();
  }

  function transact({ precondition = [], puts = [], remove: removed = [] }, response) {
    const fails = precondition.some(
      ({ key, revision: wanted }) => (items.get(key)?.revision ?? 0) !== wanted,
    );
    if (fails) {
      const current = precondition.flatMap(({ key }) => items.get(key) ?? []);
      return sendJson(response, 412, { items: current, asOf: revision });
    }
    if (puts.some(({ lease }) => lease && !leases.has(lease))) return sendJson(response, 404, {});
    for (const { key, value, lease } of puts) put(key, value, lease ?? 0);
    for (const key of removed) remove(key);
    notify();
    return sendJson(response, 200, { revision });
  }

  function watch(query, response) {
    const after = Number(query.get('after'));
    const prefix = query.get('pathPrefix') ?? '';
    const answer = () => {
      clearTimeout(timer);
      watches.delete(answer);
      const events = changes.filter(
        (each) => each.revision > after && each.event.key.startsWith(prefix),
      );
      sendJson(response, 200, { events: events.map(({ event }) => event), asOf: revision });
    };
    const timer = setTimeout(answer, Number(query.get('waitMs')));
    watches.add(answer);
    if (revision > after) answer();
  }

  function handle(request, fields, response) {
    const url = new URL(request.url, 'http://store');
    const path = url.pathname.replace('/cassiamast/', '');
    const query = url.searchParams;
    if (path === 'kv-range') {
      const prefix = query.get('pathPrefix') ?? '';
      const after = query.get('after') ?? '';
      const found = [...items.values()].filter(({ key }) => key.startsWith(prefix) && key > after);
      found.sort((left, right) => (left.key < right.key ? -1 : 1));
      return sendJson(response, 200, {
        items: found.slice(0, 500),
        truncated: found.length > 500,
        asOf: revision,
      });
    }
    if (path === 'kv-watch') return watch(query, response);
    if (path === 'kv-key') {
      const item = items.get(query.get('key'));
      return sendJson(response, item ? 200 : 404, { ...item, asOf: revision });
    }
    if (path === 'kv-txn') return transact(fields, response);
    if (path === 'kv-lease') {
      lastLease += 1;
      leases.set(lastLease, { ttlMs: fields.ttlMs, endsAtMs: performance.now() + fields.ttlMs });
      return sendJson(response, 200, { lease: lastLease, ttlMs: fields.ttlMs });
    }
    const [call, id] = path.split('/');
    const lease = leases.get(Number(id));
    if (call === 'kv-keep') {
      if (lease) lease.endsAtMs = performance.now() + lease.ttlMs;
      return sendJson(response, lease ? 200 : 404, { ttlMs: lease?.ttlMs });
    }
    if (call === 'kv-lease-end') {
      if (lease) endLease(Number(id));
      return sendJson(response, lease ? 200 : 404, {});
    }
    return sendJson(response, 400, {});
  }

  const server = createServer(async (request, response) => {
    const body = await readBody(request);
    setTimeout(() => handle(request, body.length ? JSON.parse(body) : {}, response), ANSWER_MS);
  });
  server.keepAliveTimeout = 60_000;
  const address = await listen(server, '127.0.0.1', 0);
  const expiry = setInterval(() => {
    const now = performance.now();
    for (const [id, { endsAtMs }] of leases) if (endsAtMs < now) endLease(id);
  }, EXPIRY_CHECK_MS);
  return {
    address,
    /** Writes an item as the operator or a server does; returns when the store has it. */
    put: (key, value) => {
      put(key, Buffer.from(JSON.stringify(value)).toString('base64'));
      notify();
    },
    remove: (key) => {
      remove(key);
      notify();
    },
    keys: () => [...items.keys()],
    item: (key) => items.get(key),
    close: () => {
      clearInterval(expiry);
      return closeServer(server);
    },
  };
}
