/** Checks how a server treats clients that send more than it has memory or descriptors for. */
import assert from 'node:assert/strict';
import type { ServerResponse } from 'node:http';
import { type AddressInfo } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { type ClientLimits } from '@cassiamast/coordination';
import {
  ClientLimit,
  YieldKind,
  type Yielded,
  createClientGuard,
} from '../../src/node/client-guard.js';
import { type GracefulServer, createGracefulServer } from '../../src/node/graceful-server.js';
import { BodyFault, readBody } from '../../src/node/http-body.js';
import { type RawCaller, callRaw } from '../fixtures/raw-caller.js';
import { waitFor } from '../fixtures/wait-for.js';

const HOST = '127.0.0.1';
const MAX_BODY_BYTES = 100_000;
const GET = 'GET / HTTP/1.1\r\nhost: here\r\n\r\n';
const POST = `POST / HTTP/1.1\r\nhost: here\r\ncontent-length: ${String(MAX_BODY_BYTES)}\r\n\r\n`;

describe('a guarded server', () => {
  let server: GracefulServer;
  const callers: RawCaller[] = [];
  const yielded: Yielded[] = [];
  /** Requests that were begun and are not answered, oldest first. */
  const begun: ServerResponse[] = [];
  const bodyBytes: number[] = [];

  afterEach(async () => {
    for (const caller of callers) caller.socket.destroy();
    callers.length = 0;
    yielded.length = 0;
    begun.length = 0;
    bodyBytes.length = 0;
    await server.close({ idleMs: 0, timeoutMs: 0 });
  });

  async function start(limits: ClientLimits): Promise<void> {
    const guard = createClientGuard({
      limits: () => limits,
      nowMs: () => performance.now(),
      onYielded: (one) => yielded.push(one),
    });
    server = createGracefulServer({}, guard, (request, response, hold) => {
      void readBody(request, MAX_BODY_BYTES, hold).then(async (body) => {
        if (body.isErr()) {
          response.shouldKeepAlive = false;
          response.statusCode = body.error === BodyFault.Refused ? 503 : 413;
          response.end();
          return;
        }
        if (!(await hold.turn())) return;
        bodyBytes.push(body.value.length);
        begun.push(response);
      });
    });
    await new Promise<void>((resolve) => server.server.listen(0, HOST, resolve));
  }

  function call(text: string): RawCaller {
    const caller = callRaw((server.server.address() as AddressInfo).port);
    callers.push(caller);
    caller.socket.write(text);
    return caller;
  }

  const answerAll = (): void => {
    for (const response of begun.splice(0)) response.end('done');
  };

  describe('whose client sends requests ahead', () => {
    const AMPLE = { maxBytes: 100_000_000, maxConnections: 100, maxRunning: 50 };

    it('runs a few at once and answers all in their order', async () => {
      await start(AMPLE);
      const caller = call(GET.repeat(64));
      await waitFor(() => begun.length === 8);
      let answers = 0;
      while (answers < 64) {
        await waitFor(() => begun.length > 0);
        answers += begun.length;
        answerAll();
      }
      await waitFor(() => caller.text().split('done').length === 65);
      assert.ok(yielded.every(({ kind }) => kind === YieldKind.Waits));
    });

    // Guards against memory for every request that one client cares to send.
    it('answers the first ones and then ends the connection if there are too many', async () => {
      await start(AMPLE);
      const caller = call(GET.repeat(1000));
      await waitFor(() => begun.length === 8);
      const closed = yielded.filter(({ kind }) => kind === YieldKind.Closed);
      assert.deepEqual(
        closed.map(({ limit }) => limit),
        [ClientLimit.RequestsAhead],
      );
      await waitFor(() => {
        answerAll();
        return caller.isClosed();
      });
      assert.equal(caller.answers(), 128);
    });

    // Guards against requests that run on although their caller has left.
    it('tells all requests that run of the end of the connection', async () => {
      await start(AMPLE);
      const caller = call(GET.repeat(8));
      await waitFor(() => begun.length === 8);
      caller.socket.destroy();
      await waitFor(() => begun.every((response) => response.destroyed));
    });
  });

  describe('whose clients send bodies that do not end', () => {
    // Guards against memory that only the number of connections bounds.
    it('refuses the largest as not run and keeps the others', async () => {
      await start({ maxBytes: 300_000, maxConnections: 100, maxRunning: 50 });
      const small = call(`${POST}small`);
      const large = call(POST + 'a'.repeat(90_000));
      const larger = call(POST + 'a'.repeat(99_000));
      await waitFor(() => yielded.length > 0);
      await waitFor(() => larger.isClosed() || large.isClosed());
      assert.match(large.text() + larger.text(), /^HTTP\/1.1 503/);
      assert.deepEqual([small.isClosed(), small.text()], [false, '']);
      assert.equal(
        yielded.every(({ kind }) => kind === YieldKind.Refused),
        true,
      );
    });

    it('serves the longest body alone', async () => {
      await start({ maxBytes: 300_000, maxConnections: 100, maxRunning: 50 });
      call(POST + 'a'.repeat(MAX_BODY_BYTES));
      await waitFor(() => begun.length === 1);
      assert.deepEqual(bodyBytes, [MAX_BODY_BYTES]);
      answerAll();
    });
  });

  describe('whose clients open more connections than it has descriptors for', () => {
    // Guards against a crowd of silent connections that keeps ordinary callers out.
    it('closes the one that is silent for longest and serves the newest', async () => {
      await start({ maxBytes: 100_000_000, maxConnections: 3, maxRunning: 50 });
      const silent = [call(''), call(''), call('')];
      await waitFor(() => silent.every(({ socket }) => !socket.connecting));
      const newest = call(GET);
      await waitFor(() => begun.length === 1);
      answerAll();
      await waitFor(() => newest.text().includes('done'));
      assert.equal(silent.filter((caller) => caller.isClosed()).length, 1);
    });
  });
});
