/** `npm run bench -- control [--pure]`: real processes, or the pure parts in one process; prints a table for people and one JSON line for programs. */
import { parseArgs } from 'node:util';
import { createHashing } from '@cassiamast/coordination';
import type { PureResult } from './pure.js';
import { runReal } from './real/command.js';
import { measurePure } from './pure.js';

/** Small, in between, and the whole target: 410 entries and 730 sidecars. */
const DEFAULT_SIZES = '14,140,1140';
const DEFAULT_LOSS_RATIO = '0.01';

const ROWS: readonly (readonly [string, (result: PureResult) => string | number | null])[] = [
  ['mass start until complete, ms', (r) => r.joinMs],
  ['control bytes/s per member, quiet', (r) => r.quiet.bytesPerS],
  ['  highest second of any member, quiet', (r) => r.quiet.peakBytesPerS],
  ['CPU µs/s per member, quiet', (r) => r.cpuUsPerS],
  ['heap KB per member', (r) => r.heapKbPerMember],
  ['key-value calls/s, whole fleet', (r) => JSON.stringify(r.keyValueCallsPerS)],
  ['waiting watches, whole fleet', (r) => r.waitingWatches],
  ['wrong suspicions per member and hour', (r) => r.wrongSuspicionsPerHour],
  ['wrong deaths, quiet', (r) => r.wrongDeaths],
  ['kill: first suspect, ms (median/worst)', (r) => pair(r.firstSuspectMs)],
  ['kill: avoided by all, ms (median/worst)', (r) => pair(r.allSuspectMs)],
  ['kill: dead for all, ms (median/worst)', (r) => pair(r.allDeadMs)],
  ['edit in force everywhere, ms (median/worst)', (r) => pair(r.editSpreadMs)],
  ['CPU ms per member and edit', (r) => r.editCpuMsPerMember],
  ['document bytes', (r) => r.documentBytes],
  ['domain lost: members', (r) => r.domainLoss.lostMembers],
  ['  99 in 100 avoided, ms', (r) => r.domainLoss.mostAvoidedMs],
  ['  avoided by all, ms', (r) => r.domainLoss.allAvoidedMs],
  ['  dead for all, ms', (r) => r.domainLoss.allDeadMs],
  ['  bytes/s per member', (r) => r.domainLoss.traffic.bytesPerS],
  ['  highest second of any member', (r) => r.domainLoss.traffic.peakBytesPerS],
  ['  wrong deaths', (r) => r.domainLoss.wrongDeaths],
];

function pair(spread: { readonly median: number; readonly worst: number }): string {
  return `${String(spread.median)} / ${String(spread.worst)}`;
}

function table(results: readonly PureResult[]): string {
  const header = ['', ...results.map((result) => `${String(result.members)} members`)];
  const rows = ROWS.map(([name, read]) => [name, ...results.map((r) => String(read(r) ?? 'none'))]);
  return [header, ...rows].map(([name = '', ...cells]) => line(name, cells)).join('\n');
}

function line(name: string, cells: readonly string[]): string {
  return name.padEnd(46) + cells.map((cell) => cell.padStart(28)).join('');
}

/** Runs the command; the exit code is 0 when every size was measured. */
export async function runControlCommand(args: readonly string[]): Promise<number> {
  const { values } = parseArgs({
    args: [...args],
    options: {
      pure: { type: 'boolean', default: false },
      sizes: { type: 'string', default: DEFAULT_SIZES },
      loss: { type: 'string', default: DEFAULT_LOSS_RATIO },
      seed: { type: 'string', default: '1' },
      'quiet-s': { type: 'string', default: '20' },
      'base-port': { type: 'string', default: '11000' },
    },
  });
  if (!values.pure) return runReal(Number(values['quiet-s']), Number(values['base-port']));
  const hashing = await createHashing();
  const sizes = values.sizes.split(',').map(Number);
  const results = sizes.map((size) =>
    measurePure(size, Number(values.loss), Number(values.seed), hashing),
  );
  process.stdout.write(`${table(results)}\n`);
  const summary = { benchmark: 'control', pure: true, seed: Number(values.seed), results };
  process.stdout.write(`${JSON.stringify(summary)}\n`);
  return 0;
}
