/**
 * Runs stand-ins in a process: `main.js <kind> [--settings FILE.yaml] [--port N] [--host H]`. The
 * settings file holds the options of the kind's start function; for the kind `several` it holds a
 * list `standIns`, each with its `kind` and options. Prints the address
 * of each stand-in as a line of JSON.
 */
import { readFileSync } from 'node:fs';
import { parseArgs } from 'node:util';
import { parse } from 'yaml';
import { startEngine } from './core/engine/engine.js';
import { startKeyValue } from './core/key-value/key-value.js';
import { startPlainService } from './core/plain-service/plain-service.js';
import { startVmList } from './core/vm-list/vm-list.js';
import { startWeightStore } from './core/weight-store/weight-store.js';

type Start = (options: Record<string, unknown>) => Promise<{
  readonly address: string;
  readonly stop: () => Promise<void>;
}>;

const KINDS = new Map<string, Start>([
  ['engine', startEngine],
  ['key-value', startKeyValue],
  ['plain-service', startPlainService],
  ['weight-store', startWeightStore],
  ['vm-list', startVmList],
]);

/** Kind that starts several stand-ins in one process, to save processes on a developer machine. */
const SEVERAL = 'several';

const USAGE_EXIT_CODE = 2;

const { values, positionals } = parseArgs({
  allowPositionals: true,
  options: {
    settings: { type: 'string' },
    port: { type: 'string' },
    host: { type: 'string' },
  },
});

interface StandInSettings {
  readonly kind: string;
  readonly options: Record<string, unknown>;
}

const running = await Promise.all(requestedStandIns().map(startOne));

for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  process.once(signal, () => {
    void Promise.all(running.map((standIn) => standIn.stop())).then(() => process.exit(0));
  });
}

async function startOne({ kind, options }: StandInSettings) {
  const start = KINDS.get(kind);
  if (start === undefined) failUsage();
  const standIn = await start(options);
  console.log(JSON.stringify({ kind, address: standIn.address }));
  return standIn;
}

function requestedStandIns(): readonly StandInSettings[] {
  const kind = positionals[0] ?? '';
  const settings = readSettings(values.settings);
  if (kind !== SEVERAL) return [{ kind, options: { ...settings, ...readFlags() } }];
  if (!Array.isArray(settings.standIns)) failUsage();
  return (settings.standIns as Record<string, unknown>[]).map((standInSettings) => {
    const { kind: name, ...options } = standInSettings;
    return { kind: String(name), options };
  });
}

function failUsage(): never {
  const kinds = [...KINDS.keys(), SEVERAL].join('|');
  console.error(`Usage: main.js ${kinds} [--settings FILE] [--port N] [--host H]`);
  process.exit(USAGE_EXIT_CODE);
}

function readSettings(path: string | undefined): Record<string, unknown> {
  if (path === undefined) return {};
  return (parse(readFileSync(path, 'utf8')) ?? {}) as Record<string, unknown>;
}

function readFlags(): Record<string, unknown> {
  const flags: Record<string, unknown> = {};
  if (values.port !== undefined) flags.port = Number(values.port);
  if (values.host !== undefined) flags.host = values.host;
  return flags;
}
