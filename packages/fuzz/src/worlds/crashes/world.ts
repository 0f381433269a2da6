/**
 * The crashes world: a content that crashed three targets reaches hardly any more, and no harmless
 * one is rejected, over the real evidence and memory of gateways. Gateways are killed, paused and cut
 * off from the store; the store fails, is slow, drops its history and comes back from older copies;
 * targets crash for other
 * reasons, lose answers, fail on their own and are lost with their machines; the culprit stays away
 * for any time.
 */
import {
  AttemptEnd,
  addCrash,
  isQuarantinedContent,
  refuteCrashes,
  recordAnswerOf,
  eraOf,
  retainListedCrashes,
  revisionInEra,
  rewriteLostCrashes,
  seededRandom,
  storeRevisionOf,
} from '@cassiamast/coordination';
import fc from 'fast-check';
import { countFault } from '../../kit/faults.js';
import { advance, createScheduler, schedule } from '../../kit/scheduler.js';
import { holds } from '../../kit/violation.js';
import type { World, WorldCommand, WorldSetup } from '../../kit/world.js';
import { createPlace, killGateway, noteLossOfStore } from './gateway.js';
import { CONTACT_MS, CRASHES_UNTIL_QUARANTINE, REFUTED_AFTER_MS, request } from './sending.js';
import {
  CULPRIT,
  type CrashesOptions,
  GATEWAYS,
  POPULAR,
  SELDOM,
  type Place,
  type Simulation,
  TARGETS,
} from './simulation.js';
import { breakOffAttempts, crash, startTarget } from './targets.js';

/** Arrivals that are tolerated later than a while after the third crash. */
const TOLERATED_ARRIVALS = 3;
const FAST_STORE_MS = 6;
const SLOW_STORE_MS = 1200;
const POPULAR_GAP_MS = 120;
const OTHERS_GAP_MS = 90;
const SELDOM_GAP_MS = 3000;
const CULPRIT_GAP_MS = 1500;
const SETTLE_MS = 20_000;
const ABSENCE_MS = 40_000;
/** Kills of gateways that saw a crash, and how long each lives on. */
const WITNESSES = 4;
const WITNESS_MS = 400;
/** Shorter than any target works on a request. */
const IN_FLIGHT_MS = 5;
const CUT_MS = 400;
/** Most changes that the store loses when it comes back from an older copy. */
const MAX_LOST_CHANGES = 6;

const GUARDED: CrashesOptions = {
  addCrash,
  refuteCrashes,
  recordAnswerOf,
  retainListedCrashes,
  rewriteLostCrashes,
  suspiciousEnds: Object.values(AttemptEnd),
  clears: (isSuccess) => isSuccess,
  writeDelayMs: 0,
  repeatsWrites: true,
  tellsPeers: true,
  storedForMs: Infinity,
};

/** Guards that can be taken away. */
const CRASHES_MUTANTS: Readonly<Record<string, CrashesOptions>> = {
  'any-answer-clears': { ...GUARDED, clears: () => true },
  'only-broken-connections': { ...GUARDED, suspiciousEnds: [AttemptEnd.Broken] },
  'waits-before-writing': { ...GUARDED, writeDelayMs: 1500 },
  'writes-once': { ...GUARDED, repeatsWrites: false, tellsPeers: false },
  'crashes-expire': { ...GUARDED, storedForMs: 10_000 },
  'never-excused': {
    ...GUARDED,
    addCrash: (memory, ...crash) => {
      memory.completedAtMs.clear();
      addCrash(memory, ...crash);
    },
  },
  'never-refuted': { ...GUARDED, refuteCrashes: () => [], recordAnswerOf: () => [] },
  'believes-an-older-copy': { ...GUARDED, rewriteLostCrashes: retainListedCrashes },
  'keeps-what-is-not-listed': { ...GUARDED, retainListedCrashes: () => undefined },
};

function create(setup: WorldSetup): Simulation {
  const simulation: Simulation = {
    scheduler: createScheduler(),
    random: seededRandom(setup.seed),
    counts: setup.counts,
    options: (setup.mutant === null ? undefined : CRASHES_MUTANTS[setup.mutant]) ?? GUARDED,
    store: {
      revision: 1,
      crashes: new Map(),
      changes: [],
      droppedRevision: 0,
      isDown: false,
      delayMs: FAST_STORE_MS,
      steadySinceMs: 0,
    },
    places: [],
    targets: [],
    startedTargets: 0,
    crashedTargets: new Set(),
    isCulpritAbout: true,
    isBusy: true,
    closesConnections: true,
    ownFailureShare: 0,
    lostAnswerShare: 0,
    culpritCrashes: [],
    culpritArrivalsAtMs: [],
    wronglyRejected: [],
  };
  for (let count = 0; count < TARGETS; count += 1) startTarget(simulation);
  for (let index = 0; index < GATEWAYS; index += 1) {
    simulation.places.push(createPlace(simulation, index));
  }
  let others = 0;
  every(simulation, POPULAR_GAP_MS, () => (simulation.isBusy ? POPULAR : null));
  every(simulation, SELDOM_GAP_MS, () => SELDOM);
  every(simulation, OTHERS_GAP_MS, () => {
    if (!simulation.isBusy) return null;
    others += 1;
    return `other-${String(others)}`;
  });
  every(simulation, CULPRIT_GAP_MS, () => (simulation.isCulpritAbout ? CULPRIT : null));
  return simulation;
}

