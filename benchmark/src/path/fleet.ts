/**
 * The fleet that the path benchmark measures: three entries, three sidecars and their engines, each
 * daemon its own process so that its processor time and memory can be told apart. Callers use the
 * first entry only; the others hold records, as in a deployment.
 */
import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { createHash, randomUUID } from 'node:crypto';
import { closeSync, mkdirSync, openSync, writeFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import type { Configuration, ConfigurationDocument } from '@cassiamast/coordination';
import {
  CONFIGURATION_CURRENT_KEY,
  CONFIGURATION_HEAD_KEY,
  headAfter,
  TargetKind,
} from '@cassiamast/coordination';
import { createKeyValueClient } from '@cassiamast/ports';
import { stringify } from 'yaml';

const HOST = '127.0.0.1';
const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..', '..', '..');
const DAEMON = join(ROOT, 'packages', 'daemon', 'dist', 'src', 'main.js');
const STAND_INS = join(ROOT, 'packages', 'stand-ins', 'dist', 'src', 'main.js');
const DOMAINS = ['one', 'two', 'three'] as const;
const SECRET = 'only-for-the-path-benchmark';
const READY_TIMEOUT_MS = 30_000;
const POLL_MS = 50;

/** Authorizes the benchmark's callers. */
export const API_KEY = 'path-benchmark';
/** The only model. */
export const MODEL = 'stand-in';

/** Ports that a fleet takes from its base port on. */
export const PORTS_PER_FLEET = 20;

/** A running fleet. */
export interface PathFleet {
  /** Where callers connect. */
  readonly entryUrl: string;
  /** Where the benchmark calls engines directly, for comparison. */
  readonly engineUrls: readonly string[];
  readonly entryPid: number;
  readonly sidecarPids: readonly number[];
  readonly enginesPid: number;
  readonly stop: () => Promise<void>;
}

/**
 * Starts the fleet and waits until the measured entry serves. With `profile` each daemon leaves a
 * processor profile in reports/bench-path when it stops.
 */
export async function startPathFleet(
  basePort: number,
  engine: Readonly<Record<string, unknown>>,
  profile: boolean,
): Promise<PathFleet> {
  const folder = join(ROOT, 'reports', 'bench-path');
  mkdirSync(folder, { recursive: true });
  const children: ChildProcess[] = [];
  const daemon = profile
    ? ['--cpu-prof', `--cpu-prof-dir=${folder}`, '--cpu-prof-interval=500', DAEMON]
    : [DAEMON];
  const run = (name: string, program: readonly string[], settings: unknown): number => {
    const path = join(folder, `${name}.yaml`);
    writeFileSync(path, stringify(settings));
    const child = startProcess([...program, '--settings', path], join(folder, `${name}.log`));
    children.push(child);
    return child.pid ?? 0;
  };
  const stop = async (): Promise<void> => {
    // A profile is written at a proper exit; otherwise nothing here outlives the run.
    await Promise.all(children.map((child) => stopProcess(child, profile ? 'SIGTERM' : 'SIGKILL')));
  };
  const port = (at: number): number => basePort + at;
  const keyValueUrl = url(port(0));
  const enginePorts = DOMAINS.map((_, at) => port(1 + at));
  const sidecarPorts = DOMAINS.map((_, at) => port(4 + at));
  const controlPorts = DOMAINS.map((_, at) => port(7 + at));
  const callerPorts = DOMAINS.map((_, at) => port(10 + at));
  try {
    run('key-value', [STAND_INS, 'key-value'], { host: HOST, port: port(0) });
    const enginesPid = run('engines', [STAND_INS, 'several'], {
      standIns: enginePorts.map((enginePort, at) => ({
        kind: 'engine',
        host: HOST,
        port: enginePort,
        name: `engine-${String(at)}`,
        ...engine,
      })),
    });
    await waitForAnswers([keyValueUrl, ...enginePorts.map(url)].map((base) => `${base}/counts`));
    await writeConfiguration(keyValueUrl, configurationOf(enginePorts, sidecarPorts));
    const common = {
      peers: controlPorts.map((control) => `${HOST}:${String(control)}`),
      keyValue: { endpoints: [keyValueUrl] },
      logLevel: 'warn',
    };
    const entryPids = DOMAINS.map((failureDomain, at) =>
      run(`entry-${failureDomain}`, daemon, {
        kind: 'entry',
        failureDomain,
        control: { host: HOST, port: controlPorts[at] },
        callers: { host: HOST, port: callerPorts[at] },
        ...common,
      }),
    );
    const sidecarPids = DOMAINS.map((failureDomain, at) =>
      run(`sidecar-${failureDomain}`, daemon, {
        kind: 'sidecar',
        failureDomain,
        target: `target-${String(at)}`,
        control: { host: HOST, port: sidecarPorts[at] },
        ...common,
      }),
    );
    await waitForAnswers(callerPorts.map((callers) => `${url(callers)}/healthz`));
    return {
      entryUrl: url(callerPorts[0] ?? 0),
      engineUrls: enginePorts.map(url),
      entryPid: entryPids[0] ?? 0,
      sidecarPids,
      enginesPid,
      stop,
    };
  } catch (error) {
    await stop();
    throw error;
  }
}

function url(port: number): string {
  return `http://${HOST}:${String(port)}`;
}

function startProcess(args: readonly string[], logPath: string): ChildProcess {
  const log = openSync(logPath, 'w');
  const child = spawn(process.execPath, args, {
    stdio: ['ignore', log, log],
    env: { ...process.env, CASSIAMAST_SECRET: SECRET },
  });
  closeSync(log);
  return child;
}

function stopProcess(child: ChildProcess, signal: NodeJS.Signals): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) return Promise.resolve();
  return new Promise((resolve) => {
    child.once('exit', () => {
      resolve();
    });
    child.kill(signal);
  });
}

