/**
 * The retries world: all gateways together keep to the retry budget of a service in every window, over
 * the real windows and shares. Targets fail, callers press, and gateways are killed one after the other
 * or all at once, replaced under new names, paused and suspended; the store is slow, rejects calls or
 * can't be reached; retries are held back between the decision and the send.
 */
import {
  ShareState,
  allowanceShare,
  closeWindowRetry,
  openWindowRetry,
  reserveWindowRetries,
  seededRandom,
} from '@cassiamast/coordination';
import fc from 'fast-check';
import { countFault } from '../../kit/faults.js';
import { advance, createScheduler, schedule } from '../../kit/scheduler.js';
import { holds } from '../../kit/violation.js';
import type { World, WorldCommand, WorldSetup } from '../../kit/world.js';
import { createPlace, killProcess, pause, request } from './gateway.js';
import {
  BUDGET,
  MAX_PLACES,
  PLACES,
  type Place,
  type RetriesOptions,
  type Simulation,
} from './simulation.js';

const MS_PER_S = 1000;
const DEMAND_TICK_MS = 50;
const USUAL_PER_S = 4;
const BUSY_PER_S = 20;
const FAST_STORE_MS = 6;
/** Longer than a lease. */
const SLOW_STORE_MS = 3500;
const KILL_GAP_MS = 400;
const SETTLE_MS = 45_000;
/** Part of the ratio that must be used when everything fails and nothing else happens. */
const USED_SHARE = 0.85;

const GUARDED: RetriesOptions = {
  share: allowanceShare,
  open: openWindowRetry,
  close: closeWindowRetry,
  reserve: reserveWindowRetries,
  joinsAfterKey: false,
};

/** Guards that can be taken away. */
const RETRIES_MUTANTS: Readonly<Record<string, RetriesOptions>> = {
  'share-from-the-start': {
    ...GUARDED,
    share: (knowledge, now) => {
      const { gateways } = allowanceShare(knowledge, now);
      return { state: ShareState.Counted, gateways, fraction: 1 / gateways };
    },
  },
  'share-without-store': {
    ...GUARDED,
    share: (knowledge, now) => {
      const known = allowanceShare(knowledge, now);
      return knowledge.isCounted ? { ...known, fraction: 1 / known.gateways } : known;
    },
  },
  'first-start-at-any-start': { ...GUARDED, joinsAfterKey: true },
  'charged-at-the-decision': {
    ...GUARDED,
    reserve: (window, retries, slackShare, nowMs) => {
      if (!reserveWindowRetries(window, retries, slackShare, nowMs)) return false;
      openWindowRetry(window, slackShare, nowMs);
      closeWindowRetry(window, nowMs);
      return true;
    },
    open: () => true,
    close: () => undefined,
  },
};

function create(setup: WorldSetup): Simulation {
  const simulation: Simulation = {
    scheduler: createScheduler(),
    random: seededRandom(setup.seed),
    counts: setup.counts,
    options: (setup.mutant === null ? undefined : RETRIES_MUTANTS[setup.mutant]) ?? GUARDED,
    store: {
      revision: 1,
      announced: new Map(),
      leasesUntilMs: new Map(),
      history: [],
      firstStartRevision: null,
      delayMs: FAST_STORE_MS,
      isRejecting: false,
    },
    places: [],
    replaced: 0,
    leases: 0,
    isFailing: true,
    isHolding: false,
    held: [],
    requestsAtMs: [],
    furtherAtMs: [],
  };
  for (let index = 0; index < PLACES; index += 1) addPlace(simulation);
  return simulation;
}

function addPlace(simulation: Simulation): void {
  const index = simulation.places.length;
  if (index >= MAX_PLACES) return;
  const place = createPlace(simulation, index, USUAL_PER_S);
  simulation.places.push(place);
  tick(simulation, place);
}

function tick(simulation: Simulation, place: Place): void {
  const { scheduler, random } = simulation;
  const isDue = random() < (place.requestsPerS * DEMAND_TICK_MS) / MS_PER_S;
  if (isDue) request(simulation, place);
  schedule(scheduler, DEMAND_TICK_MS, () => {
    tick(simulation, place);
  });
}

type Command = WorldCommand<Simulation>;

const stepMs = fc.constantFrom(0, 300, 1000, 3000, 9000);
const index = fc.nat({ max: MAX_PLACES - 1 });

function command(verb: string, run: (simulation: Simulation) => void): fc.Arbitrary<Command> {
  return stepMs.map((afterMs) => ({
    label: `${verb}; ${String(afterMs)} ms`,
    run: (simulation) => {
      countFault(simulation.counts, verb);
      run(simulation);
      advance(simulation.scheduler, afterMs);
    },
  }));
}

function onPlace(
  verb: string,
  run: (simulation: Simulation, place: Place) => void,
): fc.Arbitrary<Command> {
  return fc.tuple(index, stepMs).map(([which, afterMs]) => ({
    label: `place ${String(which)}: ${verb}; ${String(afterMs)} ms`,
    run: (simulation) => {
      const place = simulation.places[which];
      if (place === undefined) return;
      countFault(simulation.counts, verb);
      run(simulation, place);
      advance(simulation.scheduler, afterMs);
    },
  }));
}

