/**
 * The departures world: a target that has left, or that asked for a back-off, receives nothing more
 * from a gateway, over the real fleet view, poll interval and announcements. Targets drain, vanish
 * from the store, announce their departure before the store shows it, and turn requests away; the
 * store fails, entries expire and come back meanwhile, it comes back from older copies, and the
 * gateway's connection to it goes silent.
 */
import {
  EnginePhase,
  type FleetChange,
  FleetChangeKind,
  applyListing,
  createFleetView,
  createPollInterval,
  createStoreContact,
  latestGraceEndMs,
  pollIntervalOptions,
  recordBackOff,
  seededRandom,
} from '@cassiamast/coordination';
import fc from 'fast-check';
import { countFault } from '../../kit/faults.js';
import { advance, createScheduler, schedule } from '../../kit/scheduler.js';
import { holds } from '../../kit/violation.js';
import type { World, WorldCommand, WorldSetup } from '../../kit/world.js';
import { poll, sendRequests } from './gateway.js';
import {
  type DeparturesOptions,
  SERVICE,
  type Send,
  type SimulatedTarget,
  type Simulation,
  TARGET_COUNT,
} from './simulation.js';

const APPLY_WITHIN_MS = [2000, 3000, 4000] as const;
/** How much longer an interruption excuses a gateway. */
const CONTACT_EXTRA_MS = 1000;
/** Entries that expired during an outage are back within this time. */
const REAPPEAR_MS = 1400;
const MAX_BACK_OFF_MS = 4000;
/** Most changes that the store loses when it comes back from an older copy. */
const MAX_LOST_CHANGES = 8;
/** What targets had written since that copy is written again after this time. */
const REWRITE_MS = 400;
/** A leaving target ends this long after the store shows its departure. */
const SERVES_ON_MS = 9000;
const SETTLE_MS = 12_000;

const GUARDED: DeparturesOptions = {
  recordBackOff,
  applyListing,
  eraOfStore: ({ era }) => era,
  latestGraceEndMs,
  renewConnections: (simulation) => {
    simulation.connection = { isSilent: false };
  },
  afterStoreAnswer: () => undefined,
  afterRemoval: () => undefined,
  backOffFromMs: (_, receivedAtMs) => receivedAtMs,
};

/** Guards that can be taken away. */
const DEPARTURES_MUTANTS: Readonly<Record<string, DeparturesOptions>> = {
  'quiet-polls-extend-grace': {
    ...GUARDED,
    afterStoreAnswer: (simulation) => {
      const { view } = simulation;
      view.outageFromMs -= simulation.pauseMs;
      for (const known of view.targets.values()) {
        if (known.goneAtMs !== null) known.goneAtMs = view.graceUntilMs;
      }
    },
  },
  'whole-grace-after-silence': { ...GUARDED, latestGraceEndMs: () => Infinity },
  'keeps-silent-connections': { ...GUARDED, renewConnections: () => undefined },
  'trusts-the-copy': {
    ...GUARDED,
    applyListing: (view, ...listing) => {
      view.removedAtRevision.clear();
      applyListing(view, ...listing);
    },
  },
  'ignores-eras': { ...GUARDED, eraOfStore: () => 0 },
  'back-off-from-send': { ...GUARDED, backOffFromMs: (sentAtMs) => sentAtMs },
  'forgets-with-entry': {
    ...GUARDED,
    afterRemoval: ({ availability }, name) => {
      availability.delete(name);
    },
  },
};

function create(setup: WorldSetup): Simulation {
  const random = seededRandom(setup.seed);
  const applyWithinMs =
    APPLY_WITHIN_MS[Math.floor(random() * APPLY_WITHIN_MS.length)] ?? APPLY_WITHIN_MS[0];
  const contactMs = applyWithinMs + CONTACT_EXTRA_MS;
  const simulation: Simulation = {
    scheduler: createScheduler(),
    random,
    counts: setup.counts,
    options: (setup.mutant === null ? undefined : DEPARTURES_MUTANTS[setup.mutant]) ?? GUARDED,
    store: {
      revision: 1,
      era: 0,
      changes: [],
      isDown: false,
      upSinceMs: 0,
      notify: () => undefined,
    },
    targets: [],
    view: createFleetView(),
    availability: new Map(),
    pace: createPollInterval(pollIntervalOptions(applyWithinMs, contactMs)),
    applyWithinMs,
    contactMs,
    contact: createStoreContact(0),
    connection: { isSilent: false },
    silentSinceMs: -Infinity,
    pauseMs: 0,
    sends: [],
    startedTargets: 0,
  };
  for (let index = 0; index < TARGET_COUNT; index += 1) startTarget(simulation);
  poll(simulation);
  sendRequests(simulation);
  return simulation;
}

