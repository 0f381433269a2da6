/**
 * Tests how a daemon handles stop signals and uncaught errors, in the test and as a separate
 * process.
 */
import assert from 'node:assert/strict';
import { type ChildProcess, spawn } from 'node:child_process';
import { EventEmitter, once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, describe, it } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { type KeyValueStandIn, freePort, startKeyValue } from '@cassiamast/stand-ins';
import { withResolvers } from '../../src/node/promises.js';
import { ExitCode, type ProcessOptions, runProcess } from '../../src/node/run-process.js';
import { waitFor } from '../fixtures/wait-for.js';

const MAIN = new URL('../../src/main.js', import.meta.url).pathname;
const HOST = '127.0.0.1';
/** Long enough for a second signal to reach the process while it stops. */
const NOTICE_MS = 500;

/** A daemon that runs as a separate process. */
interface Daemon {
  readonly kill: (signal: NodeJS.Signals) => void;
  /** Resolves to the exit code and the signal. */
  readonly exit: Promise<unknown[]>;
  /** Resolves when the log contains the text. */
  readonly waitForLog: (text: string) => Promise<void>;
}

/** Runs a process within the test and appends its exit codes to `exitCodes`. */
function run(
  source: EventEmitter,
  stop: () => Promise<void>,
  exitCodes: ExitCode[],
  reported: string[] = [],
): Promise<void> {
  const options: ProcessOptions = {
    start: () => Promise.resolve({ stop }),
    worksWhileStarting: false,
    stopSignals: ['SIGTERM', 'SIGINT'],
    report: (message, done) => {
      reported.push(message);
      done();
    },
    exit: (code) => exitCodes.push(code),
  };
  runProcess(source, options);
  return nextTurn();
}

describe('stop signals', () => {
  it('stop the process once, however many arrive', async () => {
    const source = new EventEmitter();
    const stopped = withResolvers<undefined>();
    let stops = 0;
    const exitCodes: ExitCode[] = [];
    const stop = (): Promise<void> => {
      stops += 1;
      return stopped.promise;
    };
    await run(source, stop, exitCodes);
    for (const signal of ['SIGTERM', 'SIGINT', 'SIGTERM']) source.emit(signal);
    assert.deepEqual([stops, exitCodes], [1, []]);
    stopped.resolve(undefined);
    await waitFor(() => exitCodes.length > 0);
    assert.deepEqual([stops, exitCodes], [1, [ExitCode.Stopped]]);
  });

  it('report that stopping failed', async () => {
    const source = new EventEmitter();
    const exitCodes: ExitCode[] = [];
    const reported: string[] = [];
    const cause = 'a part does not stop';
    await run(source, () => Promise.reject(new Error(cause)), exitCodes, reported);
    source.emit('SIGTERM');
    await waitFor(() => exitCodes.length > 0);
    assert.deepEqual(exitCodes, [ExitCode.Failed]);
    assert.ok(reported[0]?.includes(cause));
  });

  // A stop function that throws synchronously must not keep the process from exiting.
  it('end a process whose stop function throws', async () => {
    const source = new EventEmitter();
    const exitCodes: ExitCode[] = [];
    const stop = (): never => {
      throw new Error('thrown');
    };
    await run(source, stop, exitCodes);
    source.emit('SIGTERM');
    await waitFor(() => exitCodes.length > 0);
    assert.deepEqual(exitCodes, [ExitCode.Failed]);
  });
});

