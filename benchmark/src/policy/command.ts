/** `npm run bench -- policy`: all policies on the traces, as a table, JSON lines and a report. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { dirname } from 'node:path';
import { parseArgs } from 'node:util';
import { createHashing } from '@cassiamast/coordination';
import { chooseAlike, chooseBest } from './bound-prices.js';
import { compareOnTrace } from './compare.js';
import type { ComparisonRow } from './compare.js';
import { measureCosts } from './decision-cost.js';
import { renderReport } from './report.js';
import type { ReportedTrace } from './report.js';
import { makeTrace, TRACE_NAMES } from './traces.js';

const OPTIONS = {
  seed: { type: 'string', default: '1' },
  trace: { type: 'string' },
  policy: { type: 'string' },
  scale: { type: 'string', default: '1' },
  json: { type: 'boolean', default: false },
  report: { type: 'string' },
  'same-mix': { type: 'boolean', default: false },
  cost: { type: 'boolean', default: false },
} as const;

/** Runs the command; gives the exit code. */
export async function runPolicyCommand(args: readonly string[]): Promise<number> {
  const { values } = parseArgs({ args: [...args], options: OPTIONS });
  const { hash32 } = await createHashing();
  if (values.cost) {
    process.stdout.write(measureCosts(hash32));
    return 0;
  }
  const seed = Number(values.seed);
  const scale = Number(values.scale);
  const names = values.trace === undefined ? TRACE_NAMES : values.trace.split(',');
  const only = values.policy?.split(',') ?? null;
  const addProfits = values['same-mix'] ? chooseAlike : chooseBest;
  const reported: ReportedTrace[] = [];
  for (const name of names) {
    const trace = makeTrace(name, seed, scale);
    if (trace === null) {
      process.stderr.write(`Unknown trace ${name}. Traces: ${TRACE_NAMES.join(', ')}\n`);
      return 2;
    }
    const rows = compareOnTrace(trace, { hash32, seed, only, addProfits });
    reported.push({ trace, rows });
    if (!values.json) process.stdout.write(tableOf(name, rows));
  }
  writeReport(values.report, seed, scale, reported);
  for (const { trace, rows } of reported) {
    for (const row of rows) process.stdout.write(jsonLine(trace.name, seed, scale, row));
  }
  return 0;
}

function writeReport(
  file: string | undefined,
  seed: number,
  scale: number,
  reported: readonly ReportedTrace[],
): void {
  if (file === undefined) return;
  mkdirSync(dirname(file), { recursive: true });
  writeFileSync(file, renderReport(seed, scale, reported));
}

function jsonLine(trace: string, seed: number, scale: number, row: ComparisonRow): string {
  const { timelines, ...figures } = row;
  return `${JSON.stringify({ trace, seed, scale, services: timelines.length, ...figures })}\n`;
}

const COLUMNS: readonly (readonly [string, (row: ComparisonRow) => string])[] = [
  ['policy', (row) => row.policy.padEnd(12)],
  ['good/s', (row) => row.goodputPerS.toFixed(2)],
  ['bound', (row) => row.boundPerS.toFixed(2)],
  ['ratio', (row) => row.ratio.toFixed(3)],
  ['changes', (row) => `${String(row.roleChanges)}/${String(row.boundRoleChanges)}`],
  ['ttft95', (row) => String(row.ttftP95Ms)],
  ['gap95', (row) => String(row.interTokenP95Ms)],
  ['not-run', (row) => String(row.shedNotRun)],
  ['worst-wait', (row) => row.worstWorkspaceWaitRatio.toFixed(2)],
];

const COLUMN_WIDTH = 11;

function tableOf(trace: string, rows: readonly ComparisonRow[]): string {
  const head = COLUMNS.map(([name]) => name.padStart(COLUMN_WIDTH)).join('');
  const lines = rows.map((row) =>
    COLUMNS.map(([, cell]) => cell(row).padStart(COLUMN_WIDTH)).join(''),
  );
  return `${trace}\n${head}\n${lines.join('\n')}\n\n`;
}