function startTarget(simulation: Simulation): void {
  simulation.startedTargets += 1;
  const target: SimulatedTarget = {
    name: `target-${String(simulation.startedTargets)}`,
    isLeaving: false,
    turnsAwayUntilMs: 0,
    backOffMs: 0,
    leftAtMs: null,
    isVanished: false,
    isKnown: false,
    isKnownGone: false,
    toldLeavingAtMs: null,
    backOffUntilMs: 0,
  };
  simulation.targets.push(target);
  writeEntry(simulation, target);
}

function writeEntry({ store }: Simulation, { name }: SimulatedTarget, draining = false): void {
  store.revision += 1;
  const target = {
    id: name,
    name,
    bornAtMs: 0,
    version: 'v1',
    service: SERVICE,
    address: `${name}:80`,
    failureDomain: 'eros-hall',
    slots: 1,
    draining,
    phase: EnginePhase.Both,
  };
  store.changes.push({ kind: FleetChangeKind.Target, revision: store.revision, target });
  store.notify();
}

function removeEntry(simulation: Simulation, { name }: SimulatedTarget): void {
  removeNamed(simulation, name);
}

function removeNamed({ store }: Simulation, name: string): void {
  store.revision += 1;
  store.changes.push({ kind: FleetChangeKind.TargetRemoved, revision: store.revision, name });
  store.notify();
}

/** The store acknowledges a departure, and a replacement starts. */
function leave(simulation: Simulation, target: SimulatedTarget, depart: () => void): void {
  if (target.leftAtMs !== null || simulation.store.isDown) return;
  target.leftAtMs = simulation.scheduler.nowMs;
  depart();
  schedule(simulation.scheduler, SERVES_ON_MS, () => {
    simulation.targets.splice(simulation.targets.indexOf(target), 1);
    if (!simulation.store.isDown) removeEntry(simulation, target);
    startTarget(simulation);
  });
}

function endOutage(simulation: Simulation): void {
  const { store, scheduler, targets, random } = simulation;
  if (!store.isDown) return;
  store.isDown = false;
  store.upSinceMs = scheduler.nowMs;
  for (const target of targets.filter(({ leftAtMs }) => leftAtMs === null)) {
    if (random() < 0.5) continue;
    removeEntry(simulation, target);
    schedule(scheduler, random() * REAPPEAR_MS, () => {
      if (target.leftAtMs === null) writeEntry(simulation, target);
    });
  }
}

/** Loses the last changes; what is true of the targets concerned is written again soon. */
function comeBackFromCopy(simulation: Simulation): void {
  const { store, scheduler, random } = simulation;
  const lost = store.changes.slice(-Math.ceil(random() * MAX_LOST_CHANGES));
  store.changes = store.changes.slice(0, -lost.length);
  store.revision = store.changes.at(-1)?.revision ?? 1;
  store.era += 1;
  store.upSinceMs = scheduler.nowMs;
  store.notify();
  const names = new Set(lost.flatMap(nameOf));
  schedule(scheduler, REWRITE_MS, () => {
    for (const name of names) writeAgain(simulation, name);
  });
}

function silenceConnection(simulation: Simulation): void {
  simulation.connection.isSilent = true;
  simulation.silentSinceMs = simulation.scheduler.nowMs;
}

function nameOf(change: FleetChange): readonly string[] {
  if (change.kind === FleetChangeKind.Target) return [change.target.name];
  return change.kind === FleetChangeKind.TargetRemoved ? [change.name] : [];
}

function writeAgain(simulation: Simulation, name: string): void {
  const target = simulation.targets.find((each) => each.name === name);
  if (target === undefined || target.isVanished) removeNamed(simulation, name);
  else writeEntry(simulation, target, target.leftAtMs !== null);
}

type Command = WorldCommand<Simulation>;

