/**
 * `npm run fuzz`: fuzzes the decision code. The last line is one JSON object; exit 1 on a
 * violation, with a shrunk trace and the command that shows it again.
 */
import { performance } from 'node:perf_hooks';
import { readArguments, replayCommand } from './kit/command-line.js';
import type { FuzzArguments } from './kit/command-line.js';
import type { FaultCounts } from './kit/faults.js';
import type { FoundViolation } from './kit/runner.js';
import { loadWorlds } from './worlds/catalogue.js';
import type { RunnableWorld } from './worlds/catalogue.js';

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function printViolation(args: FuzzArguments, violation: FoundViolation): void {
  print(`Violation in world ${violation.world}: ${violation.message}`);
  for (const line of violation.trace) print(`  ${line}`);
  print('What happened:');
  for (const line of violation.story) print(`  ${line}`);
  print(`Replay: ${replayCommand(violation.world, args, violation.replay)}`);
}

function runAll(worlds: readonly RunnableWorld[], args: FuzzArguments): number {
  const counts: FaultCounts = new Map();
  const startedMs = performance.now();
  const totals = { runs: 0, commands: 0, steps: 0 };
  const violations: FoundViolation[] = [];
  for (const world of worlds) {
    const report = world.run(args, counts);
    totals.runs += report.runs;
    totals.commands += report.commands;
    totals.steps += report.steps;
    if (report.violation !== null) violations.push(report.violation);
  }
  for (const violation of violations) printViolation(args, violation);
  const elapsedS = (performance.now() - startedMs) / 1000;
  const faultsByKind = Object.fromEntries([...counts].sort());
  print(
    JSON.stringify({
      seed: args.seed,
      ...totals,
      stepsPerS: Math.round(totals.steps / elapsedS),
      faultsByKind,
      violations: violations.length,
      runsNeeded: violations[0]?.runsNeeded ?? null,
    }),
  );
  return violations.length === 0 ? 0 : 1;
}

const args = readArguments(process.argv.slice(2));
const all = await loadWorlds();
const chosen = all.filter((world) => args.world === 'all' || world.name === args.world);
const matching = chosen.filter(
  (world) => args.mutant === null || world.mutants.includes(args.mutant),
);
if (args.listMutants) {
  for (const world of chosen) for (const mutant of world.mutants) print(`${world.name} ${mutant}`);
} else if (matching.length === 0) {
  print(
    `No world ${args.world} with that mutant; worlds: ${all.map(({ name }) => name).join(', ')}`,
  );
  process.exitCode = 2;
} else {
  process.exitCode = runAll(matching, args);
}
