/**
 * A fleet of real processes for the control benchmark: entries, sidecars and the stand-ins that
 * they need, all on the loopback address, without requests. Everything is stopped by `stop`.
 */
import { type ChildProcess, spawn } from 'node:child_process';
import { createHash, randomUUID } from 'node:crypto';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import {
  CONFIGURATION_CURRENT_KEY,
  CONFIGURATION_HEAD_KEY,
  type Configuration,
  type ConfigurationDocument,
  type ConfigurationHead,
  type ServiceSpec,
  TargetKind,
  type TargetSpec,
  headAfter,
} from '@cassiamast/coordination';
import { createKeyValueClient, type KeyValueClient } from '@cassiamast/ports';
import { stringify } from 'yaml';

const HOST = '127.0.0.1';
const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..', '..', '..', '..');
const DAEMON = join(ROOT, 'packages', 'daemon', 'dist', 'src', 'main.js');
const STAND_INS = join(ROOT, 'packages', 'stand-ins', 'dist', 'src', 'main.js');
const DOMAINS = ['one', 'two', 'three'] as const;
/** Starts so many processes at a time: a start costs a core for half a second. */
const STARTS_AT_ONCE = 8;
const SERVICE = 'llm';
const MODEL = 'stand-in';

/** Secret of the benchmark's members. */
export const SECRET = 'only-for-the-control-benchmark';

/** One daemon of the fleet. */
export interface Daemon {
  readonly memberId: string;
  readonly pid: number;
  readonly isEntry: boolean;
  readonly target: string;
  readonly child: ChildProcess;
}

/** A running fleet. */
export interface ControlFleet {
  readonly daemons: readonly Daemon[];
  readonly keyValueUrl: string;
  /** Writes the next version; gives the wall clock at which it was accepted. */
  readonly edit: () => Promise<{ readonly version: number; readonly acceptedAtWallMs: number }>;
  readonly stop: () => Promise<void>;
}

/** Starts a fleet of `entries` and `sidecars`, on ports from `basePort` on. */
export async function startControlFleet(
  entries: number,
  sidecars: number,
  basePort: number,
): Promise<ControlFleet> {
  const folder = mkdtempSync(join(tmpdir(), 'cassiamast-control-'));
  const children: ChildProcess[] = [];
  const port = createPorts(basePort);
  const run = (name: string, program: readonly string[], settings: unknown): ChildProcess => {
    const path = join(folder, `${name}.yaml`);
    writeFileSync(path, stringify(settings));
    const child = spawn(process.execPath, [...program, '--settings', path], {
      stdio: 'ignore',
      env: { ...process.env, CASSIAMAST_SECRET: SECRET },
    });
    children.push(child);
    return child;
  };
  const keyValuePort = port();
  const keyValueUrl = `http://${HOST}:${String(keyValuePort)}`;
  run('key-value', [STAND_INS, 'key-value'], { host: HOST, port: keyValuePort });
  const targets = Array.from({ length: sidecars }, (_, index) => makeTarget(index, port));
  run('engines', [STAND_INS, 'several'], {
    standIns: targets.map(({ name, backend }) => ({ kind: 'engine', name, ...backend })),
  });
  const keyValue = createKeyValueClient({ endpoints: [keyValueUrl] });
  const edit = createEditor(keyValue, configurationOf(targets));
  const stop = async (): Promise<void> => {
    await keyValue.close();
    await Promise.all(children.map(kill));
    rmSync(folder, { recursive: true, force: true });
  };
  try {
    await retryUntilAccepted(edit);
    const controls = Array.from({ length: entries }, () => ({ host: HOST, port: port() }));
    const peers = controls.slice(0, DOMAINS.length).map((one) => `${HOST}:${String(one.port)}`);
    const common = { peers, keyValue: { endpoints: [keyValueUrl] }, logLevel: 'silent' };
    const plans = [
      ...controls.map((control, index) => ({
        name: `entry-${String(index)}`,
        target: '',
        control,
        settings: {
          kind: 'entry',
          control,
          callers: { host: HOST, port: port() },
          failureDomain: domainOf(index),
          ...common,
        },
      })),
      ...targets.map((target) => ({
        name: `sidecar-${target.name}`,
        target: target.name,
        control: target.sidecar,
        settings: {
          kind: 'sidecar',
          control: target.sidecar,
          failureDomain: target.failureDomain,
          target: target.name,
          ...common,
        },
      })),
    ];
    const daemons: Daemon[] = [];
    for (const plan of plans) {
      const child = run(plan.name, [DAEMON], plan.settings);
      const memberId = `${plan.control.host}:${String(plan.control.port)}`;
      const isEntry = plan.target === '';
      daemons.push({ memberId, pid: child.pid ?? 0, isEntry, target: plan.target, child });
      if (daemons.length % STARTS_AT_ONCE === 0) await sleep(STARTS_AT_ONCE * 100);
    }
    return { daemons, keyValueUrl, edit, stop };
  } catch (error) {
    await stop();
    throw error;
  }
}