const stepMs = fc.constantFrom(0, 100, 700, 1450, 2900, 5000);
const index = fc.nat({ max: TARGET_COUNT - 1 });

function onTarget(
  verb: string,
  run: (simulation: Simulation, target: SimulatedTarget) => void,
): fc.Arbitrary<Command> {
  return fc.tuple(index, stepMs).map(([which, afterMs]) => ({
    label: `target ${String(which)}: ${verb}; ${String(afterMs)} ms`,
    run: (simulation) => {
      const target = simulation.targets[which];
      if (target === undefined) return;
      countFault(simulation.counts, verb);
      run(simulation, target);
      advance(simulation.scheduler, afterMs);
    },
  }));
}

const COMMANDS: readonly fc.Arbitrary<Command>[] = [
  onTarget('drains', (simulation, target) => {
    leave(simulation, target, () => {
      writeEntry(simulation, target, true);
    });
  }),
  onTarget('vanishes from the store', (simulation, target) => {
    leave(simulation, target, () => {
      target.isVanished = true;
      removeEntry(simulation, target);
    });
  }),
  onTarget('announces its departure', (_, target) => {
    target.isLeaving = true;
  }),
  onTarget('turns requests away', ({ scheduler, random }, target) => {
    target.turnsAwayUntilMs = scheduler.nowMs + random() * MAX_BACK_OFF_MS;
    target.backOffMs = 1 + random() * MAX_BACK_OFF_MS;
  }),
  onTarget('is written again', (simulation, target) => {
    if (target.leftAtMs === null && !simulation.store.isDown) writeEntry(simulation, target);
  }),
  onTarget('loses its store', ({ store }) => {
    store.isDown = true;
  }),
  onTarget('finds its store again', endOutage),
  onTarget('leaves before connections to the store go silent', (simulation, target) => {
    leave(simulation, target, () => {
      target.isVanished = true;
      removeEntry(simulation, target);
    });
    silenceConnection(simulation);
  }),
  onTarget('has a gateway whose connection to the store goes silent', silenceConnection),
  onTarget('finds its store as an older copy', (simulation) => {
    if (!simulation.store.isDown) comeBackFromCopy(simulation);
  }),
];

function check(simulation: Simulation): void {
  for (const send of simulation.sends) checkSend(simulation, send);
  simulation.sends = [];
}

function checkSend(
  { applyWithinMs }: Simulation,
  { target, toldForMs, backOffLeftMs, leftForMs, isKnownGone }: Send,
): void {
  const { name } = target;
  holds(!isKnownGone, 'remembers-departure', () => `${name}, which the gateway knew to have left`);
  holds(toldForMs === null, 'heeds-departure', () => `${name}, ${String(toldForMs)} ms after it`);
  holds(backOffLeftMs <= 0, 'heeds-back-off', () => `${name}, ${String(backOffLeftMs)} ms early`);
  holds(
    leftForMs === null || leftForMs <= applyWithinMs,
    'nothing-after-leaving',
    () => `${name}, ${String(leftForMs)} ms after it left, ${String(applyWithinMs)} allowed`,
  );
}

/** Ends all faults; then each target that stays gets requests. */
function settle(simulation: Simulation): void {
  const { scheduler, targets } = simulation;
  endOutage(simulation);
  for (const target of targets) target.turnsAwayUntilMs = 0;
  advance(scheduler, SETTLE_MS);
  check(simulation);
  const staying = targets.filter(({ isLeaving, leftAtMs }) => !isLeaving && leftAtMs === null);
  const used = new Set<SimulatedTarget>();
  advance(scheduler, SETTLE_MS);
  for (const { target } of simulation.sends) used.add(target);
  check(simulation);
  const unused = staying.filter((target) => targets.includes(target) && !used.has(target));
  holds(unused.length === 0, 'available-targets-are-used', () =>
    unused.map(({ name }) => name).join(', '),
  );
}

/** The world. */
export const DEPARTURES_WORLD: World<Simulation> = {
  name: 'departures',
  mutants: Object.keys(DEPARTURES_MUTANTS),
  commands: COMMANDS,
  create,
  check,
  settle,
  stepsOf: (simulation) => simulation.scheduler.steps,
  // The trace of commands is complete, so there is no separate story.
  storyOf: () => [],
};
