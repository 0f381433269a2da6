/** Whether a request may have run, against servers that misbehave at each point. */
import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import type { AddressInfo, Server, Socket } from 'node:net';
import { createServer } from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';
import type { HttpRequest, HttpTransport } from '../../src/http/transport.js';
import { createHttpTransport, isTrouble, TroubleKind } from '../../src/http/transport.js';

const LIMITS = { timeoutMs: 5_000, maxAnswerBytes: 1_000 };

describe('HTTP transport', () => {
  let transport: HttpTransport;
  let server: Server;
  let onSocket: (socket: Socket) => void;
  const sockets = new Set<Socket>();

  beforeEach(async () => {
    transport = createHttpTransport({ connectTimeoutMs: 1_000, maxConnections: 1 });
    server = createServer((socket) => {
      sockets.add(socket);
      socket.on('error', () => undefined);
      onSocket(socket);
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
  });
  afterEach(async () => {
    await transport.close();
    for (const socket of sockets) socket.destroy();
    server.close();
  });

  const request = (change: Partial<HttpRequest> = {}): HttpRequest => ({
    origin: `http://127.0.0.1:${String((server.address() as AddressInfo).port)}`,
    method: 'POST',
    path: '/',
    headers: {},
    body: 'work',
    ...change,
  });
  const answering = (text: string) => (socket: Socket) => {
    socket.on('data', () => socket.write(text));
  };
  const trouble = async (timeoutMs = LIMITS.timeoutMs) => {
    const outcome = await transport.exchange(request(), { ...LIMITS, timeoutMs });
    assert.ok(isTrouble(outcome));
    return [outcome.kind, outcome.mayHaveRun];
  };

  // At the height of a burst a process has no processor for a while. Its timers are late, and those
  // of its calls went off before the answers were read that had long come in: the other side was
  // taken for dead, by dozens of calls at once.
  describe('a process that stood still', () => {
    const whole = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok';
    const STANDSTILL_MS = 300;

    /** Another process answers, since this one stands still. */
    async function startServer(): Promise<{ readonly port: number; readonly end: () => void }> {
      const program = `require('node:net').createServer((socket) => {
        socket.on('error', () => undefined);
        socket.on('data', () => socket.write(${JSON.stringify(whole)}));
      }).listen(0, '127.0.0.1', function () { console.log(this.address().port); });`;
      const child = spawn(process.execPath, ['-e', program], {
        stdio: ['ignore', 'pipe', 'inherit'],
      });
      const [port] = (await once(child.stdout, 'data')) as [Buffer];
      return { port: Number(port.toString()), end: () => void child.kill('SIGKILL') };
    }

    it('takes an answer that came meanwhile', async () => {
      const { port, end } = await startServer();
      const asked = { ...request(), origin: `http://127.0.0.1:${String(port)}` };
      await transport.exchange(asked, LIMITS);
      const answer = transport.exchange(asked, { ...LIMITS, timeoutMs: STANDSTILL_MS / 3 });
      await new Promise(setImmediate);
      Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, STANDSTILL_MS);
      const outcome = await answer;
      end();
      assert.ok(!isTrouble(outcome));
    });
  });

  describe('an answer without a length', () => {
    const head = 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n';

    it('is whole when its connection ends', async () => {
      onSocket = (socket) => socket.once('data', () => socket.end(`${head}all of it`));
      const outcome = await transport.exchange(request(), LIMITS);
      assert.ok(!isTrouble(outcome));
      assert.equal(outcome.body.toString(), 'all of it');
    });

    // A caller gets the first half of a report as if it were the whole of it. A target crashes in
    // the middle of an answer that has no length; its connection is reset. The client library takes
    // that for the end of the answer, as it does for a connection that ends in order.
    it('is broken when its connection is reset after its bytes came', async () => {
      let server: Socket | null = null;
      onSocket = (socket) => {
        server = socket;
        socket.once('data', () => socket.write(`${head}half`));
      };
      const kind = await new Promise((resolve) => {
        transport.stream(request(), {
          onStart: () => undefined,
          onData: () => server?.resetAndDestroy(),
          onEnd: () => {
            resolve('whole');
          },
          onTrouble: (found) => {
            resolve(found.kind);
          },
        });
      });
      assert.equal(kind, TroubleKind.Broken);
    });

    // The same, but the reset arrives together with the bytes: the runtime then reports an end.
    it('is broken when its connection is reset with its bytes', async () => {
      onSocket = (socket) => {
        socket.once('data', () => {
          socket.write(`${head}half`, () => {
            setImmediate(() => socket.resetAndDestroy());
          });
        });
      };
      assert.deepEqual(await trouble(), [TroubleKind.Broken, true]);
    });
  });

  describe('an exchange', () => {
    it('brings status, headers and body', async () => {
      onSocket = answering('HTTP/1.1 201 Created\r\nX-A: b\r\ncontent-length: 2\r\n\r\nok');
      const outcome = await transport.exchange(request(), LIMITS);
      assert.ok(!isTrouble(outcome));
      assert.equal(outcome.status, 201);
      assert.equal(outcome.headers['x-a'], 'b');
      assert.equal(outcome.body.toString(), 'ok');
    });

    it('without a connection did not run', async () => {
      const gone = request();
      server.close();
      const outcome = await transport.exchange(gone, LIMITS);
      assert.ok(isTrouble(outcome));
      assert.deepEqual([outcome.kind, outcome.mayHaveRun], [TroubleKind.Unreachable, false]);
    });

    it('whose connection breaks before the answer may have run', async () => {
      onSocket = (socket) => socket.on('data', () => socket.destroy());
      assert.deepEqual(await trouble(), [TroubleKind.Broken, true]);
    });

    it('whose answer is cut may have run', async () => {
      onSocket = (socket) => {
        socket.on('data', () => socket.end('HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf'));
      };
      assert.deepEqual(await trouble(), [TroubleKind.Broken, true]);
    });

    it('without an answer in time may have run', async () => {
      onSocket = () => undefined;
      assert.deepEqual(await trouble(20), [TroubleKind.TimedOut, true]);
    });

    it('that waits for a connection until its time is over is never sent', async () => {
      // All connections to an engine are busy. A request waits in line and its time ends there;
      // it is told as not run, so it must not be written when a connection is free again.
      let received = '';
      onSocket = (socket) => {
        socket.on('data', (data) => {
          received += data.toString();
        });
      };
      const first = transport.exchange(request({ path: '/first' }), { ...LIMITS, timeoutMs: 60 });
      const second = transport.exchange(request({ path: '/second' }), { ...LIMITS, timeoutMs: 20 });
      const outcome = await second;
      assert.ok(isTrouble(outcome));
      assert.deepEqual([outcome.kind, outcome.mayHaveRun], [TroubleKind.TimedOut, false]);
      await first;
      const third = transport.exchange(request({ path: '/third' }), { ...LIMITS, timeoutMs: 60 });
      await third;
      assert.match(received, /third/);
      assert.doesNotMatch(received, /second/);
    });

    it('with an answer that is too large is given up', async () => {
      onSocket = answering(`HTTP/1.1 200 OK\r\ncontent-length: 2000\r\n\r\n${'x'.repeat(2_000)}`);
      assert.deepEqual(await trouble(), [TroubleKind.TooLarge, true]);
    });
  });

  describe('a stream', () => {
    it('calls no handler after it was stopped', async () => {
      onSocket = answering('HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf');
      let calls = 0;
      const count = (): void => {
        calls += 1;
      };
      await new Promise<void>((resolve) => {
        const stream = transport.stream(request(), {
          onStart: () => undefined,
          onData: () => {
            stream.stop();
            resolve();
          },
          onEnd: count,
          onTrouble: count,
        });
      });
      for (const socket of sockets) socket.destroy();
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
      assert.equal(calls, 0);
    });

    it('that is paused holds the other side back, and brings all when resumed', async () => {
      // A caller reads slowly. The bytes must wait on the far side, not in this process: the
      // far side's writes stop being taken long before the whole answer is sent.
      const total = 64 * 1024 * 1024;
      let blocked: () => void = () => undefined;
      const held = new Promise<void>((resolve) => {
        blocked = resolve;
      });
      onSocket = (socket) => {
        socket.once('data', () => {
          socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${String(total)}\r\n\r\n`);
          const block = Buffer.alloc(1024 * 1024);
          let sent = 0;
          const more = (): void => {
            while (sent < total) {
              sent += block.length;
              if (socket.write(block)) continue;
              socket.once('drain', more);
              blocked();
              return;
            }
          };
          more();
        });
      };
      let received = 0;
      const whole = new Promise<void>((resolve, reject) => {
        const stream = transport.stream(request(), {
          onStart: () => {
            stream.pause();
            void held.then(() => {
              assert.ok(received < total / 2);
              stream.resume();
            });
          },
          onData: (chunk) => {
            received += chunk.length;
          },
          onEnd: resolve,
          onTrouble: (failed) => {
            reject(new Error(failed.detail));
          },
        });
      });
      await whole;
      assert.equal(received, total);
    });
  });
});