function createPorts(basePort: number): () => number {
  let next = basePort;
  return () => {
    next += 1;
    return next;
  };
}

function kill(child: ChildProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) return Promise.resolve();
  return new Promise((resolve) => {
    child.once('exit', () => {
      resolve();
    });
    child.kill('SIGKILL');
  });
}

async function retryUntilAccepted(edit: ControlFleet['edit']): Promise<void> {
  for (let tries = 0; tries < 100; tries += 1) {
    const accepted = await edit().catch(() => null);
    if (accepted !== null) return;
    await sleep(100);
  }
  throw new RangeError('the key-value stand-in did not start');
}

function createEditor(keyValue: KeyValueClient, compiled: Configuration): ControlFleet['edit'] {
  let head: ConfigurationHead | null = null;
  return async () => {
    const document: ConfigurationDocument = {
      version: (head?.version ?? 0) + 1,
      editId: randomUUID(),
      text: '',
      compiled: nextOf(compiled, head?.version ?? 0),
      editedAtMs: Date.now(),
      editedBy: 'benchmark',
    };
    const next = headAfter(head, document);
    const written = await keyValue.transact(
      [],
      [
        { key: CONFIGURATION_CURRENT_KEY, value: JSON.stringify(document) },
        { key: CONFIGURATION_HEAD_KEY, value: JSON.stringify(next) },
      ],
    );
    if (written.isErr()) throw new RangeError(written.error.message);
    head = next;
    return { version: document.version, acceptedAtWallMs: Date.now() };
  };
}

/** Each edit changes one small thing, as operators' edits mostly do. */
function nextOf(compiled: Configuration, version: number): Configuration {
  const limits = { ...compiled.limits, drainMs: 1_000 + version };
  return { ...compiled, limits };
}

function makeTarget(index: number, port: () => number): TargetSpec {
  return {
    name: `target-${String(index)}`,
    failureDomain: domainOf(index),
    sidecar: { host: HOST, port: port() },
    backend: { host: HOST, port: port() },
    checksFencing: true,
    withdrawn: false,
  };
}

function domainOf(index: number): string {
  return DOMAINS[index % DOMAINS.length] ?? DOMAINS[0];
}

function configurationOf(targets: readonly TargetSpec[]): Configuration {
  const service: ServiceSpec = {
    name: SERVICE,
    kind: TargetKind.ModelEngine,
    dependsOn: [],
    models: [{ name: MODEL, version: '1', adapters: [], sizeMb: 1_000 }],
    calls: [],
    targets,
    goals: { firstTokenMs: 360, interTokenMs: 80 },
    floorTargets: 1,
    rolesMayChange: true,
    priority: 50,
    deadlineMs: 60_000,
    retryBudgetRatio: 0.1,
  };
  const apiKeySha256 = [createHash('sha256').update('control').digest('hex')];
  return {
    services: [service],
    workspaces: [{ name: 'benchmark', share: 1, apiKeySha256, maxTokensPerS: null }],
    limits: {
      answerRetentionMs: 60_000,
      maxPromptTokens: 100_000,
      maxOutputTokens: 8_192,
      maxBodyBytes: 1_048_576,
      drainMs: 1_000,
    },
  };
}
