/**
 * The limits world: a target that names a rate limit gets no more than that from all gateways
 * together, and most of it, over the real limits, shares and permits. Gateways disagree on who
 * decides, lose each other, stand still and are killed; messages are late and lost.
 */
import {
  lendShare,
  recordBorrowedShare,
  seededRandom,
  usableShare,
} from '@cassiamast/coordination';
import fc from 'fast-check';
import { countFault } from '../../kit/faults.js';
import { advance, createScheduler, schedule } from '../../kit/scheduler.js';
import { holds } from '../../kit/violation.js';
import type { World, WorldCommand, WorldSetup } from '../../kit/world.js';
import { createGateway, freeze, kill, renew, request } from './gateways.js';
import {
  GATEWAY_COUNT,
  LIMIT_PER_S,
  type LimitsOptions,
  SERVICE,
  type SimulatedGateway,
  type Simulation,
} from './simulation.js';

const RENEW_MS = 400;
const DEMAND_TICK_MS = 50;
const MS_PER_S = 1000;
const BUSY_PER_S = 20;
/** The platform's bound: from so long after the limit was named, in each window. */
const NOTICE_MS = 3000;
const WINDOW_MS = 4000;
const TOLERANCE = 1.5;
const SLACK = 5;
const USED_SHARE = 0.7;
/** Late messages have arrived, loans have ended, and a window has passed. */
const SETTLE_MS = 10_000;
const EPSILON = 1e-9;

/** Guards that can be taken away. */
export const LIMITS_MUTANTS: Readonly<Record<string, LimitsOptions>> = {
  'lends-while-lent': {
    noteBorrowed: recordBorrowedShare,
    lend: (shares, service, ...rest) => {
      shares.loans.delete(service);
      return lendShare(shares, service, ...rest);
    },
  },
  'loans-counted-from-answer': {
    lend: lendShare,
    noteBorrowed: (shares, service, lender, fraction, askedAtMs) => {
      recordBorrowedShare(shares, service, lender, fraction, askedAtMs + WINDOW_MS);
    },
  },
};

function create(setup: WorldSetup): Simulation {
  const guarded: LimitsOptions = { lend: lendShare, noteBorrowed: recordBorrowedShare };
  const simulation: Simulation = {
    scheduler: createScheduler(),
    random: seededRandom(setup.seed),
    counts: setup.counts,
    options: (setup.mutant === null ? undefined : LIMITS_MUTANTS[setup.mutant]) ?? guarded,
    gateways: [],
    cut: new Set(),
    arrivals: [],
    limitPerS: LIMIT_PER_S,
    namedAtMs: 0,
    answers: 0,
  };
  for (let index = 0; index < GATEWAY_COUNT; index += 1) {
    const gateway = createGateway(simulation, index);
    simulation.gateways.push(gateway);
    every(simulation, RENEW_MS, () => {
      renew(simulation, gateway);
    });
    every(simulation, DEMAND_TICK_MS, () => {
      const isDue = simulation.random() < (gateway.demandPerS * DEMAND_TICK_MS) / MS_PER_S;
      if (isDue) request(simulation, gateway);
    });
  }
  return simulation;
}

function every(simulation: Simulation, intervalMs: number, run: () => void): void {
  const again = (): void => {
    run();
    schedule(simulation.scheduler, intervalMs, again);
  };
  schedule(simulation.scheduler, simulation.random() * intervalMs, again);
}

type Command = WorldCommand<Simulation>;

const stepMs = fc.constantFrom(0, 100, 700, 1500, 5000);
const index = fc.nat({ max: GATEWAY_COUNT - 1 });

function onGateway(
  verb: string,
  run: (simulation: Simulation, gateway: SimulatedGateway, other: number) => void,
): fc.Arbitrary<Command> {
  return fc.tuple(index, index, stepMs).map(([which, other, afterMs]) => ({
    label: `gateway ${String(which)}: ${verb} (${String(other)}); ${String(afterMs)} ms`,
    run: (simulation) => {
      const gateway = simulation.gateways[which];
      if (gateway === undefined) return;
      countFault(simulation.counts, verb);
      run(simulation, gateway, other);
      advance(simulation.scheduler, afterMs);
    },
  }));
}

