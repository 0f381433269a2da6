/**
 * Stand-in of the platform's key-value store: items with revisions, a watch by long polling,
 * transactions and leases, as PROTOCOL.md describes them.
 */
import { createServer } from 'node:http';

const EXPIRY_CHECK_MS = 50;
const MAX_ITEMS_PER_PAGE = 500;

/** Starts an empty store on a free loopback port. */
export async function startStore() {
  let items = new Map();
  let leases = new Map();
  let changes = [];
  let revision = 1;
  let lastLease = 0;
  let waiting = [];
  let era = 0;
  let isAway = false;
  /** What operators and servers have written, which they write again after a restore. */
  const outsideItems = new Map();

  function wakeWatches() {
    const woken = waiting;
    waiting = [];
    for (const wake of woken) wake();
  }

  function put(key, value, lease = 0) {
    revision += 1;
    const created = items.get(key)?.created ?? revision;
    const item = { key, value, revision, created, lease };
    items.set(key, item);
    changes.push(item);
    wakeWatches();
  }

  function remove(key) {
    if (!items.delete(key)) return;
    revision += 1;
    changes.push({ key, revision, removed: true });
    wakeWatches();
  }

  function endLease(id) {
    leases.delete(id);
    for (const item of [...items.values()]) if (item.lease === id) remove(item.key);
  }

  function answer(response, status, body) {
    if (response.destroyed) return;
    const text = JSON.stringify(body);
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
      'store-era': String(era),
    });
    response.end(text);
  }

  function range(query, response) {
    const prefix = query.get('pathPrefix') ?? '';
    const after = query.get('after') ?? '';
    const found = [...items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    const page = found.slice(0, MAX_ITEMS_PER_PAGE);
    answer(response, 200, { items: page, truncated: page.length < found.length, asOf: revision });
  }

  function watch(query, response) {
    const prefix = query.get('pathPrefix') ?? '';
    const after = Number(query.get('after'));
    // A revision that this store, or the copy that it came back from, does not have.
    if (after > revision) {
      answer(response, 410, {});
      return;
    }
    const send = () => {
      clearTimeout(timer);
      waiting = waiting.filter((each) => each !== send);
      const events = changes.filter((each) => each.revision > after && each.key.startsWith(prefix));
      answer(response, 200, { events, asOf: revision });
    };
    const timer = setTimeout(send, Number(query.get('waitMs')));
    if (revision > after) send();
    else waiting.push(send);
  }

  function transact({ precondition = [], puts = [], remove: removals = [] }, response) {
    const isMet = ({ key, revision: expected }) => (items.get(key)?.revision ?? 0) === expected;
    if (!precondition.every(isMet)) {
      const current = precondition.flatMap(({ key }) => items.get(key) ?? []);
      answer(response, 412, { items: current, asOf: revision });
      return;
    }
    if (puts.some(({ lease }) => lease !== 0 && !leases.has(lease))) {
      answer(response, 404, {});
      return;
    }
    for (const { key, value, lease } of puts) put(key, value, lease);
    for (const key of removals) remove(key);
    answer(response, 200, { revision });
  }

  function grant(ttlMs, response) {
    lastLease += 1;
    leases.set(lastLease, { ttlMs, endsAtMs: performance.now() + ttlMs });
    answer(response, 200, { lease: lastLease, ttlMs });
  }

  function keep(id, response) {
    const lease = leases.get(id);
    if (lease === undefined) {
      answer(response, 404, {});
      return;
    }
    lease.endsAtMs = performance.now() + lease.ttlMs;
    answer(response, 200, { ttlMs: lease.ttlMs });
  }

  function handle(request, body, response) {
    const url = new URL(request.url, 'http://store');
    const [call, id] = url.pathname.replace('/cassiamast/', '').split('/');
    const query = url.searchParams;
    const fields = body.length > 0 ? JSON.parse(body) : {};
    if (call === 'kv-range') range(query, response);
    else if (call === 'kv-watch') watch(query, response);
    else if (call === 'kv-key') {
      const item = items.get(query.get('key'));
      answer(response, item === undefined ? 404 : 200, { ...item, asOf: revision });
    } else if (call === 'kv-txn') transact(fields, response);
    else if (call === 'kv-lease') grant(Number(fields.ttlMs), response);
    else if (call === 'kv-keep') keep(Number(id), response);
    else if (call === 'kv-lease-end') {
      endLease(Number(id));
      answer(response, 200, {});
    } else answer(response, 400, {});
  }

  const server = createServer((request, response) => {
    if (isAway) {
      request.socket.destroy();
      return;
    }
    const parts = [];
    request.on('data', (part) => parts.push(part));
    request.on('end', () => handle(request, Buffer.concat(parts).toString(), response));
  });
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
  const timer = setInterval(() => {
    const now = performance.now();
    for (const [id, { endsAtMs }] of [...leases]) if (endsAtMs < now) endLease(id);
  }, EXPIRY_CHECK_MS);
  return {
    address: `127.0.0.1:${server.address().port}`,
    /** Writes a JSON value, as operators and targets do. */
    put: (key, value) => {
      const encoded = Buffer.from(JSON.stringify(value)).toString('base64');
      outsideItems.set(key, encoded);
      put(key, encoded);
    },
    remove: (key) => {
      outsideItems.delete(key);
      remove(key);
    },
    /** Takes a copy of what the store has now. */
    copy: () => ({
      items: new Map(items),
      leases: new Map([...leases].map(([id, lease]) => [id, { ...lease }])),
      changes: [...changes],
      revision,
      lastLease,
    }),
    /** The store is away for a while and comes back from a copy; what is outside it is written again. */
    restore: async (copy, awayMs) => {
      isAway = true;
      server.closeAllConnections();
      await new Promise((resolve) => setTimeout(resolve, awayMs));
      ({ items, leases, changes, revision, lastLease } = copy);
      for (const lease of leases.values()) lease.endsAtMs = performance.now() + lease.ttlMs;
      waiting = [];
      era += 1;
      isAway = false;
      for (const [key, value] of outsideItems) {
        if (items.get(key)?.value !== value) put(key, value);
      }
    },
    keys: (prefix) => [...items.keys()].filter((key) => key.startsWith(prefix)),
    close: () => {
      clearInterval(timer);
      server.close();
      server.closeAllConnections();
    },
  };
}
