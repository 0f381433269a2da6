// Starts gateways as separate processes, with the command of the deploy file and settings like those
// of a small deployment.
import { spawn } from 'node:child_process';
import { mkdirSync, openSync, readFileSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { get } from 'node:http';
import { join } from 'node:path';

// Ends the gateways, too, if the script is stopped.
for (const signal of ['SIGTERM', 'SIGINT']) process.on(signal, () => process.exit(2));
process.setMaxListeners(0);

let nextPort = 20_000 + Math.floor(Math.random() * 9000);

/** Returns a free port below those that the system gives to outgoing connections. */
export async function freePort(host = '127.0.0.1') {
  for (;;) {
    nextPort = nextPort >= 31_000 ? 20_000 : nextPort + 1;
    const port = nextPort;
    const isFree = await new Promise((resolve) => {
      const server = createServer();
      server.once('error', () => resolve(false));
      server.listen(port, host, () => server.close(() => resolve(true)));
    });
    if (isFree) return port;
  }
}

export const BOUNDS = {
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
  reuseWindowS: 10,
  fencingEnforced: false,
  leaseMs: 3000,
  thawSlackMs: 300,
};

function deployCommand(root) {
  const text = readFileSync(join(root, 'deploy', 'system.toml'), 'utf8');
  return /^run = "([^"]+)"$/m.exec(text)[1].split(' ');
}

/** Prepares a gateway; `start` may be called again after its process has ended. */
export async function prepareGateway(root, folder, name, zone, storeAddress, extra = {}) {
  const host = '127.0.0.1';
  const ports = [];
  for (let index = 0; index < 5; index += 1) ports.push(await freePort(host));
  const [front, ready, members, metrics, control] = ports;
  mkdirSync(folder, { recursive: true });
  const settingsPath = join(folder, `${name}.json`);
  writeFileSync(
    settingsPath,
    JSON.stringify({
      nodeName: name,
      role: 'gateway',
      machineClass: 'edge',
      serves: ['edge'],
      ip: host,
      zone,
      region: 'khomas',
      zones: { 'hosea-kutako': 'khomas', 'eros-hall': 'khomas', prosperita: 'khomas' },
      listenersAddr: { frontend: `${host}:${front}`, readiness: `${host}:${ready}` },
      internalPortRange: [members, members],
      seedNodes: [],
      bootstrap: true,
      failureCounted: false,
      limits: {
        cpuQuota: 0.513,
        cpuCores: 1,
        memoryMb: 350,
        maxFds: 4100,
        linkMbps: 1000,
        diskMb: 0,
      },
      dataDir: null,
      discovery: 'platform',
      entry: 'vip',
      heartbeatMs: 1200,
      contracts: [
        'base',
        'drain',
        'config',
        'cost',
        'retry',
        'recover',
        'split',
        'stream',
        'engine',
        'platform',
      ],
      faultTolerance: { machineFailures: 2, zones: 0, regionFailures: 0 },
      bounds: BOUNDS,
      platform: {
        address: storeAddress,
        form: 'kv',
        writesPerS: 400,
        readsPerS: 2000,
        historyS: 20,
        valueBytes: 1048576,
        minTtlMs: 1000,
      },
      ...extra,
    }),
  );
  const log = openSync(join(folder, `${name}.log`), 'a');
  const [program, ...words] = deployCommand(root);
  const args = words.map((word) => (word === '9464' ? String(metrics) : word));
  let child = null;
  let ended = Promise.resolve();
  const self = {
    name,
    callers: `${host}:${front}`,
    readiness: `${host}:${ready}`,
    metrics: `${host}:${metrics}`,
    logPath: join(folder, `${name}.log`),
    settingsPath,
    start: () => {
      child = spawn(program === 'node' ? process.execPath : program, args, {
        cwd: root,
        env: {
          PATH: process.env.PATH,
          HOME: process.env.HOME ?? '/tmp',
          CASSIAMAST_BOOT: settingsPath,
        },
        stdio: ['ignore', log, log],
      });
      const started = child;
      process.once('exit', () => started.kill('SIGKILL'));
      ended = new Promise((resolve) =>
        started.once('exit', (code, signal) => resolve({ code, signal })),
      );
    },
    signal: (signal) => child?.kill(signal),
    isRunning: () => child !== null && child.exitCode === null && child.signalCode === null,
    ended: () => ended,
    pid: () => child?.pid,
    ready: () => statusOf(`http://${host}:${ready}/cassiamast/readyz`),
    untilReady: async (withinMs = 15000) => {
      const endsAtMs = performance.now() + withinMs;
      while (performance.now() < endsAtMs) {
        if ((await self.ready()) === 200) return;
        await new Promise((resolve) => setTimeout(resolve, 50));
      }
      throw new Error(`${name} did not become ready`);
    },
    kill: async () => {
      if (self.isRunning()) {
        child.kill('SIGKILL');
        await ended;
      }
    },
  };
  return self;
}

export function statusOf(url) {
  return new Promise((resolve) => {
    const request = get(url, { agent: false, timeout: 1000 }, (response) => {
      response.resume();
      resolve(response.statusCode);
    });
    request.once('error', () => resolve(0));
    request.once('timeout', () => request.destroy());
  });
}