describe('a signal that arrives before the process has started', () => {
  const base: Omit<ProcessOptions, 'start' | 'exit'> = {
    worksWhileStarting: false,
    stopSignals: ['SIGTERM'],
    report: (_, done) => {
      done();
    },
  };

  // An early exit must not leave an announcement behind that others still act on.
  it('ends the process once its announcement is withdrawn', async () => {
    const source = new EventEmitter();
    const exitCodes: ExitCode[] = [];
    const withdrawn = withResolvers<undefined>();
    const start: ProcessOptions['start'] = (_, onAnnounced) => {
      onAnnounced(() => withdrawn.promise);
      return new Promise(() => undefined);
    };
    runProcess(source, { ...base, start, exit: (code) => exitCodes.push(code) });
    source.emit('SIGTERM');
    await nextTurn();
    assert.deepEqual(exitCodes, []);
    withdrawn.resolve(undefined);
    await waitFor(() => exitCodes.length > 0);
    assert.deepEqual(exitCodes, [ExitCode.Stopped]);
  });

  // The process may start serving while its announcement is withdrawn. Exiting then would cut off the
  // work that it has accepted.
  it('stops the process gracefully if it has started in the meantime', async () => {
    const source = new EventEmitter();
    const exitCodes: ExitCode[] = [];
    const withdrawn = withResolvers<undefined>();
    const started = withResolvers<{ stop: () => Promise<void> }>();
    const stopped = withResolvers<undefined>();
    const start: ProcessOptions['start'] = (_, onAnnounced) => {
      onAnnounced(() => withdrawn.promise);
      return started.promise;
    };
    runProcess(source, { ...base, start, exit: (code) => exitCodes.push(code) });
    source.emit('SIGTERM');
    started.resolve({ stop: () => stopped.promise });
    await nextTurn();
    withdrawn.resolve(undefined);
    await nextTurn();
    assert.deepEqual(exitCodes, []);
    stopped.resolve(undefined);
    await waitFor(() => exitCodes.length > 0);
    assert.deepEqual(exitCodes, [ExitCode.Stopped]);
  });
});

describe('an uncaught error', () => {
  // A fault in one request must not cut off all other requests.
  it('stops the process gracefully, with its own exit code', async () => {
    const source = new EventEmitter();
    const stopped = withResolvers<undefined>();
    const exitCodes: ExitCode[] = [];
    const reported: string[] = [];
    await run(source, () => stopped.promise, exitCodes, reported);
    source.emit('uncaughtException', new Error('thrown'));
    await nextTurn();
    assert.deepEqual(exitCodes, []);
    stopped.resolve(undefined);
    await waitFor(() => exitCodes.length > 0);
    assert.deepEqual(exitCodes, [ExitCode.Failed]);
    assert.ok(reported[0]?.includes('thrown'));
  });
});

describe('a daemon', () => {
  let keyValue: KeyValueStandIn;
  let directory: string;
  const children: ChildProcess[] = [];

  before(async () => {
    keyValue = await startKeyValue();
    directory = await mkdtemp(join(tmpdir(), 'stop-signals-'));
  });
  after(async () => {
    for (const child of children) child.kill('SIGKILL');
    await keyValue.stop();
    await rm(directory, { recursive: true });
  });

  async function startEntry(control: number): Promise<Daemon> {
    const file = join(directory, `${String(control)}.yaml`);
    const settings = {
      kind: 'entry',
      control: { host: HOST, port: control },
      callers: { host: HOST, port: await freePort() },
      failureDomain: 'here',
      keyValue: { endpoints: [keyValue.address] },
      noticeMs: NOTICE_MS,
    };
    await writeFile(file, JSON.stringify(settings));
    const env = { ...process.env, CASSIAMAST_SECRET: 'a-secret-of-the-signal-test' };
    const child = spawn(process.execPath, [MAIN, '--settings', file], { env });
    children.push(child);
    let log = '';
    child.stderr.on('data', (chunk: Buffer) => {
      log += chunk.toString();
    });
    const waitForLog = (text: string): Promise<void> => waitFor(() => log.includes(text));
    return {
      kill: (signal) => child.kill(signal),
      exit: once(child, 'exit'),
      waitForLog,
    };
  }

  // A second signal must not kill the process while it drains.
  for (const [first, second] of [
    ['SIGTERM', 'SIGTERM'],
    ['SIGINT', 'SIGINT'],
  ] as const) {
    it(`that stops after ${first} is not ended by another ${second}`, async () => {
      const daemon = await startEntry(await freePort());
      await daemon.waitForLog('entry is serving');
      daemon.kill(first);
      await daemon.waitForLog('entry is stopping');
      daemon.kill(second);
      assert.deepEqual(await daemon.exit, [0, null]);
    });
  }

  // A signal during the start must not kill the process while some of its parts already run.
  it('stops gracefully when it is stopped while it starts', async () => {
    const port = await freePort();
    const holder = createServer();
    await new Promise<void>((resolve) => holder.listen(port, HOST, resolve));
    const daemon = await startEntry(port);
    await daemon.waitForLog('control-server waits');
    daemon.kill('SIGTERM');
    await new Promise((resolve) => holder.close(resolve));
    assert.deepEqual(await daemon.exit, [0, null]);
  });
});
