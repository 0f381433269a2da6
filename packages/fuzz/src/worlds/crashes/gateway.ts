/** The gateways of the crashes world: their processes, and how they share what they know of crashes. */
import {
  type CrashNote,
  CrashSource,
  countsCrash,
  crashAgeMs,
  createCrashEvidence,
  createCrashMemory,
  decideSuspicions,
  eraOf,
  markCrashesStored,
  rejectWithdrawnCrash,
  removeCrash,
  CrashRemoval,
  unstoredCrashes,
} from '@cassiamast/coordination';
import { schedule } from '../../kit/scheduler.js';
import {
  CULPRIT,
  type CulpritCrash,
  type Place,
  type SimulatedGateway,
  type Simulation,
} from './simulation.js';

const READ_PAUSE_MS = 500;
const TICK_MS = 250;
const CLEAN_UP_MS = 1000;
const BATCH_MS = 5;
const RETRY_MS = 600;
const PEERS_TOLD = 3;
const MAX_TELL_PAUSE_MS = 10_000;
const PEER_MS = 3;
/** Crashes that the store lost are written again within this time. */
const REWRITE_SPREAD_MS = 1000;
/** A crash is found and has left its gateway within this time. */
const SPREAD_MS = 300;
/** The silence of a lost machine is noticed after this time. */
const SILENCE_MS = 1000;
/** A write without an answer is told to others after this time. */
const TELL_AFTER_MS = 150;

/** Creates a place with a gateway that knows nothing. */
export function createPlace(simulation: Simulation, index: number): Place {
  const place: Place = {
    index,
    gateway: createGateway(index),
    isCut: false,
    isCutFromTargets: false,
    inTouchSinceMs: 0,
  };
  startGateway(simulation, place);
  return place;
}

function createGateway(index: number): SimulatedGateway {
  return {
    index,
    isAlive: true,
    pausedUntilMs: 0,
    memory: createCrashMemory(),
    evidence: createCrashEvidence(),
    givenUp: new Set(),
    tellAgain: new Map(),
    deletions: [],
    readRevision: -1,
    isWriting: false,
  };
}

function startGateway(simulation: Simulation, place: Place): void {
  const { gateway } = place;
  place.inTouchSinceMs = simulation.scheduler.nowMs;
  follow(simulation, place, gateway);
  tick(simulation, place, gateway);
  cleanUp(simulation, place, gateway);
}

/** Kills the process of a place and starts another one. */
export function killGateway(simulation: Simulation, place: Place): void {
  place.gateway.isAlive = false;
  for (const crash of simulation.culpritCrashes) noteLoss(simulation, crash);
  place.gateway = createGateway(place.index);
  startGateway(simulation, place);
}

/**
 * Marks a crash as lost that nobody can know of any more: all processes of its time are dead, or it
 * has only just happened, and the store does not have it.
 */
function noteLoss({ scheduler, store, places }: Simulation, crash: CulpritCrash): void {
  if (store.crashes.has(`${CULPRIT}/${crash.target}`)) return;
  const isKnown = places.some(
    ({ gateway }) =>
      gateway.isAlive && gateway.memory.crashesByContent.get(CULPRIT)?.has(crash.target) === true,
  );
  if (isKnown) return;
  const areAllDead = crash.gateways.every(({ isAlive }) => !isAlive);
  const spreadMs = crash.closedConnections ? SPREAD_MS : SPREAD_MS + SILENCE_MS;
  crash.isLost ||= areAllDead || scheduler.nowMs - crash.atMs < spreadMs;
}

/** Runs something at a gateway later, unless it was killed; while it is paused, everything waits. */
export function later(
  simulation: Simulation,
  gateway: SimulatedGateway,
  afterMs: number,
  act: () => void,
): void {
  const { scheduler } = simulation;
  schedule(scheduler, afterMs, () => {
    if (!gateway.isAlive) return;
    if (gateway.pausedUntilMs <= scheduler.nowMs) act();
    else later(simulation, gateway, gateway.pausedUntilMs - scheduler.nowMs, act);
  });
}

/** Calls the store; half of the delay passes before it acts, the other half before the answer. */
function callStore<Answer>(
  simulation: Simulation,
  place: Place,
  gateway: SimulatedGateway,
  act: () => Answer,
  onAnswer: (answer: Answer | null) => void,
): void {
  const { scheduler, store, random } = simulation;
  const delayMs = store.delayMs * (0.5 + random());
  schedule(scheduler, delayMs / 2, () => {
    const answer = store.isDown || place.isCut ? null : act();
    later(simulation, gateway, delayMs / 2, () => {
      onAnswer(answer);
    });
  });
}

