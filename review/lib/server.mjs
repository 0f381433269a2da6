// A stand-in of a server: a plain one, or a model server with a phase. It registers itself in the store.
import { createServer } from 'node:http';
import { readBody, sendJson, listen, closeServer } from './http.mjs';

const HEARTBEAT_MS = 1200;
/** The store removes an entry after three intervals of silence. */
const EXPIRY_MS = 3 * HEARTBEAT_MS;

export async function startServer(store, options) {
  const {
    id,
    service,
    zone = 'eros-hall',
    phase = null,
    workMs = 20,
    link = null,
    version = 'v1',
  } = options;
  let state = 'ready';
  let sequence = 0;
  let orders = 0;
  let isListed = true;
  let currentPhase = phase;
  const runs = [];
  const arrivals = [];
  const prefills = [];
  const seenOrders = [];
  const self = { id, runs, arrivals, prefills, seenOrders, answer: null };

  function register() {
    if (!isListed) return;
    sequence += 1;
    const entry = {
      service,
      address: self.registered,
      zone,
      version,
      slots: phase ? 64 : 6,
      state,
      coldRemainingMs: 0,
      sequence,
    };
    store.put(`servers/${id}`, currentPhase ? { ...entry, phase: currentPhase } : entry);
  }

  const server = createServer(async (request, response) => {
    const atMs = performance.now();
    const headers = request.headers;
    const body = await readBody(request);
    if (state === 'draining') response.setHeader('connection', 'close');
    if (request.url === '/cassiamast/report') {
      const report = {
        phase: currentPhase,
        models: [{ name: 'm', version: 1, adapters: [] }],
        busy: false,
        sequence: orders,
        queued: 0,
        active: 0,
        kvUsed: 0,
        kvTotal: 400000,
        kvHandles: 0,
      };
      return sendJson(response, 200, report);
    }
    if (request.url === '/cassiamast/kv-list')
      return sendJson(response, 200, { epoch: 1, next: 1, held: [] });
    if (request.url === '/cassiamast/order') {
      const order = JSON.parse(body);
      if (order.precondition !== undefined && order.precondition !== orders)
        return sendJson(response, 409, {});
      orders += 1;
      seenOrders.push({ atMs, ...order });
      currentPhase = order.phase;
      sendJson(response, 202, {});
      return register();
    }
    if (request.method === 'DELETE') return sendJson(response, 200, {});
    const attempt = headers['x-cassiamast-attempt-id'];
    const isPrefill = headers['x-cassiamast-stage'] === 'prefill';
    arrivals.push({ atMs, attempt, path: request.url, isPrefill, state });
    const own = { 'X-Cassiamast-Attempt-Id': attempt ?? '' };
    if ((headers['x-cassiamast-expect-instance'] ?? id) !== id)
      return sendJson(response, 421, {}, own);
    const seen = { atMs, attempt, path: request.url, headers, body, isPrefill };
    if (self.answer?.(seen, response, own)) return undefined;
    if (isPrefill) {
      prefills.push(seen);
      await new Promise((resolve) => setTimeout(resolve, workMs));
      return sendJson(
        response,
        200,
        { kvHandle: `h${Math.random().toString(16).slice(2, 14)}`, tokens: 1000, version: 1 },
        own,
      );
    }
    const run = { atMs, attempt, path: request.url, endedAtMs: null };
    runs.push(run);
    response.once('close', () => {
      run.endedAtMs = performance.now();
    });
    await new Promise((resolve) => setTimeout(resolve, workMs));
    const stamped = { ...own, 'X-Cassiamast-Server-Stamp': `stamp.${id}.${attempt}` };
    if (headers['x-cassiamast-prefix-hash'] === undefined) {
      const text = `answer to ${attempt}`;
      response.writeHead(200, {
        ...stamped,
        'content-length': Buffer.byteLength(text),
        'keep-alive': 'timeout=15',
      });
      return response.end(text);
    }
    response.writeHead(200, { ...stamped, 'content-type': 'text/event-stream' });
    const after = Number(headers['last-event-id'] ?? 0);
    const last = options.events ?? 10;
    for (let event = after + 1; event <= last && !response.destroyed; event += 1) {
      response.write(`id: ${event}\ndata: ${attempt}-${event}\n\n`);
      await new Promise((resolve) => setTimeout(resolve, options.eventMs ?? 20));
    }
    return response.end();
  });
  const sockets = new Set();
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });
  server.keepAliveTimeout = 15_000;
  self.address = await listen(server, '127.0.0.1', 0);
  self.registered = link === null ? self.address : (self.proxy = await link(self.address)).address;
  register();
  let heartbeat = setTimeout(function beat() {
    register();
    heartbeat = setTimeout(beat, HEARTBEAT_MS);
  }, Math.random() * HEARTBEAT_MS);
  return Object.assign(self, {
    /** Reports that it leaves; returns once the store has it. It goes on serving. */
    drain: () => {
      state = 'draining';
      register();
    },
    phase: () => currentPhase,
    /** Ends as a process that crashes: its connections are reset, nothing listens; its entry expires. */
    crash: () => {
      if (!isListed) return false;
      isListed = false;
      clearTimeout(heartbeat);
      server.close();
      for (const socket of sockets) socket.resetAndDestroy();
      setTimeout(() => store.remove(`servers/${id}`), EXPIRY_MS).unref();
      return true;
    },
    unlist: () => {
      isListed = false;
      store.remove(`servers/${id}`);
    },
    close: async () => {
      clearTimeout(heartbeat);
      await self.proxy?.close();
      await closeServer(server);
    },
  });
}