/** Sends requests to gateways drawn at random for as long as the run lasts. */
function every(simulation: Simulation, gapMs: number, next: () => string | null): void {
  const { scheduler, random, places } = simulation;
  schedule(scheduler, gapMs * 2 * random(), () => {
    const content = next();
    const place = places[Math.floor(random() * places.length)];
    if (content !== null && place !== undefined) request(simulation, place, content);
    every(simulation, gapMs, next);
  });
}

type Command = WorldCommand<Simulation>;

const stepMs = fc.constantFrom(0, 50, 300, 1000, 4000, 9000);
const index = fc.nat({ max: GATEWAYS - 1 });

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
    label: `gateway ${String(which)}: ${verb}; ${String(afterMs)} ms`,
    run: (simulation) => {
      const place = simulation.places[which];
      if (place === undefined) return;
      countFault(simulation.counts, verb);
      run(simulation, place);
      advance(simulation.scheduler, afterMs);
    },
  }));
}

/** Lets time pass until the culprit crashes the next target, at most for a while. */
function untilNextCrash({ scheduler, culpritCrashes }: Simulation): void {
  const crashes = culpritCrashes.length;
  for (let waitedMs = 0; waitedMs < 3 * CULPRIT_GAP_MS; waitedMs += 20) {
    if (culpritCrashes.length > crashes) return;
    advance(scheduler, 20);
  }
}

const COMMANDS: readonly fc.Arbitrary<Command>[] = [
  command('time passes', () => undefined),
  command('the culprit stays away', (simulation) => {
    simulation.isCulpritAbout = false;
    advance(simulation.scheduler, ABSENCE_MS);
    simulation.isCulpritAbout = true;
  }),
  command('all gateways are killed after a crash', (simulation) => {
    untilNextCrash(simulation);
    advance(simulation.scheduler, 300);
    for (const place of simulation.places) killGateway(simulation, place);
  }),
  command('each gateway that sees a crash is killed', (simulation) => {
    for (let kills = 0; kills < WITNESSES; kills += 1) {
      untilNextCrash(simulation);
      advance(simulation.scheduler, WITNESS_MS);
      const witness = simulation.culpritCrashes.at(-1)?.witness;
      for (const place of simulation.places) {
        if (place.index === witness) killGateway(simulation, place);
      }
    }
  }),
  command('a target crashes for another reason', (simulation) => {
    const up = simulation.targets.filter(({ isUp }) => isUp);
    const target = up[Math.floor(simulation.random() * up.length)];
    if (target !== undefined) crash(simulation, target);
  }),
  command('most targets crash for another reason', (simulation) => {
    for (const target of simulation.targets.slice(1)) crash(simulation, target);
  }),
  command('callers leave', (simulation) => {
    simulation.isBusy = false;
  }),
  command('callers come', (simulation) => {
    simulation.isBusy = true;
  }),
  command('an operator deletes all crashes', (simulation) => {
    const { store } = simulation;
    if (store.isDown) return;
    for (const { content, target } of store.crashes.values()) {
      store.revision += 1;
      store.changes.push({ content, target, revision: store.revision, isRemoved: true });
    }
    store.crashes.clear();
    simulation.culpritCrashes = [];
    simulation.culpritArrivalsAtMs = [];
  }),
  command('machines are lost', (simulation) => {
    simulation.closesConnections = false;
  }),
  command('processes crash', (simulation) => {
    simulation.closesConnections = true;
  }),
  command('targets fail on their own', (simulation) => {
    simulation.ownFailureShare = 0.3;
  }),
  command('targets lose answers', (simulation) => {
    simulation.lostAnswerShare = 0.3;
  }),
  command('targets are well', (simulation) => {
    simulation.ownFailureShare = 0;
    simulation.lostAnswerShare = 0;
  }),
  command('the store rejects all calls', ({ store }) => {
    store.isDown = true;
    store.steadySinceMs = Infinity;
  }),
  command('the store is slow', ({ store }) => {
    store.delayMs = SLOW_STORE_MS;
    store.steadySinceMs = Infinity;
  }),
  command('the store is well', healStore),
  command('the store comes back from an older copy', (simulation) => {
    if (!simulation.store.isDown) comeBackFromCopy(simulation);
  }),
  command('the store drops its history', ({ store }) => {
    store.droppedRevision = store.revision;
    store.changes = [];
  }),
  onPlace('is killed', killGateway),
  onPlace('is paused', ({ scheduler, random }, place) => {
    place.gateway.pausedUntilMs = scheduler.nowMs + random() * 8000;
    place.inTouchSinceMs = place.gateway.pausedUntilMs;
  }),
  onPlace('is cut off from the store', (_, place) => {
    place.isCut = true;
    place.inTouchSinceMs = Infinity;
  }),
  onPlace('is cut off from the targets', (simulation, place) => {
    place.isCutFromTargets = true;
    place.inTouchSinceMs = simulation.scheduler.nowMs;
    breakOffAttempts(simulation, place);
  }),
  onPlace('loses the targets while it waits for one', (simulation, place) => {
    const { scheduler, store, isBusy } = simulation;
    // Only the store and the answers to others tell that the targets live on.
    if (store.isDown || place.isCut || !isBusy) return;
    request(simulation, place, SELDOM);
    advance(scheduler, IN_FLIGHT_MS);
    place.isCutFromTargets = true;
    breakOffAttempts(simulation, place);
    advance(scheduler, CUT_MS);
    place.isCutFromTargets = false;
    advance(scheduler, REFUTED_AFTER_MS);
  }),
  onPlace('reaches the targets again', (_, place) => {
    place.isCutFromTargets = false;
  }),
  onPlace('reaches the store again', (_, place) => {
    place.isCut = false;
  }),
];