/** Reads the changes of the store for as long as the process lives. */
function follow(simulation: Simulation, place: Place, gateway: SimulatedGateway): void {
  const { store } = simulation;
  const read = (): { readonly revision: number; readonly apply: () => void } => {
    const after = gateway.readRevision;
    const isRestored = after >= 0 && eraOf(store.revision) > eraOf(after);
    const isListing = isRestored || after < store.droppedRevision;
    const listed = [...store.crashes.values()];
    const changes = store.changes.filter(({ revision }) => revision > after);
    const apply = (): void => {
      if (isRestored) keepLostCrashes(simulation, gateway, listed);
      else if (isListing) simulation.options.retainListedCrashes(gateway.memory, listed);
      if (isListing)
        for (const note of listed) {
          if (isRestored && rejectWithdrawnCrash(gateway.memory, note))
            forget(simulation, place, gateway, [note]);
          else noteCrash(simulation, place, gateway, note, CrashSource.Store);
        }
      else
        for (const { isRemoved, ...note } of changes) {
          if (isRemoved) removeCrash(gateway.memory, note, CrashRemoval.Store);
          else noteCrash(simulation, place, gateway, note, CrashSource.Store);
        }
    };
    return { revision: store.revision, apply };
  };
  callStore(simulation, place, gateway, read, (answer) => {
    if (answer === null) place.inTouchSinceMs = Infinity;
    else {
      place.inTouchSinceMs = Math.min(place.inTouchSinceMs, simulation.scheduler.nowMs);
      answer.apply();
      gateway.readRevision = answer.revision;
    }
    later(simulation, gateway, READ_PAUSE_MS, () => {
      follow(simulation, place, gateway);
    });
  });
}

function keepLostCrashes(
  { options, scheduler, random }: Simulation,
  { memory }: SimulatedGateway,
  listed: readonly CrashNote[],
): void {
  const writeAtMs = scheduler.nowMs + random() * REWRITE_SPREAD_MS;
  options.rewriteLostCrashes(memory, listed, writeAtMs);
}

/** Marks the crashes as lost that neither the store nor any living gateway has. */
export function noteLossOfStore({ store, places, culpritCrashes }: Simulation): void {
  for (const crash of culpritCrashes) {
    const isKnown = places.some(
      ({ gateway }) => gateway.memory.crashesByContent.get(CULPRIT)?.has(crash.target) === true,
    );
    crash.isLost ||= !isKnown && !store.crashes.has(`${CULPRIT}/${crash.target}`);
  }
}

/** Records a crash, and deletes it for all if the content has just run whole. */
export function noteCrash(
  simulation: Simulation,
  place: Place,
  gateway: SimulatedGateway,
  { content, target }: CrashNote,
  source: CrashSource,
  ageMs = 0,
): void {
  const note = { content, target };
  const { nowMs } = simulation.scheduler;
  simulation.options.addCrash(gateway.memory, note, source, nowMs, ageMs);
  const counts = countsCrash(gateway.memory, note);
  if (!counts && source === CrashSource.Store) forget(simulation, place, gateway, [note]);
  if (source === CrashSource.Observed) {
    later(simulation, gateway, simulation.options.writeDelayMs + BATCH_MS, () => {
      write(simulation, place, gateway);
    });
  }
}

export function forget(
  simulation: Simulation,
  place: Place,
  gateway: SimulatedGateway,
  notes: readonly CrashNote[],
): void {
  gateway.deletions = [...gateway.deletions, ...notes];
  write(simulation, place, gateway);
}

/** Writes or deletes what the store does not know yet; repeats it until that is done. */
function write(simulation: Simulation, place: Place, gateway: SimulatedGateway): void {
  const { options, store } = simulation;
  const notes = dueCrashes(simulation, gateway);
  if (notes.length > 0 && options.tellsPeers) {
    later(simulation, gateway, TELL_AFTER_MS, () => {
      tellPeers(simulation, place, gateway, dueCrashes(simulation, gateway));
    });
  }
  if (gateway.isWriting) return;
  const { deletions } = gateway;
  if (notes.length === 0 && deletions.length === 0) return;
  gateway.isWriting = true;
  const act = (): number => {
    for (const note of notes) put(simulation, note);
    for (const { content, target } of deletions) {
      if (store.crashes.delete(keyOf({ content, target }))) {
        store.revision += 1;
        store.changes.push({ content, target, revision: store.revision, isRemoved: true });
      }
    }
    return store.revision;
  };
  callStore(simulation, place, gateway, act, (revision) => {
    gateway.isWriting = false;
    if (revision !== null) {
      gateway.deletions = gateway.deletions.filter((each) => !deletions.includes(each));
      const outdated = markCrashesStored(gateway.memory, notes, revision, gateway.readRevision);
      if (outdated.length > 0) forget(simulation, place, gateway, outdated);
      return;
    }
    if (options.tellsPeers) tellPeers(simulation, place, gateway, notes);
    if (!options.repeatsWrites) for (const note of notes) gateway.givenUp.add(keyOf(note));
    else {
      later(simulation, gateway, RETRY_MS, () => {
        write(simulation, place, gateway);
      });
    }
  });
}