const COMMANDS: readonly fc.Arbitrary<Command>[] = [
  command('time passes', ({ scheduler }) => {
    advance(scheduler, BUDGET.windowMs);
  }),
  command('targets fail', (simulation) => {
    simulation.isFailing = true;
  }),
  command('targets answer', (simulation) => {
    simulation.isFailing = false;
  }),
  command('gateways are killed one after the other', (simulation) => {
    for (const place of simulation.places) {
      killProcess(simulation, place);
      advance(simulation.scheduler, KILL_GAP_MS);
    }
  }),
  command('all gateways are killed', (simulation) => {
    for (const place of simulation.places) killProcess(simulation, place);
  }),
  command('a gateway is added', addPlace),
  command('all gateways are cut off from the store', ({ places }) => {
    for (const place of places) place.isCut = true;
  }),
  onPlace('is killed', killProcess),
  onPlace('is replaced under a new name', (simulation, place) => {
    killProcess(simulation, place, true);
  }),
  onPlace('is paused', (simulation, { process }) => {
    pause(simulation, process, simulation.random() * BUDGET.windowMs, false);
  }),
  onPlace('is suspended with its VM', (simulation, { process }) => {
    pause(simulation, process, simulation.random() * BUDGET.windowMs, true);
  }),
  onPlace('is cut off from the store', (_, place) => {
    place.isCut = true;
  }),
  onPlace('reaches the store again', (_, place) => {
    place.isCut = false;
  }),
  onPlace('callers press', (_, place) => {
    place.requestsPerS = BUSY_PER_S;
  }),
  onPlace('callers leave', (_, place) => {
    place.requestsPerS = 0;
  }),
  command('the store is slow', ({ store }) => {
    store.delayMs = SLOW_STORE_MS;
  }),
  command('the store rejects all calls', ({ store }) => {
    store.isRejecting = true;
  }),
  command('the store is well', ({ store }) => {
    store.delayMs = FAST_STORE_MS;
    store.isRejecting = false;
  }),
  command('retries are held back', (simulation) => {
    simulation.isHolding = true;
  }),
  command('retries are let go', release),
];

function release(simulation: Simulation): void {
  simulation.isHolding = false;
  for (const send of simulation.held.splice(0)) send();
}

/** Checks the windows that contain arrivals of the time that was not checked before. */
function check(simulation: Simulation): void {
  const { requestsAtMs, furtherAtMs, scheduler } = simulation;
  const { windowMs, ratio, slack } = BUDGET;
  // The requests of the two windows before an arrival may pay for it.
  dropBefore(requestsAtMs, scheduler.nowMs - CHECKED_MS - 2 * windowMs);
  dropBefore(furtherAtMs, scheduler.nowMs - CHECKED_MS);
  for (const fromMs of furtherAtMs.flatMap((atMs) => [atMs, atMs - windowMs])) {
    const further = countFrom(furtherAtMs, fromMs);
    if (further <= slack) continue;
    const requests = Math.max(
      countFrom(requestsAtMs, fromMs),
      countFrom(requestsAtMs, fromMs - windowMs / 2),
      countFrom(requestsAtMs, fromMs - windowMs),
    );
    const allowed = requests * ratio + slack;
    holds(
      further <= allowed,
      'retries-within-budget',
      () => `${String(further)} further arrivals of ${allowed.toFixed(1)}`,
    );
  }
}

/** Longer than a command and a window together. */
const CHECKED_MS = 40_000;

function dropBefore(timesMs: number[], fromMs: number): void {
  const firstKept = timesMs.findIndex((timeMs) => timeMs >= fromMs);
  timesMs.splice(0, firstKept === -1 ? timesMs.length : firstKept);
}

function countFrom(sortedMs: readonly number[], fromMs: number): number {
  return firstAtOrAfter(sortedMs, fromMs + BUDGET.windowMs) - firstAtOrAfter(sortedMs, fromMs);
}

function firstAtOrAfter(sortedMs: readonly number[], atMs: number): number {
  let low = 0;
  let high = sortedMs.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((sortedMs[middle] ?? Infinity) < atMs) low = middle + 1;
    else high = middle;
  }
  return low;
}

/** Ends all faults but those of the targets; then the budget is used, and kept. */
function settle(simulation: Simulation): void {
  const { scheduler, store, places, requestsAtMs, furtherAtMs } = simulation;
  release(simulation);
  store.delayMs = FAST_STORE_MS;
  store.isRejecting = false;
  simulation.isFailing = true;
  for (const place of places) {
    place.isCut = false;
    place.requestsPerS = USUAL_PER_S;
  }
  advance(scheduler, SETTLE_MS);
  check(simulation);
  const fromMs = scheduler.nowMs - 2 * BUDGET.windowMs;
  const used = furtherAtMs.filter((atMs) => atMs >= fromMs).length;
  const requests = requestsAtMs.filter((atMs) => atMs >= fromMs).length;
  holds(
    used >= requests * BUDGET.ratio * USED_SHARE,
    'budget-is-used',
    () => `${String(used)} retries for ${String(requests)} requests`,
  );
}

/** The world. */
export const RETRIES_WORLD: World<Simulation> = {
  name: 'retries',
  mutants: Object.keys(RETRIES_MUTANTS),
  commands: COMMANDS,
  create,
  check,
  settle,
  stepsOf: (simulation) => simulation.scheduler.steps,
  // The trace of commands says all there is: no separate story is kept in this world.
  storyOf: () => [],
};
