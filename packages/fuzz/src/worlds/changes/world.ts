/**
 * The changes world: planned changes cut nothing and keep the floor, and loads do not trample the
 * weight store, over the real drain, admission and load machines.
 */
import type { LoadOptions } from '@cassiamast/coordination';
import {
  DRAIN_OPTIONS,
  LOAD_OPTIONS,
  createDrain,
  createLoads,
  keepsFloor,
  seededRandom,
} from '@cassiamast/coordination';
import fc from 'fast-check';
import { countFault } from '../../kit/faults.js';
import { advance, createScheduler, schedule } from '../../kit/scheduler.js';
import { holds } from '../../kit/violation.js';
import type { World, WorldCommand, WorldSetup } from '../../kit/world.js';
import type { ChangesOptions, SimulatedTarget, Simulation } from './simulation.js';
import { SENDER_COUNT, TARGET_COUNT } from './simulation.js';
import {
  comeBack,
  fail,
  isServing,
  planChanges,
  planLoading,
  sendWork,
  tickDrains,
  wish,
} from './targets.js';

const TICK_MS = 200;
const PLAN_MS = 1_000;
/** A drain with its hand-over, a change, and all loads in line. */
const SETTLE_MS = 400_000;

type Mutate = (options: ChangesOptions) => ChangesOptions;

/** Guards that can be taken away; docs/design/fuzzing-authority.md says what each stands for. */
export const CHANGES_MUTANTS: Readonly<Record<string, Mutate>> = {
  'floor-ignored': (options) => ({ ...options, keepsFloor: () => true }),
  'closes-at-once': (options) => drainWithout(options, { waitsForNotice: false }),
  'work-not-waited-for': (options) => drainWithout(options, { waitsForWork: false }),
  'slow-down-ignored': (options) => ({
    ...options,
    loads: { ...options.loads, obeysSlowDown: false },
  }),
};

function drainWithout(
  options: ChangesOptions,
  guards: Partial<ChangesOptions['drain']['guards']>,
): ChangesOptions {
  const { drain } = options;
  return { ...options, drain: { ...drain, guards: { ...drain.guards, ...guards } } };
}

/** One target loads fast enough for its bucket to be no guard by itself: "slow down" has to be. */
const EAGER_LOADS: LoadOptions = { ...LOAD_OPTIONS, rateShareRatio: 20, burstS: 60 };

function optionsOf(mutant: string | null): ChangesOptions {
  const options = { drain: DRAIN_OPTIONS, loads: EAGER_LOADS, keepsFloor };
  const mutate = mutant === null ? undefined : CHANGES_MUTANTS[mutant];
  return mutate === undefined ? options : mutate(options);
}

function createTarget(options: ChangesOptions, index: number): SimulatedTarget {
  return {
    name: `target-${String(index)}`,
    failureDomain: `fd-${String(index % 3)}`,
    isAlive: true,
    isLoaded: true,
    drain: createDrain(options.drain),
    running: new Set(),
    believedOpen: Array.from({ length: SENDER_COUNT }, () => true),
    life: 1,
  };
}

function every(simulation: Simulation, intervalMs: number, run: () => void): void {
  const again = (): void => {
    run();
    schedule(simulation.scheduler, intervalMs, again);
  };
  schedule(simulation.scheduler, simulation.random() * intervalMs, again);
}

function create(setup: WorldSetup): Simulation {
  const scheduler = createScheduler();
  const options = optionsOf(setup.mutant);
  const simulation: Simulation = {
    scheduler,
    random: seededRandom(setup.seed),
    counts: setup.counts,
    options,
    targets: Array.from({ length: TARGET_COUNT }, (_, index) => createTarget(options, index)),
    requests: new Map(),
    loads: createLoads(options.loads, 0),
    store: { active: 0, capacity: 2, refusedAtMs: [] },
    lastWork: 0,
  };
  every(simulation, TICK_MS, () => {
    tickDrains(simulation);
  });
  every(simulation, PLAN_MS, () => {
    planChanges(simulation);
    planLoading(simulation);
  });
  for (let sender = 0; sender < SENDER_COUNT; sender += 1) {
    every(simulation, TICK_MS, () => {
      sendWork(simulation, sender);
    });
  }
  return simulation;
}

const stepMs = fc.constantFrom(0, 100, 1_000, 6_000, 40_000);
const index = fc.nat({ max: TARGET_COUNT - 1 });

type Command = WorldCommand<Simulation>;

function onTarget(
  verb: string,
  run: (simulation: Simulation, target: SimulatedTarget) => void,
): fc.Arbitrary<Command> {
  return fc.tuple(index, stepMs).map(([which, afterMs]) => ({
    label: `${verb} target-${String(which)}; ${String(afterMs)} ms`,
    run: (simulation) => {
      const target = simulation.targets[which];
      if (target !== undefined) run(simulation, target);
      advance(simulation.scheduler, afterMs);
    },
  }));
}

function onAll(verb: string, run: (simulation: Simulation) => void): fc.Arbitrary<Command> {
  return stepMs.map((afterMs) => ({
    label: `${verb}; ${String(afterMs)} ms`,
    run: (simulation) => {
      run(simulation);
      advance(simulation.scheduler, afterMs);
    },
  }));
}

const COMMANDS: readonly fc.Arbitrary<Command>[] = [
  onTarget('change', (simulation, target) => {
    wish(simulation, target, false);
  }),
  onTarget('change', (simulation, target) => {
    wish(simulation, target, false);
  }),
  onTarget('the platform takes', (simulation, target) => {
    wish(simulation, target, true);
  }),
  onTarget('fail', fail),
  onTarget('bring back', comeBack),
  onAll('change all at once', (simulation) => {
    for (const target of simulation.targets) wish(simulation, target, false);
  }),
  onAll('lose two failure domains', (simulation) => {
    countFault(simulation.counts, 'failure-domain-lost');
    for (const target of simulation.targets) {
      if (target.failureDomain !== 'fd-0') fail(simulation, target);
    }
  }),
  onAll('bring all back', (simulation) => {
    for (const target of simulation.targets) comeBack(simulation, target);
  }),
  fc.constantFrom(0, 1, 2).map((capacity) => ({
    label: `the store serves ${String(capacity)} at a time`,
    run: (simulation) => {
      simulation.store.capacity = capacity;
    },
  })),
  onAll('wait', () => undefined),
];

/** Ends all faults; then every target serves and holds the model, and nothing waits. */
function settle(simulation: Simulation): void {
  simulation.store.capacity = 2;
  for (const target of simulation.targets) comeBack(simulation, target);
  advance(simulation.scheduler, SETTLE_MS);
  holds(simulation.requests.size === 0, 'no-change-waits-for-ever', () =>
    [...simulation.requests.keys()].join(', '),
  );
  holds(simulation.targets.every(isServing), 'all-serve-after-quiet', () => 'a target is closed');
  holds(
    simulation.targets.every((target) => target.isLoaded),
    'all-loaded-after-quiet',
    () => 'an engine lacks its model',
  );
}

/** The world. */
export const CHANGES_WORLD: World<Simulation> = {
  name: 'changes',
  mutants: Object.keys(CHANGES_MUTANTS),
  commands: COMMANDS,
  create,
  // Invariants are checked at the very step that could break them.
  check: () => undefined,
  settle,
  stepsOf: (simulation) => simulation.scheduler.steps,
  // The trace of commands says all there is: no separate story is kept in this world.
  storyOf: () => [],
};
