/**
 * Runs one stand-in as a process: `main.js <kind> [--settings FILE.yaml] [--port N] [--host H]`.
 * The settings file holds the options of the kind's start function. The first line on standard
 * output is the address, as JSON.
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

const USAGE_EXIT_CODE = 2;

const { values, positionals } = parseArgs({
  allowPositionals: true,
  options: {
    settings: { type: 'string' },
    port: { type: 'string' },
    host: { type: 'string' },
  },
});

const start = KINDS.get(positionals[0] ?? '');
if (start === undefined) {
  console.error(`Usage: main.js ${[...KINDS.keys()].join('|')} [--settings FILE] [--port N]`);
  process.exit(USAGE_EXIT_CODE);
}

const standIn = await start({ ...readSettings(values.settings), ...readFlags() });
console.log(JSON.stringify({ kind: positionals[0], address: standIn.address }));

for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  process.once(signal, () => {
    void standIn.stop().then(() => process.exit(0));
  });
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