const COMMANDS: readonly fc.Arbitrary<Command>[] = [
  onGateway('callers press', (_, gateway) => {
    gateway.demandPerS = BUSY_PER_S;
  }),
  onGateway('callers leave', (_, gateway) => {
    gateway.demandPerS = 0;
  }),
  onGateway('takes another for the one that decides', (_, gateway, other) => {
    gateway.decider = other;
  }),
  onGateway('is taken for the one that decides by all', (simulation, gateway) => {
    for (const each of simulation.gateways) each.decider = gateway.index;
  }),
  onGateway('is killed', kill),
  onGateway('stands still', (simulation, gateway) => {
    freeze(simulation, gateway, simulation.random() * WINDOW_MS);
  }),
  onGateway('loses another', (simulation, gateway, other) => {
    simulation.cut.add(`${String(gateway.index)}/${String(other)}`);
  }),
  onGateway('finds all again', (simulation, gateway) => {
    for (const pair of simulation.cut) {
      if (pair.startsWith(`${String(gateway.index)}/`)) simulation.cut.delete(pair);
    }
  }),
];

function check(simulation: Simulation): void {
  const nowMs = simulation.scheduler.nowMs;
  const sum = simulation.gateways.reduce(
    (total, { limiter }) => total + usableShare(limiter.shares, SERVICE, GATEWAY_COUNT, nowMs),
    0,
  );
  holds(sum <= 1 + EPSILON, 'shares-add-up-to-one', () => sum.toFixed(2));
  const allowed = (LIMIT_PER_S * TOLERANCE * WINDOW_MS) / MS_PER_S + SLACK;
  const counted = countedArrivals(simulation);
  let first = 0;
  for (const [last, atMs] of counted.entries()) {
    while (atMs - (counted[first] ?? atMs) >= WINDOW_MS) first += 1;
    const inWindow = last - first + 1;
    holds(inWindow <= allowed, 'no-more-than-named', () => `${String(inWindow)} requests`);
  }
}

/** When requests arrived that count: some time after the first answer, and not excused. */
function countedArrivals({ arrivals }: Simulation): readonly number[] {
  const fromMs = (arrivals[0]?.atMs ?? 0) + NOTICE_MS;
  return arrivals
    .filter(({ atMs, isExcused }) => atMs >= fromMs && !isExcused)
    .map(({ atMs }) => atMs);
}

/** Ends all faults; then one gateway's demand gets most of the limit, and a limit ends. */
function settle(simulation: Simulation): void {
  const { scheduler, gateways } = simulation;
  simulation.cut.clear();
  for (const gateway of gateways) {
    gateway.decider = 0;
    gateway.demandPerS = gateway.index === GATEWAY_COUNT - 1 ? BUSY_PER_S : 0;
  }
  advance(scheduler, SETTLE_MS);
  const fromMs = scheduler.nowMs;
  advance(scheduler, SETTLE_MS);
  check(simulation);
  const used = simulation.arrivals.filter(({ atMs }) => atMs >= fromMs).length;
  const named = (LIMIT_PER_S * SETTLE_MS) / MS_PER_S;
  holds(used >= named * USED_SHARE, 'most-is-used', () => `${String(used)} of ${String(named)}`);
  simulation.limitPerS = null;
  advance(scheduler, SETTLE_MS);
  const left = gateways.filter(({ limiter }) =>
    [...limiter.limits.values()].some(({ perS }) => perS !== null),
  );
  holds(left.length === 0, 'limit-ends', () => `${String(left.length)} gateways keep it`);
}

/** The world. */
export const LIMITS_WORLD: World<Simulation> = {
  name: 'limits',
  mutants: Object.keys(LIMITS_MUTANTS),
  commands: COMMANDS,
  create,
  check,
  settle,
  stepsOf: (simulation) => simulation.scheduler.steps,
  // The trace of commands says all there is: no separate story is kept in this world.
  storyOf: () => [],
};