async function waitForAnswers(urls: readonly string[]): Promise<void> {
  const giveUpAtMs = performance.now() + READY_TIMEOUT_MS;
  for (;;) {
    const answers = await Promise.all(
      urls.map((one) =>
        fetch(one).then(
          (answer) => answer.ok,
          () => false,
        ),
      ),
    );
    if (answers.every(Boolean)) return;
    if (performance.now() > giveUpAtMs) throw new RangeError('the fleet did not start in time');
    await sleep(POLL_MS);
  }
}

async function writeConfiguration(keyValueUrl: string, compiled: Configuration): Promise<void> {
  const client = createKeyValueClient({ endpoints: [keyValueUrl] });
  const document: ConfigurationDocument = {
    version: 1,
    editId: randomUUID(),
    text: '',
    compiled,
    editedAtMs: Date.now(),
    editedBy: 'benchmark',
  };
  const written = await client.transact(
    [],
    [
      { key: CONFIGURATION_CURRENT_KEY, value: JSON.stringify(document) },
      { key: CONFIGURATION_HEAD_KEY, value: JSON.stringify(headAfter(null, document)) },
    ],
  );
  await client.close();
  if (written.isErr()) throw new RangeError(written.error.message);
}

function configurationOf(
  enginePorts: readonly number[],
  sidecarPorts: readonly number[],
): Configuration {
  return {
    services: [
      {
        name: 'llm',
        kind: TargetKind.ModelEngine,
        dependsOn: [],
        models: [{ name: MODEL, version: '1', adapters: [], sizeMb: 1_000 }],
        calls: [],
        targets: DOMAINS.map((failureDomain, at) => ({
          name: `target-${String(at)}`,
          failureDomain,
          sidecar: { host: HOST, port: sidecarPorts[at] ?? 0 },
          backend: { host: HOST, port: enginePorts[at] ?? 0 },
          checksFencing: true,
          withdrawn: false,
        })),
        goals: { firstTokenMs: 360, interTokenMs: 80 },
        floorTargets: 1,
        rolesMayChange: false,
        priority: 50,
        deadlineMs: 600_000,
        retryBudgetRatio: 0.1,
      },
    ],
    workspaces: [
      {
        name: 'benchmark',
        share: 1,
        apiKeySha256: [createHash('sha256').update(API_KEY).digest('hex')],
        maxTokensPerS: null,
      },
    ],
    limits: {
      answerRetentionMs: 10_000,
      maxPromptTokens: 100_000,
      maxOutputTokens: 8_192,
      maxBodyBytes: 1_048_576,
      drainMs: 1_000,
    },
  };
}
