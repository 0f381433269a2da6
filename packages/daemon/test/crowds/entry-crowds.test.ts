/** Crowds of misbehaving clients before an entry that is a real process on a small machine. */
import assert from 'node:assert/strict';
import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, describe, it } from 'node:test';
import {
  type CrowdScript,
  blockOf,
  chunksOf,
  freePort,
  startCrowd,
  watchPeak,
} from '@cassiamast/stand-ins';
import { API_KEY, type Fleet, PLAIN_SERVICE, SECRET, startFleet } from '../fixtures/fleet.js';
import { waitFor } from '../fixtures/wait-for.js';

const MAIN = new URL('../../src/main.js', import.meta.url).pathname;
const HOST = '127.0.0.1';
/** The machine of the entry, and a heap in the proportion of the deploy file's. */
const MACHINE = { memoryMb: 220, maxFds: 700 };
const FLAGS = ['--max-old-space-size=72'];
const CROWD_MS = 8000;
const KIB = 1024;
const MIB = 1024 * KIB;
/** The limit of the fleet's configuration. */
const MAX_BODY_BYTES = MIB;

const PATH = `/services/${PLAIN_SERVICE}/status`;
const CHUNKED = 'transfer-encoding: chunked\r\n\r\n';
const post = (path: string, authorization: string, lines: string): string =>
  `POST ${path} HTTP/1.1\r\nhost: here\r\nauthorization: Bearer ${authorization}\r\n${lines}`;
const call = (bytes: number): string =>
  `${post(PATH, API_KEY, `content-length: ${String(bytes)}\r\n\r\n`)}${'b'.repeat(bytes)}`;

function unfinished(clients: number, chunkBytes: number, bytes: number, head: string): CrowdScript {
  const block = chunksOf(chunkBytes);
  const bytesOnWire = chunkBytes + `${chunkBytes.toString(16)}\r\n\r\n`.length;
  const totalBytes = Math.floor(bytes / chunkBytes) * bytesOnWire;
  return { clients, head, block, totalBytes, reads: false };
}

enum EntryPort {
  Callers = 'callers',
  Control = 'control',
}

const CALLERS_HEAD = post(PATH, API_KEY, CHUNKED);
const CONTROL_HEAD = post('/rpc', SECRET, CHUNKED);
const ALMOST_WHOLE = MAX_BODY_BYTES - 64 * KIB;

const CROWDS: readonly (readonly [EntryPort, string, CrowdScript])[] = [
  [EntryPort.Callers, 'large chunks', unfinished(200, 64 * KIB, ALMOST_WHOLE, CALLERS_HEAD)],
  [EntryPort.Callers, 'chunks of one byte', unfinished(16, 1, 200_000, CALLERS_HEAD)],
  [
    EntryPort.Callers,
    'calls ahead',
    { clients: 40, head: '', block: blockOf(call(2 * KIB)), totalBytes: 8 * MIB, reads: false },
  ],
  [EntryPort.Control, 'large chunks', unfinished(60, 64 * KIB, 4 * MIB, CONTROL_HEAD)],
  [EntryPort.Control, 'chunks of one byte', unfinished(16, 1, 200_000, CONTROL_HEAD)],
];

describe('an entry', () => {
  let fleet: Fleet;
  let directory: string;
  let entry: ChildProcess;
  let ports: Record<EntryPort, number>;

  beforeEach(async () => {
    fleet = await startFleet({ entries: 1, engines: 0, plainServices: 2 });
    directory = await mkdtemp(join(tmpdir(), 'entry-crowds-'));
    ports = { callers: await freePort(), control: await freePort() };
    const file = join(directory, 'settings.yaml');
    const peer = fleet.entries[0]?.settings.control;
    const settings = {
      kind: 'entry',
      control: { host: HOST, port: ports.control },
      callers: { host: HOST, port: ports.callers },
      failureDomain: 'eros-hall',
      peers: [`${HOST}:${String(peer?.port)}`],
      keyValue: { endpoints: [fleet.keyValue.address] },
      ...MACHINE,
    };
    await writeFile(file, JSON.stringify(settings));
    entry = spawn(process.execPath, [...FLAGS, MAIN, '--settings', file], {
      env: { PATH: process.env.PATH, CASSIAMAST_SECRET: SECRET },
      stdio: 'ignore',
    });
    await waitFor(async () => (await statusOf('/healthz', 'GET')) === 200);
  });
  afterEach(async () => {
    const ended = entry.exitCode === null && entry.signalCode === null ? once(entry, 'exit') : null;
    entry.kill('SIGKILL');
    await ended;
    await fleet.stop();
    await rm(directory, { recursive: true });
  });

  async function statusOf(path: string, method = 'POST'): Promise<number> {
    const headers = { authorization: `Bearer ${API_KEY}` };
    const url = `http://${HOST}:${String(ports.callers)}${path}`;
    return fetch(url, { method, headers }).then(
      async (answer) => {
        await answer.text();
        return answer.status;
      },
      () => 0,
    );
  }

  // Guards against the end of a process whose clients send more than it has memory for.
  for (const [port, kind, script] of CROWDS) {
    it(`whose ${port} port gets ${kind}`, async () => {
      const watch = watchPeak(entry.pid ?? 0, Object.values(ports));
      const crowd = startCrowd(`${HOST}:${String(ports[port])}`, script);
      await crowd.settled(CROWD_MS);
      await crowd.leave();
      const peak = watch.end();
      const seen = { ...peak, exitCode: entry.exitCode, status: await statusOf(PATH) };
      const isWithinMachine =
        peak.memoryMb <= MACHINE.memoryMb && peak.descriptors <= MACHINE.maxFds;
      assert.ok(isWithinMachine && seen.status === 200, JSON.stringify(seen));
    });
  }
});
