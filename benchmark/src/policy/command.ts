/** `npm run bench -- policy`: all policies on the traces, as a table and as JSON lines. */
import { parseArgs } from 'node:util';
import { createHashing } from '@cassiamast/coordination';
import { compareOnTrace } from './compare.js';
import { makeTrace, TRACE_NAMES } from './traces.js';

/** Runs the command; gives the exit code. */
export async function runPolicyCommand(args: readonly string[]): Promise<number> {
  const { values } = parseArgs({
    args: [...args],
    options: {
      seed: { type: 'string', default: '1' },
      trace: { type: 'string' },
      policy: { type: 'string' },
      scale: { type: 'string', default: '1' },
      json: { type: 'boolean', default: false },
    },
  });
  const { hash32 } = await createHashing();
  const seed = Number(values.seed);
  const names = values.trace === undefined ? TRACE_NAMES : values.trace.split(',');
  const lines: string[] = [];
  for (const name of names) {
    const trace = makeTrace(name, seed, Number(values.scale));
    if (trace === null) {
      process.stderr.write(`Unknown trace ${name}. Traces: ${TRACE_NAMES.join(', ')}\n`);
      return 2;
    }
    const rows = compareOnTrace(trace, { hash32, seed, only: values.policy?.split(',') ?? null });
    for (const row of rows) {
      lines.push(JSON.stringify({ trace: name, seed, scale: Number(values.scale), ...row }));
      if (!values.json) process.stdout.write(`${tableLine(name, row)}\n`);
    }
  }
  for (const line of lines) process.stdout.write(`${line}\n`);
  return 0;
}

function tableLine(trace: string, row: Readonly<Record<string, string | number>>): string {
  const cells = Object.values(row).map((value) =>
    typeof value === 'number' ? value.toFixed(2).padStart(10) : value.padEnd(14),
  );
  return `${trace.padEnd(18)}${cells.join('')}`;
}
