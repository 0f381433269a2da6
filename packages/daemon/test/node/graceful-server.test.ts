/** How an HTTP server ends: what it has read is answered, and nothing holds it for ever. */
import assert from 'node:assert/strict';
import type { RequestListener, ServerResponse } from 'node:http';
import { type AddressInfo, type Socket, connect } from 'node:net';
import { describe, it } from 'node:test';
import { type GracefulServer, createGracefulServer } from '../../src/node/graceful-server.js';
import { type RawCaller, callRaw } from '../fixtures/raw-caller.js';
import { waitFor } from '../fixtures/wait-for.js';

const HOST = '127.0.0.1';
/** Longer than any of these tests: what ends, ends by itself. */
const TIMEOUT_MS = 60_000;
const REQUEST = 'GET / HTTP/1.1\r\nhost: here\r\n\r\n';
/** More than the buffers of both ends of a connection hold. */
const LARGE_ANSWER = Buffer.alloc(32 * 1024 * 1024, 'x');

async function listen(serve: RequestListener): Promise<GracefulServer> {
  const made = createGracefulServer({}, serve);
  await new Promise<void>((resolve) => made.server.listen(0, HOST, resolve));
  return made;
}

/** A caller that the server has let in, with the server's end of the connection. */
async function call(made: GracefulServer): Promise<RawCaller & { readonly peer: Socket }> {
  const caller = callRaw((made.server.address() as AddressInfo).port);
  const peer = await new Promise<Socket>((resolve) => made.server.once('connection', resolve));
  return { ...caller, peer };
}

/** Keeps each answer until the test gives it. */
function held(): { readonly serve: RequestListener; readonly waiting: ServerResponse[] } {
  const waiting: ServerResponse[] = [];
  const serve: RequestListener = (request, response) => {
    request.resume();
    waiting.push(response);
  };
  return { serve, waiting };
}

