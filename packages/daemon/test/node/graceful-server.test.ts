/** Checks that an HTTP server shuts down gracefully: it answers what it has read, and finishes. */
import assert from 'node:assert/strict';
import type { RequestListener, ServerResponse } from 'node:http';
import { type AddressInfo, type Socket, connect } from 'node:net';
import { describe, it } from 'node:test';
import { type GracefulServer, createGracefulServer } from '../../src/node/graceful-server.js';
import { openGuard } from '../fixtures/open-guard.js';
import { type RawCaller, callRaw } from '../fixtures/raw-caller.js';
import { waitFor } from '../fixtures/wait-for.js';

const HOST = '127.0.0.1';
/** Longer than any of these tests takes, so no test passes because of a timeout. */
const TIMEOUT_MS = 60_000;
const REQUEST = 'GET / HTTP/1.1\r\nhost: here\r\n\r\n';
/** Larger than the buffers of both ends of a connection. */
const LARGE_ANSWER = Buffer.alloc(32 * 1024 * 1024, 'x');

async function listen(serve: RequestListener): Promise<GracefulServer> {
  const gracefulServer = createGracefulServer({}, openGuard(), serve);
  await new Promise<void>((resolve) => gracefulServer.server.listen(0, HOST, resolve));
  return gracefulServer;
}

/** Connects a caller; returns it with the server's end of the connection. */
async function call(
  gracefulServer: GracefulServer,
): Promise<RawCaller & { readonly peer: Socket }> {
  const caller = callRaw((gracefulServer.server.address() as AddressInfo).port);
  const peer = await new Promise<Socket>((resolve) =>
    gracefulServer.server.once('connection', resolve),
  );
  return { ...caller, peer };
}

/** Returns a listener that leaves each response open until the test ends it. */
function holdResponses(): {
  readonly serve: RequestListener;
  readonly openResponses: ServerResponse[];
} {
  const openResponses: ServerResponse[] = [];
  const serve: RequestListener = (request, response) => {
    request.resume();
    openResponses.push(response);
  };
  return { serve, openResponses };
}

