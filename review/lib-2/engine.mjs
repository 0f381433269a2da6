/**
 * Stand-in of a model server: reads prompts for others, streams events, tells its report and its parts,
 * and follows orders that change its phase. It echoes the attempt id in every answer to a request.
 */
import { createServer } from 'node:net';

const HOST = '127.0.0.1';
const READ_MS = 30;
const EVENT_MS = 25;
const SWITCH_MS = 3000;

/** Parses the next request of a connection, or returns null while it is not whole. */
function takeRequest(received) {
  const headEnd = received.indexOf('\r\n\r\n');
  if (headEnd < 0) return null;
  const [line, ...rows] = received.slice(0, headEnd).split('\r\n');
  const [method, path] = line.split(' ');
  const headers = new Map(
    rows.map((row) => {
      const colon = row.indexOf(':');
      return [row.slice(0, colon).toLowerCase(), row.slice(colon + 1).trim()];
    }),
  );
  const end = headEnd + 4 + Number(headers.get('content-length') ?? 0);
  if (received.length < end) return null;
  const body = received.slice(headEnd + 4, end);
  return { method, path, headers, body, rest: received.slice(end) };
}

/**
 * Starts an engine, which states the length of each stream. `options.breaksOff` tells whether it breaks an
 * answer off, `options.onRun` is told of each run, and `options.register` of each phase.
 */
export async function startEngine(id, firstPhase, options) {
  const { register, onRun, breaksOff } = options;
  const sockets = new Set();
  const handles = new Set();
  let phase = firstPhase;
  let sequence = 0;
  let isBusy = false;
  let lastHandle = 0;
  /** Runs at several engines say the same in other words. */
  const words = 'approved '.repeat(1 + ((Number(id.split('-')[1]) + 1) % 3)).trim();

  function answerJson(socket, status, body, attempt = null) {
    const text = JSON.stringify(body);
    const id = attempt === null ? '' : `X-Cassiamast-Attempt-Id: ${attempt}\r\n`;
    const head = `Content-Type: application/json\r\nContent-Length: ${Buffer.byteLength(text)}`;
    socket.write(`HTTP/1.1 ${status} Status\r\n${id}${head}\r\n\r\n${text}`);
  }

  function reject(socket, attempt, status) {
    const head = `X-Cassiamast-Attempt-Id: ${attempt}\r\nX-Cassiamast-Not-Executed: 1`;
    socket.write(`HTTP/1.1 ${status} Status\r\n${head}\r\nContent-Length: 0\r\n\r\n`);
  }

  function follow(socket, order) {
    if (isBusy || order.precondition !== sequence) {
      answerJson(socket, 409, {});
      return;
    }
    if (order.phase === phase) {
      answerJson(socket, 200, {});
      return;
    }
    sequence += 1;
    isBusy = true;
    answerJson(socket, 202, {});
    setTimeout(() => {
      isBusy = false;
      phase = order.phase;
      register(phase);
    }, SWITCH_MS).unref();
  }

  /** Sends the events after one, in the engine's own words. */
  function stream(socket, attempt, after, count) {
    const events = [];
    for (let number = after + 1; number <= count; number += 1) {
      events.push(`id: ${number}\ndata: ${attempt}-${number} ${words}\n\n`);
    }
    const head = `X-Cassiamast-Attempt-Id: ${attempt}\r\nX-Cassiamast-Server-Stamp: ${id}.${attempt}`;
    const type = `Content-Type: text/event-stream\r\nContent-Length: ${events.join('').length}`;
    socket.write(`HTTP/1.1 200 OK\r\n${head}\r\n${type}\r\n\r\n`);
    const endsAfter = breaksOff(attempt, id) ? Math.floor(events.length / 2) : events.length;
    let sent = 0;
    const timer = setInterval(() => {
      if (socket.destroyed) clearInterval(timer);
      else if (sent < endsAfter) {
        socket.write(events[sent]);
        sent += 1;
      } else {
        clearInterval(timer);
        if (endsAfter < events.length) socket.resetAndDestroy();
      }
    }, EVENT_MS);
  }

  function serve(socket, { method, path, headers, body }) {
    if (path === '/cassiamast/report') {
      answerJson(socket, 200, { phase, models: [], busy: isBusy, sequence });
      return;
    }
    if (path === '/cassiamast/kv-list') {
      answerJson(socket, 200, { epoch: 1, next: 1, held: [] });
      return;
    }
    if (path === '/cassiamast/order') {
      follow(socket, JSON.parse(body));
      return;
    }
    if (method === 'DELETE') {
      answerJson(socket, handles.delete(path.split('/').at(-1)) ? 200 : 404, {});
      return;
    }
    const attempt = headers.get('x-cassiamast-attempt-id') ?? '';
    const source = headers.get('x-cassiamast-kv-source');
    const isRead = headers.get('x-cassiamast-stage') === 'prefill';
    if (headers.get('x-cassiamast-expect-instance') !== id) reject(socket, attempt, 421);
    else if (isBusy) reject(socket, attempt, 503);
    else if (isRead !== (phase === 'prefill')) reject(socket, attempt, 421);
    else if (isRead) {
      setTimeout(() => {
        lastHandle += 1;
        const handle = `${id.replace(/\W/g, '')}${lastHandle}`;
        handles.add(handle);
        answerJson(socket, 200, { kvHandle: handle, tokens: 1, version: 1 }, attempt);
      }, READ_MS);
    } else {
      onRun(attempt, id);
      const after = Number(headers.get('last-event-id') ?? 0);
      const count = Number(headers.get('x-cassiamast-token-count').split(',')[1]);
      const readMs = source === undefined ? READ_MS : 0;
      setTimeout(() => stream(socket, attempt, after, count), readMs);
    }
  }

  const server = createServer((socket) => {
    sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => undefined);
    socket.once('close', () => sockets.delete(socket));
    let received = '';
    socket.on('data', (bytes) => {
      received += bytes.toString('latin1');
      const request = takeRequest(received);
      if (request === null) return;
      received = request.rest;
      serve(socket, request);
    });
  });
  await new Promise((resolve) => server.listen(0, HOST, resolve));
  return {
    address: `${HOST}:${server.address().port}`,
    close: () => {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}
