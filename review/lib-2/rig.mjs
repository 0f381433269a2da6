/** Starts gateways as the deploy file does, and keeps the record of a case. */
import { spawn } from 'node:child_process';
import { mkdtempSync, openSync, rmSync, writeFileSync } from 'node:fs';
import { get } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
export const HOST = '127.0.0.1';
/** Exit codes of a case. */
export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;
/** False runs the case without its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';
/** The bounds of the sheet of tengis-connect. */
const BOUNDS = {
  seedLagS: 3,
  reuseAfterS: 2,
  contactMs: 3000,
  ackTimeoutMs: 4000,
  catchUpS: 4,
  drainMs: 2000,
  graceS: 8,
  lossSlackMs: 200,
  configApplyMs: 2000,
  rollbackSlackMs: 250,
  maxSkewMs: 5000,
  retryBudgetRatio: 0.2,
  retryWindowS: 10,
  retrySlack: 58,
  recoveryS: 12,
  transitMs: 120,
  reuseWindowS: 9.8,
  fencingEnforced: false,
  leaseMs: 3000,
  thawSlackMs: 300,
};

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

async function freePorts(count) {
  const servers = Array.from({ length: count }, () => createServer());
  await Promise.all(servers.map((each) => new Promise((done) => each.listen(0, HOST, done))));
  const ports = servers.map((each) => each.address().port);
  await Promise.all(servers.map((each) => new Promise((done) => each.close(done))));
  return ports;
}

/** Creates the record of a case, written to `record.txt` in its folder. */
export function createRecord(folder) {
  const lines = [];
  const startedAtMs = performance.now();
  return {
    note: (text) => {
      const atS = (performance.now() - startedAtMs) / 1000;
      lines.push(`${atS.toFixed(3).padStart(8)}  ${text}`);
    },
    write: () => writeFileSync(join(folder, 'record.txt'), `${lines.join('\n')}\n`),
  };
}

/** Creates the place where gateways run: a temporary folder and their processes. */
export function createRig() {
  const folder = mkdtempSync(join(tmpdir(), 'cassiamast-review-'));
  const children = new Set();
  const killAll = () => {
    for (const child of children) child.kill('SIGKILL');
  };
  process.once('exit', killAll);
  for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) {
    process.once(signal, () => process.exit(NOT_RUN));
  }

  /** Starts a gateway; `settings` adds to its settings file. */
  async function startGateway(name, zone, storeAddress, settings = {}) {
    const [front, readiness, members, metrics] = await freePorts(4);
    const path = join(folder, `${name}.json`);
    const address = (port) => `${HOST}:${port}`;
    writeFileSync(
      path,
      JSON.stringify({
        nodeName: name,
        role: 'gateway',
        machineClass: 'edge',
        serves: ['edge'],
        ip: HOST,
        zone,
        region: 'ulaanbaatar',
        listenersAddr: { frontend: address(front), readiness: address(readiness) },
        internalPortRange: [members, members],
        bootstrap: true,
        limits: { cpuQuota: 0.513, cpuCores: 1, memoryMb: 350, maxFds: 4100, linkMbps: 1000 },
        dataDir: null,
        discovery: 'platform',
        heartbeatMs: 1200,
        platform: { address: storeAddress, form: 'kv', minTtlMs: 1000, valueBytes: 1048576 },
        ...settings,
        bounds: { ...BOUNDS, ...settings.bounds },
      }),
    );
    const log = openSync(join(folder, `${name}.log`), 'a');
    const words = ['--max-old-space-size=127', '--max-semi-space-size=2'];
    const program = ['target/cassiamast.cjs', 'gateway', '--metrics-port', String(metrics)];
    const gateway = { name, port: front, logPath: join(folder, `${name}.log`), child: null };
    gateway.start = () => {
      const child = spawn(process.execPath, [...words, ...program], {
        cwd: ROOT,
        env: { PATH: process.env.PATH, CASSIAMAST_BOOT: path },
        stdio: ['ignore', log, log],
      });
      children.add(child);
      child.once('exit', () => children.delete(child));
      gateway.child = child;
    };
    gateway.isReady = () => statusOf(readiness).then((status) => status === 200);
    gateway.start();
    return gateway;
  }

  return {
    folder,
    startGateway,
    close: () => {
      killAll();
      rmSync(folder, { recursive: true, force: true });
    },
  };
}

function statusOf(port) {
  return new Promise((resolve) => {
    get({ host: HOST, port, path: '/cassiamast/readyz', agent: false }, (response) => {
      response.resume();
      resolve(response.statusCode);
    }).once('error', () => resolve(0));
  });
}

/** Waits until a condition holds; resolves with whether it did in time. */
export async function until(condition, withinMs) {
  const endsAtMs = performance.now() + withinMs;
  while (performance.now() < endsAtMs) {
    if (await condition()) return true;
    await sleep(50);
  }
  return false;
}
