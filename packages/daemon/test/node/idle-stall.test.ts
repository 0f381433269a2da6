/** Tests that a stall of the event loop is not taken for an idle time of a connection. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { type AddressInfo, connect } from 'node:net';
import { describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { createGracefulServer } from '../../src/node/graceful-server.js';
import { openGuard } from '../fixtures/open-guard.js';

const IDLE_MS = 200;
/** Node adds up to a second to the idle time. */
const STALL_MS = IDLE_MS + 1300;
const WAIT_MS = 500;
const REQUEST = 'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok';

describe('a kept connection', () => {
  describe('while the event loop stalls for longer than its idle time', () => {
    // The idle timer fires before what has arrived is read, and the caller's request is lost.
    it('is not closed if its next request has arrived', async (test) => {
      let served = 0;
      const { server } = createGracefulServer(
        { keepAliveTimeout: IDLE_MS },
        openGuard(),
        (request, response) => {
          served += 1;
          request.resume();
          request.on('end', () => response.end('answer'));
        },
      );
      server.listen(0, '127.0.0.1');
      await once(server, 'listening');
      const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
      test.after(() => {
        caller.destroy();
        server.close();
        server.closeAllConnections();
      });
      caller.on('error', () => undefined);
      await once(caller, 'connect');
      caller.write(REQUEST);
      await once(caller, 'data');
      // It is written at once, so it waits in the system's buffer while the loop stalls.
      caller.write(REQUEST);
      stall(STALL_MS);
      await sleep(WAIT_MS);
      assert.equal(served, 2);
    });
  });
});

function stall(forMs: number): void {
  const untilMs = performance.now() + forMs;
  while (performance.now() < untilMs);
}