describe('a server that closes', () => {
  it('answers a request that is under way, and asks its caller to connect anew', async () => {
    const { serve, waiting } = held();
    const made = await listen(serve);
    const caller = await call(made);
    caller.socket.write(REQUEST);
    await waitFor(() => waiting.length === 1);
    const closed = made.close({ idleMs: 0, timeoutMs: TIMEOUT_MS });
    waiting[0]?.end('done');
    assert.equal(await closed, 0);
    await waitFor(caller.isClosed);
    assert.match(caller.text(), /connection: close/i);
    assert.match(caller.text(), /done$/);
  });

  it('answers a request that it has read in part', async () => {
    const made = await listen((request, response) => {
      request.resume().on('end', () => response.end('done'));
    });
    const caller = await call(made);
    caller.socket.write('POST / HTTP/1.1\r\nhost: here\r\ncontent-');
    await waitFor(() => caller.peer.bytesRead > 0);
    const closed = made.close({ idleMs: 0, timeoutMs: TIMEOUT_MS });
    caller.socket.write('length: 4\r\n\r\n');
    caller.socket.write('body');
    assert.equal(await closed, 0);
    await waitFor(caller.isClosed);
    assert.equal(caller.answers(), 1);
  });

  // Guards against a kept connection that is closed while the next request is on its way to it.
  it('answers a request that comes on a kept connection before that is idle', async () => {
    const made = await listen((_request, response) => response.end('done'));
    const caller = await call(made);
    caller.socket.write(REQUEST);
    await waitFor(() => caller.answers() === 1);
    const closed = made.close({ idleMs: TIMEOUT_MS / 2, timeoutMs: TIMEOUT_MS });
    caller.socket.write(REQUEST);
    assert.equal(await closed, 0);
    await waitFor(caller.isClosed);
    assert.equal(caller.answers(), 2);
    assert.match(caller.text(), /connection: close/i);
  });

  // Guards against a kept connection that goes on being served by a server that has closed.
  it('ends a connection whose caller was told that it would be kept', async () => {
    const { serve, waiting } = held();
    const made = await listen(serve);
    const caller = await call(made);
    caller.socket.write(REQUEST);
    await waitFor(() => waiting.length === 1);
    waiting[0]?.write('begun');
    await waitFor(() => caller.text().includes('begun'));
    const closed = made.close({ idleMs: 0, timeoutMs: TIMEOUT_MS });
    waiting[0]?.end('done');
    assert.equal(await closed, 0);
    await waitFor(caller.isClosed);
    assert.match(caller.text(), /keep-alive[^]*begun[^]*done/);
  });

  // Guards against an answer that is cut since its caller reads it slowly.
  it('sends all of an answer that was ended before', async () => {
    const made = await listen((_request, response) => response.end(LARGE_ANSWER));
    const caller = await call(made);
    caller.socket.pause();
    caller.socket.write(REQUEST);
    await waitFor(() => made.open() === 1);
    const closed = made.close({ idleMs: 0, timeoutMs: TIMEOUT_MS });
    caller.socket.resume();
    assert.equal(await closed, 0);
    await waitFor(caller.isClosed);
    const [, body = ''] = caller.text().split('\r\n\r\n');
    assert.equal(body.length, LARGE_ANSWER.length);
  });

  // Guards against a stop that waits for ever for a peer that connects and says nothing.
  it('does not wait for a connection that never asked anything', async () => {
    const made = await listen((_request, response) => response.end('done'));
    const caller = await call(made);
    assert.equal(await made.close({ idleMs: 0, timeoutMs: TIMEOUT_MS }), 0);
    await waitFor(caller.isClosed);
  });

  describe('with requests that are sent without waiting for answers', () => {
    // Guards against a request that is read behind one that was to end the connection, and is cut.
    it('answers one that comes after the other callers were told', async () => {
      const { serve, waiting } = held();
      const made = await listen(serve);
      const caller = await call(made);
      caller.socket.write(REQUEST);
      await waitFor(() => waiting.length === 1);
      made.disableKeepAlive();
      caller.socket.write(REQUEST);
      await waitFor(() => waiting.length === 2);
      for (const response of waiting) response.end('done');
      await waitFor(caller.isClosed);
      assert.equal(caller.answers(), 2);
      assert.match(caller.text(), /keep-alive[^]*done[^]*connection: close[^]*done$/i);
      assert.equal(await made.close({ idleMs: 0, timeoutMs: TIMEOUT_MS }), 0);
    });

    // Guards against a request that runs though nobody will hear of it.
    it('does not serve one behind an answer that ends the connection', async () => {
      const { serve, waiting } = held();
      const made = await listen(serve);
      const caller = await call(made);
      made.disableKeepAlive();
      caller.socket.write(REQUEST);
      await waitFor(() => waiting.length === 1);
      waiting[0]?.write('begun');
      await waitFor(() => caller.text().includes('begun'));
      const readBytes = caller.peer.bytesRead;
      caller.socket.write(REQUEST);
      await waitFor(() => caller.peer.bytesRead > readBytes);
      waiting[0]?.end('done');
      await waitFor(caller.isClosed);
      assert.equal(waiting.length, 1);
      assert.equal(await made.close({ idleMs: 0, timeoutMs: TIMEOUT_MS }), 0);
    });
  });

  // Guards against a request that is cut since it comes slowly.
  it('waits for the rest of a request after its other connections are closed', async () => {
    const made = await listen((request, response) => {
      request.resume().on('end', () => response.end('done'));
    });
    const caller = await call(made);
    const silent = await call(made);
    caller.socket.write('GET / HTTP/1.1\r\nhost');
    await waitFor(() => caller.peer.bytesRead > 0);
    const closed = made.close({ idleMs: 0, timeoutMs: TIMEOUT_MS });
    await waitFor(silent.isClosed);
    caller.socket.write(': here\r\n\r\n');
    assert.equal(await closed, 0);
    await waitFor(caller.isClosed);
    assert.equal(caller.answers(), 1);
  });

  it('cuts what is open when its time is over, and counts it', async () => {
    const { serve, waiting } = held();
    const made = await listen(serve);
    const caller = await call(made);
    caller.socket.write(REQUEST);
    await waitFor(() => waiting.length === 1);
    assert.equal(await made.close({ idleMs: 0, timeoutMs: 0 }), 1);
    await waitFor(caller.isClosed);
    assert.equal(caller.text(), '');
  });

  it('ends where it has never listened', async () => {
    const made = createGracefulServer({}, () => undefined);
    assert.equal(await made.close({ idleMs: 0, timeoutMs: TIMEOUT_MS }), 0);
  });

  it('listens no more', async () => {
    const made = await listen((_request, response) => response.end('done'));
    const { port } = made.server.address() as AddressInfo;
    const closed = made.close({ idleMs: 0, timeoutMs: TIMEOUT_MS });
    const refused = await new Promise((resolve) => {
      connect(port, HOST).on('error', resolve);
    });
    assert.match(String(refused), /ECONNREFUSED/);
    await closed;
  });
});