describe('a server that closes', () => {
  it('answers a pending request, and asks its caller to open a new connection', async () => {
    const { serve, openResponses } = holdResponses();
    const gracefulServer = await listen(serve);
    const caller = await call(gracefulServer);
    caller.socket.write(REQUEST);
    await waitFor(() => openResponses.length === 1);
    const closed = gracefulServer.close({ idleMs: 0, timeoutMs: TIMEOUT_MS });
    openResponses[0]?.end('done');
    assert.equal(await closed, 0);
    await waitFor(caller.isClosed);
    assert.match(caller.text(), /connection: close/i);
    assert.match(caller.text(), /done$/);
  });

  it('answers a request that it has read partially', async () => {
    const gracefulServer = await listen((request, response) => {
      request.resume().on('end', () => response.end('done'));
    });
    const caller = await call(gracefulServer);
    caller.socket.write('POST / HTTP/1.1\r\nhost: here\r\ncontent-');
    await waitFor(() => caller.peer.bytesRead > 0);
    const closed = gracefulServer.close({ idleMs: 0, timeoutMs: TIMEOUT_MS });
    caller.socket.write('length: 4\r\n\r\n');
    caller.socket.write('body');
    assert.equal(await closed, 0);
    await waitFor(caller.isClosed);
    assert.equal(caller.answers(), 1);
  });

  // Otherwise a keep-alive connection could be closed while the next request is in transit.
  it('answers a request that arrives on a keep-alive connection within the idle time', async () => {
    const gracefulServer = await listen((_request, response) => response.end('done'));
    const caller = await call(gracefulServer);
    caller.socket.write(REQUEST);
    await waitFor(() => caller.answers() === 1);
    const closed = gracefulServer.close({ idleMs: TIMEOUT_MS / 2, timeoutMs: TIMEOUT_MS });
    caller.socket.write(REQUEST);
    assert.equal(await closed, 0);
    await waitFor(caller.isClosed);
    assert.equal(caller.answers(), 2);
    assert.match(caller.text(), /connection: close/i);
  });

  // Otherwise a closed server would continue to serve a keep-alive connection.
  it('closes a connection whose response has already announced keep-alive', async () => {
    const { serve, openResponses } = holdResponses();
    const gracefulServer = await listen(serve);
    const caller = await call(gracefulServer);
    caller.socket.write(REQUEST);
    await waitFor(() => openResponses.length === 1);
    openResponses[0]?.write('begun');
    await waitFor(() => caller.text().includes('begun'));
    const closed = gracefulServer.close({ idleMs: 0, timeoutMs: TIMEOUT_MS });
    openResponses[0]?.end('done');
    assert.equal(await closed, 0);
    await waitFor(caller.isClosed);
    assert.match(caller.text(), /keep-alive[^]*begun[^]*done/);
  });

  // Otherwise a response would be cut off when its caller reads slowly.
  it('sends the whole response that was ended before the shutdown', async () => {
    const gracefulServer = await listen((_request, response) => response.end(LARGE_ANSWER));
    const caller = await call(gracefulServer);
    caller.socket.pause();
    caller.socket.write(REQUEST);
    await waitFor(() => gracefulServer.open() === 1);
    const closed = gracefulServer.close({ idleMs: 0, timeoutMs: TIMEOUT_MS });
    caller.socket.resume();
    assert.equal(await closed, 0);
    await waitFor(caller.isClosed);
    const [, body = ''] = caller.text().split('\r\n\r\n');
    assert.equal(body.length, LARGE_ANSWER.length);
  });

  // Otherwise a stop would wait forever for a peer that connects and sends nothing.
  it('does not wait for a connection without requests', async () => {
    const gracefulServer = await listen((_request, response) => response.end('done'));
    const caller = await call(gracefulServer);
    assert.equal(await gracefulServer.close({ idleMs: 0, timeoutMs: TIMEOUT_MS }), 0);
    await waitFor(caller.isClosed);
  });

  describe('with pipelined requests', () => {
    // Otherwise a request would be lost if it is read after one whose response ends the connection.
    it('answers a request that arrives after keep-alive was disabled', async () => {
      const { serve, openResponses } = holdResponses();
      const gracefulServer = await listen(serve);
      const caller = await call(gracefulServer);
      caller.socket.write(REQUEST);
      await waitFor(() => openResponses.length === 1);
      gracefulServer.disableKeepAlive();
      caller.socket.write(REQUEST);
      await waitFor(() => openResponses.length === 2);
      for (const response of openResponses) response.end('done');
      await waitFor(caller.isClosed);
      assert.equal(caller.answers(), 2);
      assert.match(caller.text(), /keep-alive[^]*done[^]*connection: close[^]*done$/i);
      assert.equal(await gracefulServer.close({ idleMs: 0, timeoutMs: TIMEOUT_MS }), 0);
    });

    // Otherwise a request would run although its response can't be delivered.
    it('does not serve a request after a response that ends the connection', async () => {
      const { serve, openResponses } = holdResponses();
      const gracefulServer = await listen(serve);
      const caller = await call(gracefulServer);
      gracefulServer.disableKeepAlive();
      caller.socket.write(REQUEST);
      await waitFor(() => openResponses.length === 1);
      openResponses[0]?.write('begun');
      await waitFor(() => caller.text().includes('begun'));
      const readBytes = caller.peer.bytesRead;
      caller.socket.write(REQUEST);
      await waitFor(() => caller.peer.bytesRead > readBytes);
      openResponses[0]?.end('done');
      await waitFor(caller.isClosed);
      assert.equal(openResponses.length, 1);
      assert.equal(await gracefulServer.close({ idleMs: 0, timeoutMs: TIMEOUT_MS }), 0);
    });
  });

  // Otherwise a request that arrives slowly would be cut off.
  it('waits for the rest of a request after closing idle connections', async () => {
    const gracefulServer = await listen((request, response) => {
      request.resume().on('end', () => response.end('done'));
    });
    const caller = await call(gracefulServer);
    const idleCaller = await call(gracefulServer);
    caller.socket.write('GET / HTTP/1.1\r\nhost');
    await waitFor(() => caller.peer.bytesRead > 0);
    const closed = gracefulServer.close({ idleMs: 0, timeoutMs: TIMEOUT_MS });
    await waitFor(idleCaller.isClosed);
    caller.socket.write(': here\r\n\r\n');
    assert.equal(await closed, 0);
    await waitFor(caller.isClosed);
    assert.equal(caller.answers(), 1);
  });

  it('cuts off and counts the requests that are open at the timeout', async () => {
    const { serve, openResponses } = holdResponses();
    const gracefulServer = await listen(serve);
    const caller = await call(gracefulServer);
    caller.socket.write(REQUEST);
    await waitFor(() => openResponses.length === 1);
    assert.equal(await gracefulServer.close({ idleMs: 0, timeoutMs: 0 }), 1);
    await waitFor(caller.isClosed);
    assert.equal(caller.text(), '');
  });

  it('closes a server that has never listened', async () => {
    const gracefulServer = createGracefulServer({}, openGuard(), () => undefined);
    assert.equal(await gracefulServer.close({ idleMs: 0, timeoutMs: TIMEOUT_MS }), 0);
  });

  it('stops listening', async () => {
    const gracefulServer = await listen((_request, response) => response.end('done'));
    const { port } = gracefulServer.server.address() as AddressInfo;
    const closed = gracefulServer.close({ idleMs: 0, timeoutMs: TIMEOUT_MS });
    const refused = await new Promise((resolve) => {
      connect(port, HOST).on('error', resolve);
    });
    assert.match(String(refused), /ECONNREFUSED/);
    await closed;
  });
});