/** Returns the crashes that the store does not have and that the gateway still tries to write. */
function dueCrashes(
  { scheduler, options }: Simulation,
  { memory, givenUp }: SimulatedGateway,
): readonly CrashNote[] {
  return unstoredCrashes(memory, scheduler.nowMs).filter((note) => {
    const isOld = crashAgeMs(memory, note, scheduler.nowMs) >= options.writeDelayMs;
    return isOld && !givenUp.has(keyOf(note));
  });
}

function keyOf({ content, target }: CrashNote): string {
  return `${content}/${target}`;
}

function put(simulation: Simulation, { content, target }: CrashNote): void {
  const { store, scheduler, options } = simulation;
  const key = keyOf({ content, target });
  store.revision += 1;
  store.crashes.set(key, { content, target });
  store.changes.push({ content, target, revision: store.revision, isRemoved: false });
  if (options.storedForMs === Infinity) return;
  schedule(scheduler, options.storedForMs, () => {
    if (!store.crashes.delete(key)) return;
    store.revision += 1;
    store.changes.push({ content, target, revision: store.revision, isRemoved: true });
  });
}

/** Removes crashes that do not count, as another gateway knows. */
function excuse(
  simulation: Simulation,
  place: Place,
  gateway: SimulatedGateway,
  notes: readonly CrashNote[],
): void {
  if (notes.length === 0) return;
  for (const note of notes) removeCrash(gateway.memory, note, CrashRemoval.Excused);
  forget(simulation, place, gateway, notes);
}

function tellPeers(
  simulation: Simulation,
  place: Place,
  gateway: SimulatedGateway,
  notes: readonly CrashNote[],
): void {
  const { places, random, scheduler } = simulation;
  const told = notes.filter(({ content, target }) => {
    const key = keyOf({ content, target });
    const planned = gateway.tellAgain.get(key) ?? { pauseMs: 300, atMs: scheduler.nowMs };
    if (scheduler.nowMs < planned.atMs) return false;
    const pauseMs = Math.min(MAX_TELL_PAUSE_MS, planned.pauseMs * 2);
    gateway.tellAgain.set(key, { pauseMs, atMs: scheduler.nowMs + planned.pauseMs });
    return true;
  });
  const others = places.filter(({ index }) => index !== gateway.index);
  for (let count = 0; count < PEERS_TOLD && others.length > 0; count += 1) {
    const [peer] = others.splice(Math.floor(random() * others.length), 1);
    if (peer === undefined) continue;
    const receiver = peer.gateway;
    const ages = told.map((note) => crashAgeMs(gateway.memory, note, scheduler.nowMs));
    later(simulation, receiver, PEER_MS, () => {
      for (const [at, note] of told.entries()) {
        noteCrash(simulation, peer, receiver, note, CrashSource.Peer, ages[at]);
      }
      const excused = told.filter((note) => !countsCrash(receiver.memory, note));
      later(simulation, gateway, PEER_MS, () => {
        excuse(simulation, place, gateway, excused);
      });
    });
  }
}

/** Decides suspicions for as long as the process lives. */
function tick(simulation: Simulation, place: Place, gateway: SimulatedGateway): void {
  const { scheduler, targets } = simulation;
  const lastBytesAtMs = (id: string): number =>
    targets.find((target) => target.id === id)?.lastBytesAtMs ?? -Infinity;
  const { confirmed } = decideSuspicions(gateway.evidence, lastBytesAtMs, scheduler.nowMs);
  for (const note of confirmed) noteCrash(simulation, place, gateway, note, CrashSource.Observed);
  write(simulation, place, gateway);
  later(simulation, gateway, TICK_MS, () => {
    tick(simulation, place, gateway);
  });
}

/** Removes the crashes of targets that live on, for as long as the process lives. */
function cleanUp(simulation: Simulation, place: Place, gateway: SimulatedGateway): void {
  const { scheduler, options, targets } = simulation;
  const lives = (id: string): number | null => {
    const target = targets.find((each) => each.id === id);
    const isKnown = target?.isListed === true && place.inTouchSinceMs !== Infinity;
    return isKnown ? Math.max(target.listedSinceMs, place.inTouchSinceMs) : null;
  };
  const refuted = options.refuteCrashes(gateway.memory, lives, scheduler.nowMs);
  if (refuted.length > 0) forget(simulation, place, gateway, refuted);
  later(simulation, gateway, CLEAN_UP_MS, () => {
    cleanUp(simulation, place, gateway);
  });
}
