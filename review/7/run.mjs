/**
 * The store comes back from a copy some seconds old, and the gateways are stopped and started in turn. A
 * usage window that was reported shortly before is reported once more, with other counts.
 */
import { Agent, createServer, request as sendRequest } from 'node:http';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { startPlainServer } from '../lib-2/plain-server.mjs';
import {
  BROKEN,
  HAS_TROUBLE,
  HELD,
  HOST,
  NOT_RUN,
  createRecord,
  createRig,
  sleep,
  until,
} from '../lib-2/rig.mjs';
import { startStore } from '../lib-2/store.mjs';

const SERVICE = 'ramp-portal';
const HOST_NAME = 'portal.example';
const ZONES = ['hosea-kutako', 'eros-hall', 'prosperita'];
const TENANTS = ['lessor', 'records-office'];
const GAP_MS = 50;
const DEADLINE_MS = 1000;
/** Copies of the store are taken this often; it comes back from one of this age or a little more. */
const COPY_EVERY_MS = 500;
const COPY_AGE_MS = 6000;
const AWAY_MS = 500;
/** The machines are stopped one after the other, and started again after they have ended. */
const STOP_GAP_MS = 1000;
const GRACE_MS = 8000;
const RESTART_MS = 500;
/** Reports of a window are due 10 s after its end; some more are awaited. */
const WATCH_MS = 22_000;
/** Windows with requests whose reports were accepted before the store goes away. */
const FIRST_REPORTS = 3;
const BOUNDS = { reportWindowS: 5, usageTolerance: 0.05, usageDelayS: 10 };

const record = createRecord(dirname(fileURLToPath(import.meta.url)));
const rig = createRig();
/** The reports that the platform has accepted, in order. */
const reports = [];

async function startPlatform() {
  const server = createServer((request, response) => {
    const parts = [];
    request.on('data', (part) => parts.push(part));
    request.on('end', () => {
      const { windowId, counts } = JSON.parse(Buffer.concat(parts).toString());
      const holder = request.headers['x-cassiamast-duty-holder'];
      const fence = Number(request.headers['x-cassiamast-fencing-token']);
      reports.push({ windowId, counts, holder, fence });
      record.note(
        `platform accepts window ${windowId} of ${holder}, fence ${fence}: ${JSON.stringify(counts)}`,
      );
      response.writeHead(200, { 'content-length': '0' });
      response.end();
    });
  });
  await new Promise((resolve) => server.listen(0, HOST, resolve));
  return {
    address: `${HOST}:${server.address().port}`,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}

function send(port, agent, attempt, tenant) {
  return new Promise((resolve) => {
    const request = sendRequest(
      {
        host: HOST,
        port,
        agent,
        method: 'GET',
        path: `/reports/${attempt}`,
        headers: {
          Host: HOST_NAME,
          Authorization: `Bearer key-of-${tenant}`,
          'X-Cassiamast-Attempt-Id': attempt,
          'X-Cassiamast-Deadline-Ms': String(DEADLINE_MS),
        },
      },
      (response) => {
        response.resume();
        response.once('close', () => resolve(response.statusCode));
      },
    );
    request.once('error', () => resolve(0));
    request.end();
  });
}

/** Stops a gateway as the platform does, and starts it again. */
function restart(gateway) {
  const { child, name } = gateway;
  record.note(`SIGTERM of ${name}`);
  child.kill('SIGTERM');
  const timer = setTimeout(() => child.kill('SIGKILL'), GRACE_MS);
  child.once('exit', () => {
    clearTimeout(timer);
    setTimeout(() => {
      record.note(`${name} is started again`);
      gateway.start();
    }, RESTART_MS);
  });
}

async function play() {
  const store = await startStore();
  const platform = await startPlatform();
  const server = await startPlainServer('p-0', () => undefined);
  store.put('servers/p-0', {
    service: SERVICE,
    address: server.address,
    zone: ZONES[0],
    version: 'v1',
    slots: 6,
    state: 'ready',
    coldRemainingMs: 0,
    sequence: 1,
  });
  store.put('op/config', {
    version: 1,
    routes: [
      {
        name: 'reports',
        hostname: HOST_NAME,
        pathPrefix: '/reports/',
        routeType: 'idempotent',
        timeoutMs: DEADLINE_MS,
        targetLatencyMs: 193,
        priority: 1,
        service: SERVICE,
        maxAttempts: 2,
        sessionAffinity: false,
        resumable: false,
        targetGapMs: 0,
      },
    ],
    services: [
      { name: SERVICE, healthPath: '/healthz', maxConnections: 110, protocol: 'h1', tls: false },
    ],
    tenants: TENANTS.map((name) => ({ name, apiKeys: [`key-of-${name}`] })),
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 4194304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15000,
    },
  });
  const cloudApi = { address: platform.address, duties: ['usage_report'], dutiesPerS: 50 };
  const gateways = [];
  for (const zone of ZONES) {
    const settings = { bounds: BOUNDS, cloudApi };
    gateways.push(await rig.startGateway(`edge-${zone}-1`, zone, store.address, settings));
  }
  for (const gateway of gateways) if (!(await until(gateway.isReady, 15_000))) return NOT_RUN;
  const agent = new Agent({ keepAlive: true });
  const copies = [];
  let isOver = false;
  let served = 0;
  const copying = setInterval(() => {
    copies.push({ atMs: performance.now(), copy: store.copy() });
  }, COPY_EVERY_MS);
  const traffic = (async () => {
    for (let index = 0; !isOver; index += 1) {
      const { port } = gateways[index % gateways.length];
      const attempt = (index + 1).toString(16).padStart(16, '0');
      void send(port, agent, attempt, TENANTS[index % TENANTS.length]).then((status) => {
        if (status === 200) served += 1;
      });
      await sleep(GAP_MS);
    }
  })();
  const hasRequests = ({ counts }) => Object.keys(counts).length > 0;
  const isReporting = () => reports.filter(hasRequests).length >= FIRST_REPORTS;
  if (!(await until(isReporting, 45_000))) return NOT_RUN;
  if (HAS_TROUBLE) {
    clearInterval(copying);
    const nowMs = performance.now();
    const old = copies.filter(({ atMs }) => nowMs - atMs >= COPY_AGE_MS).at(-1);
    record.note(`the store is away for ${AWAY_MS} ms`);
    await store.restore(old.copy, AWAY_MS);
    record.note(`the store is back from a copy ${Math.round(nowMs - old.atMs)} ms old`);
    for (const gateway of gateways) {
      restart(gateway);
      await sleep(STOP_GAP_MS);
    }
  }
  await sleep(WATCH_MS);
  isOver = true;
  clearInterval(copying);
  await traffic;
  agent.destroy();
  server.close();
  platform.close();
  store.close();
  return judge(served);
}

function judge(served) {
  const firstCounts = new Map();
  let contradictions = 0;
  for (const { windowId, counts } of reports) {
    const text = JSON.stringify(Object.entries(counts).sort());
    const first = firstCounts.get(windowId) ?? text;
    firstCounts.set(windowId, first);
    if (text === first) continue;
    contradictions += 1;
    record.note(`ONE window ${windowId}: ${first}, and then ${text}`);
  }
  const summary = `ONE ${contradictions}; ${reports.length} reports of ${firstCounts.size} windows; ${served} requests answered 200`;
  record.note(summary);
  process.stdout.write(`${summary}\n`);
  return contradictions > 0 ? BROKEN : HELD;
}

let code = NOT_RUN;
try {
  code = await play();
} catch (error) {
  record.note(String(error));
  process.stderr.write(`${String(error)}\n`);
}
record.write();
rig.close();
process.exit(code);