/** Undoes the last changes of the store, which gives out their revisions again. */
function comeBackFromCopy(simulation: Simulation): void {
  const { store, random } = simulation;
  const lost = store.changes.splice(-Math.ceil(random() * MAX_LOST_CHANGES));
  for (const { content, target, isRemoved } of lost.reverse()) {
    const key = `${content}/${target}`;
    if (isRemoved) store.crashes.set(key, { content, target });
    else store.crashes.delete(key);
  }
  const { revision } = store;
  store.revision = revisionInEra(eraOf(revision) + 1, storeRevisionOf(revision) - lost.length);
  noteLossOfStore(simulation);
}

function healStore({ store, scheduler }: Simulation): void {
  store.isDown = false;
  store.delayMs = FAST_STORE_MS;
  store.steadySinceMs = Math.min(store.steadySinceMs, scheduler.nowMs);
}

function check(simulation: Simulation): void {
  const { culpritArrivalsAtMs, wronglyRejected } = simulation;
  const crashes = simulation.culpritCrashes.filter(({ isLost }) => !isLost);
  const thirdAtMs = crashes[CRASHES_UNTIL_QUARANTINE - 1]?.atMs ?? Infinity;
  const late = culpritArrivalsAtMs.filter((atMs) => atMs > thirdAtMs + CONTACT_MS);
  holds(
    late.length <= TOLERATED_ARRIVALS,
    'culprit-is-stopped',
    () => `${String(late.length)} late arrivals, ${String(crashes.length)} crashes in all`,
  );
  holds(wronglyRejected.length === 0, 'harmless-is-served', () => wronglyRejected.join());
}

/** Ends all faults; then every gateway knows what the store has, and rejects the culprit. */
function settle(simulation: Simulation): void {
  const { scheduler, places } = simulation;
  healStore(simulation);
  simulation.ownFailureShare = 0;
  simulation.lostAnswerShare = 0;
  simulation.isBusy = true;
  for (const place of places) {
    place.isCut = false;
    place.isCutFromTargets = false;
  }
  advance(scheduler, SETTLE_MS);
  check(simulation);
  for (const place of places) checkKnowledge(simulation, place);
}

function checkKnowledge(
  { store, culpritCrashes }: Simulation,
  { gateway, index: which }: Place,
): void {
  for (const [content, crashes] of gateway.memory.crashesByContent) {
    for (const [target, { isStored }] of crashes) {
      holds(
        !isStored || store.crashes.has(`${content}/${target}`),
        'forgets-what-is-deleted',
        () => `gateway ${String(which)} counts ${content} at ${target}`,
      );
    }
  }
  if (culpritCrashes.filter(({ isLost }) => !isLost).length < CRASHES_UNTIL_QUARANTINE) return;
  holds(
    isQuarantinedContent(gateway.memory, CULPRIT),
    'culprit-is-stopped',
    () => `gateway ${String(which)} does not reject it`,
  );
}

/** The world. */
export const CRASHES_WORLD: World<Simulation> = {
  name: 'crashes',
  mutants: Object.keys(CRASHES_MUTANTS),
  commands: COMMANDS,
  create,
  check,
  settle,
  stepsOf: (simulation) => simulation.scheduler.steps,
  // The trace of commands says all there is: no separate story is kept in this world.
  storyOf: () => [],
};
