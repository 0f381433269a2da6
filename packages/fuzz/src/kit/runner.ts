/**
 * Runs a world under fast-check's model-based testing: random commands against the real decision
 * code, the oracle's checks after every step, and a shrunk trace when a promise is broken.
 */
import fc from 'fast-check';
import type { FaultCounts } from './faults.js';
import { ViolationError } from './violation.js';
import type { World, WorldCommand } from './world.js';

/** What to run. */
export interface RunOptions {
  readonly seed: number;
  readonly runs: number;
  readonly commands: number;
  readonly mutant: string | null;
  /** Where a found violation lies, to run just that one again. */
  readonly replay: ReplayPoint | null;
  /** Whether a violation is shrunk; off where only its presence counts. */
  readonly shrinks: boolean;
}

/** fast-check's coordinates of one run. */
export interface ReplayPoint {
  readonly path: string;
  readonly commandsPath: string;
}

/** A broken promise with the shortest run that shows it. */
export interface FoundViolation {
  readonly world: string;
  readonly promise: string;
  readonly message: string;
  readonly trace: readonly string[];
  /** What happened in that run. */
  readonly story: readonly string[];
  readonly replay: ReplayPoint;
  /** Runs until it was found. */
  readonly runsNeeded: number;
}

/** What came of it. */
export interface RunReport {
  readonly runs: number;
  readonly commands: number;
  readonly steps: number;
  readonly violation: FoundViolation | null;
}

/** The runner's own model: counts only; the oracle has a model of its own. */
interface RunnerModel {
  readonly name: string;
}

/** Runs a world; faults are added to `counts`. */
export function runWorld<Simulation extends object>(
  world: World<Simulation>,
  options: RunOptions,
  counts: FaultCounts,
): RunReport {
  const totals = { commands: 0, steps: 0, runs: 0 };
  const commandArbitraries = world.commands.map((arbitrary) =>
    arbitrary.map((command) => toCommand(world, command, totals)),
  );
  const runs = fc.commands(commandArbitraries, {
    maxCommands: options.commands,
    size: 'max',
    ...(options.replay === null ? {} : { replayPath: options.replay.commandsPath }),
  });
  const property = fc.property(fc.noShrink(fc.nat()), runs, (seed, commands) => {
    const simulation = world.create({ seed, mutant: options.mutant, counts });
    totals.runs += 1;
    try {
      fc.modelRun(() => ({ model: { name: world.name }, real: simulation }), commands);
      world.settle(simulation);
    } catch (error) {
      if (error instanceof ViolationError) error.story = world.storyOf(simulation);
      throw error;
    }
    totals.steps += world.stepsOf(simulation);
  });
  const details = fc.check(property, {
    seed: options.seed,
    numRuns: options.runs,
    endOnFailure: !options.shrinks,
    ...(options.replay === null ? {} : { path: options.replay.path }),
  });
  const violation = details.failed ? describeViolation(world.name, details) : null;
  return { ...totals, violation };
}

function toCommand<Simulation extends object>(
  world: World<Simulation>,
  command: WorldCommand<Simulation>,
  totals: { commands: number },
): fc.Command<RunnerModel, Simulation> {
  return {
    check: () => true,
    run: (_model, simulation) => {
      totals.commands += 1;
      command.run(simulation);
      world.check(simulation);
    },
    toString: () => command.label,
  };
}

const COMMANDS_PATH = /replayPath="([^"]*)"/;

function describeViolation(
  world: string,
  details: {
    readonly counterexample: readonly [number, Iterable<unknown>] | null;
    readonly counterexamplePath: string | null;
    readonly errorInstance: unknown;
    readonly numRuns: number;
  },
): FoundViolation {
  const commands = details.counterexample?.[1] ?? [];
  const error = details.errorInstance;
  return {
    world,
    promise: error instanceof ViolationError ? error.promise : 'no-exception',
    message: error instanceof Error ? error.message : String(error),
    trace: [...commands].map(String),
    story: error instanceof ViolationError ? error.story : [],
    replay: {
      path: details.counterexamplePath ?? '',
      commandsPath: COMMANDS_PATH.exec(String(commands))?.[1] ?? '',
    },
    runsNeeded: details.numRuns,
  };
}
