/**
 * `npm run bench -- control`: real processes at three sizes, a slope over them, a table for people
 * and one JSON line for programs. The largest size stays under half of the machine's memory.
 */
import { type RealResult, measureReal, type Spread } from './measure.js';

/** Entries and sidecars: the deployments of today, and four and ten times as many. */
const SIZES: readonly (readonly [number, number])[] = [
  [3, 11],
  [12, 44],
  [30, 110],
];
const PORTS_PER_SIZE = 1_000;
/** The whole target: 410 entries and 730 sidecars. */
const TARGET_PROCESSES = 1_140;

const ROWS: readonly (readonly [string, (result: RealResult) => string])[] = [
  ['control bytes/s of an entry', (r) => pair(r.entryBytesPerS)],
  ['control bytes/s of a sidecar', (r) => pair(r.sidecarBytesPerS)],
  ['core % of an entry', (r) => pair(r.entryCorePercent)],
  ['core % of a sidecar', (r) => pair(r.sidecarCorePercent)],
  ['KB of a bare Node process', (r) => String(r.bareNodeKb)],
  ['KB of an entry over it', (r) => pair(r.entryKbOverBare)],
  ['KB of a sidecar over it', (r) => pair(r.sidecarKbOverBare)],
  ['key-value calls/s, whole fleet', (r) => JSON.stringify(r.keyValueCallsPerS)],
  ['waiting watches, whole fleet', (r) => String(r.waitingWatches)],
  ['edit in force everywhere, ms', (r) => pair(r.editInForceMs)],
  ['kill until no entry gives new work, ms', (r) => String(r.killNoticedMs)],
  ['SIGTERM until no entry gives new work, ms', (r) => String(r.leavingNoticedMs)],
];

/** A straight line through the sizes, and what it gives at the target. */
interface Slope {
  readonly perProcess: number;
  readonly atNone: number;
  readonly atTarget: number;
}

/** Runs all sizes; the exit code is 0 when each was measured. */
export async function runReal(quietS: number, basePort: number): Promise<number> {
  const results: RealResult[] = [];
  for (const [index, [entries, sidecars]] of SIZES.entries()) {
    const ports = basePort + index * PORTS_PER_SIZE;
    results.push(await measureReal(entries, sidecars, ports, quietS));
    process.stderr.write(`${String(entries + sidecars)} processes measured\n`);
  }
  const slopes = {
    entryBytesPerS: fit(results, (r) => r.entryBytesPerS.median),
    sidecarBytesPerS: fit(results, (r) => r.sidecarBytesPerS.median),
    entryCorePercent: fit(results, (r) => r.entryCorePercent.median),
    sidecarCorePercent: fit(results, (r) => r.sidecarCorePercent.median),
    entryKbOverBare: fit(results, (r) => r.entryKbOverBare.median),
    sidecarKbOverBare: fit(results, (r) => r.sidecarKbOverBare.median),
  };
  process.stdout.write(`${table(results)}\n`);
  process.stdout.write(`${slopeTable(slopes)}\n`);
  process.stdout.write(`${JSON.stringify({ benchmark: 'control', quietS, results, slopes })}\n`);
  return 0;
}

/** Least squares over the number of processes. */
function fit(results: readonly RealResult[], read: (result: RealResult) => number): Slope {
  const points = results.map((result) => ({ x: result.processes, y: read(result) }));
  const meanX = points.reduce((sum, point) => sum + point.x, 0) / points.length;
  const meanY = points.reduce((sum, point) => sum + point.y, 0) / points.length;
  const spread = points.reduce((sum, point) => sum + (point.x - meanX) ** 2, 0);
  const both = points.reduce((sum, point) => sum + (point.x - meanX) * (point.y - meanY), 0);
  const perProcess = both / spread;
  const atNone = meanY - perProcess * meanX;
  return {
    perProcess: round(perProcess),
    atNone: round(atNone),
    atTarget: round(atNone + perProcess * TARGET_PROCESSES),
  };
}

function pair({ median, worst }: Spread): string {
  return `${String(median)} / ${String(worst)}`;
}

function table(results: readonly RealResult[]): string {
  const header = ['median / worst', ...results.map((r) => `${String(r.processes)} processes`)];
  const rows = ROWS.map(([name, read]) => [name, ...results.map(read)]);
  return [header, ...rows].map((row) => `| ${row.join(' | ')} |`).join('\n');
}

function slopeTable(slopes: Readonly<Record<string, Slope>>): string {
  const rows = Object.entries(slopes).map(([name, slope]) => [
    name,
    String(slope.perProcess),
    String(slope.atNone),
    String(slope.atTarget),
  ]);
  const header = ['slope', 'per process', 'at none', `at ${String(TARGET_PROCESSES)}`];
  return [header, ...rows].map((row) => `| ${row.join(' | ')} |`).join('\n');
}

function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}
