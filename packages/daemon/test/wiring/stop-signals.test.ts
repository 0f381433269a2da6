/** What a daemon does with the signals that stop it, as a process of its own. */
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
import { withResolvers } from '../../src/node/http-body.js';
import { ExitCode, type ProcessOptions, runProcess } from '../../src/node/run-process.js';
import { waitFor } from '../fixtures/wait-for.js';

const MAIN = new URL('../../src/main.js', import.meta.url).pathname;
const HOST = '127.0.0.1';
/** Long enough for a signal to reach the process while it stops. */
const NOTICE_MS = 500;

/** A daemon as a process of its own. */
interface Daemon {
  readonly kill: (signal: NodeJS.Signals) => void;
  /** Exit code and signal. */
  readonly exit: Promise<unknown[]>;
  /** Resolves when its log has this text. */
  readonly says: (what: string) => Promise<void>;
}

/** Runs a process within the test; `ends` takes its exit codes. */
function run(
  source: EventEmitter,
  stop: () => Promise<void>,
  ends: ExitCode[],
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
    exit: (code) => ends.push(code),
  };
  runProcess(source, options);
  return nextTurn();
}

describe('signals that stop', () => {
  it('stop once, whichever come', async () => {
    const source = new EventEmitter();
    const stopped = withResolvers<undefined>();
    let stops = 0;
    const ends: ExitCode[] = [];
    const stop = (): Promise<void> => {
      stops += 1;
      return stopped.promise;
    };
    await run(source, stop, ends);
    for (const signal of ['SIGTERM', 'SIGINT', 'SIGTERM']) source.emit(signal);
    assert.deepEqual([stops, ends], [1, []]);
    stopped.resolve(undefined);
    await waitFor(() => ends.length > 0);
    assert.deepEqual([stops, ends], [1, [ExitCode.Stopped]]);
  });

  it('tell that stopping failed', async () => {
    const source = new EventEmitter();
    const ends: ExitCode[] = [];
    const reported: string[] = [];
    const cause = 'a part does not stop';
    await run(source, () => Promise.reject(new Error(cause)), ends, reported);
    source.emit('SIGTERM');
    await waitFor(() => ends.length > 0);
    assert.deepEqual(ends, [ExitCode.Failed]);
    assert.ok(reported[0]?.includes(cause));
  });

  // Guards against a stop that throws at once, after which the process would never end.
  it('end a process whose stop throws', async () => {
    const source = new EventEmitter();
    const ends: ExitCode[] = [];
    const stop = (): never => {
      throw new Error('thrown');
    };
    await run(source, stop, ends);
    source.emit('SIGTERM');
    await waitFor(() => ends.length > 0);
    assert.deepEqual(ends, [ExitCode.Failed]);
  });
});

describe('a signal that comes before the process has started', () => {
  const base: Omit<ProcessOptions, 'start' | 'exit'> = {
    worksWhileStarting: false,
    stopSignals: ['SIGTERM'],
    report: (_, done) => {
      done();
    },
  };

  // Guards against an announcement that outlives its process.
  it('ends it when what it has told others is taken back', async () => {
    const source = new EventEmitter();
    const ends: ExitCode[] = [];
    const taken = withResolvers<undefined>();
    const start: ProcessOptions['start'] = (_, onTold) => {
      onTold(() => taken.promise);
      return new Promise(() => undefined);
    };
    runProcess(source, { ...base, start, exit: (code) => ends.push(code) });
    source.emit('SIGTERM');
    await nextTurn();
    assert.deepEqual(ends, []);
    taken.resolve(undefined);
    await waitFor(() => ends.length > 0);
    assert.deepEqual(ends, [ExitCode.Stopped]);
  });

  // Guards against an exit that cuts what a process took which began to serve meanwhile.
  it('stops it gracefully when it has started meanwhile', async () => {
    const source = new EventEmitter();
    const ends: ExitCode[] = [];
    const taken = withResolvers<undefined>();
    const started = withResolvers<{ stop: () => Promise<void> }>();
    const stopped = withResolvers<undefined>();
    const start: ProcessOptions['start'] = (_, onTold) => {
      onTold(() => taken.promise);
      return started.promise;
    };
    runProcess(source, { ...base, start, exit: (code) => ends.push(code) });
    source.emit('SIGTERM');
    started.resolve({ stop: () => stopped.promise });
    await nextTurn();
    taken.resolve(undefined);
    await nextTurn();
    assert.deepEqual(ends, []);
    stopped.resolve(undefined);
    await waitFor(() => ends.length > 0);
    assert.deepEqual(ends, [ExitCode.Stopped]);
  });
});

describe('an error that nothing caught', () => {
  // Guards against a fault in one request that cuts all others.
  it('stops the process gracefully, with its own exit code', async () => {
    const source = new EventEmitter();
    const stopped = withResolvers<undefined>();
    const ends: ExitCode[] = [];
    const reported: string[] = [];
    await run(source, () => stopped.promise, ends, reported);
    source.emit('uncaughtException', new Error('thrown'));
    await nextTurn();
    assert.deepEqual(ends, []);
    stopped.resolve(undefined);
    await waitFor(() => ends.length > 0);
    assert.deepEqual(ends, [ExitCode.Failed]);
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
    child.stderr.on('data', (part: Buffer) => {
      log += part.toString();
    });
    const says = (what: string): Promise<void> => waitFor(() => log.includes(what));
    return { kill: (signal) => child.kill(signal), exit: once(child, 'exit'), says };
  }

  // Guards against a second signal that kills a process while it drains.
  for (const [first, second] of [
    ['SIGTERM', 'SIGTERM'],
    ['SIGINT', 'SIGINT'],
  ] as const) {
    it(`that stops for ${first} is not ended by a further ${second}`, async () => {
      const daemon = await startEntry(await freePort());
      await daemon.says('entry serves');
      daemon.kill(first);
      await daemon.says('entry stops');
      daemon.kill(second);
      assert.deepEqual(await daemon.exit, [0, null]);
    });
  }

  // Guards against a signal that kills a process while some of its parts work already.
  it('that is told to stop while it starts stops gracefully', async () => {
    const port = await freePort();
    const holder = createServer();
    await new Promise<void>((resolve) => holder.listen(port, HOST, resolve));
    const daemon = await startEntry(port);
    await daemon.says('control-server waits');
    daemon.kill('SIGTERM');
    await new Promise((resolve) => holder.close(resolve));
    assert.deepEqual(await daemon.exit, [0, null]);
  });
});
