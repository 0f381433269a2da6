/**
 * What the runner needs of a world: commands that act on a simulation, mutants that take a guard
 * away, and checks.
 */
import type fc from 'fast-check';
import type { FaultCounts } from './faults.js';

/** One command of a run: data for the report, and what it does. */
export interface WorldCommand<Simulation> {
  /** Shown in a shrunk trace. */
  readonly label: string;
  readonly run: (simulation: Simulation) => void;
}

/** What a simulation is made from. */
export interface WorldSetup {
  readonly seed: number;
  /** Name of the guard that is taken away, or null. */
  readonly mutant: string | null;
  readonly counts: FaultCounts;
}

/** One world: a simulation of real decision code, and the oracle that watches it. */
export interface World<Simulation> {
  readonly name: string;
  /** Guards that can be taken away. */
  readonly mutants: readonly string[];
  readonly commands: readonly fc.Arbitrary<WorldCommand<Simulation>>[];
  readonly create: (setup: WorldSetup) => Simulation;
  /** Checks every invariant; called after each command. */
  readonly check: (simulation: Simulation) => void;
  /** Ends all faults, lets everything settle and checks that nothing hangs. */
  readonly settle: (simulation: Simulation) => void;
  /** Simulated events so far, each followed by the oracle's checks of what it changed. */
  readonly stepsOf: (simulation: Simulation) => number;
  /** What the oracle saw, one line each, for a person who reads a violation. */
  readonly storyOf: (simulation: Simulation) => readonly string[];
}
