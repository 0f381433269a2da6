/** What the gateways of the retries world do: announce themselves, read the fleet, send and retry. */
import {
  type ClockReading,
  createRetryWindow,
  createShareKnowledge,
  currentAnnouncement,
  forgetWindowRequests,
  recordAnnouncement,
  recordFirstStart,
  recordFleetRead,
  recordGateways,
  recordRenewal,
  recordWindowRequest,
} from '@cassiamast/coordination';
import { schedule } from '../../kit/scheduler.js';
import {
  BUDGET,
  LEASE_TTL_MS,
  type Place,
  type SimulatedProcess,
  type Simulation,
} from './simulation.js';

const RENEWAL_MS = 1000;
const READ_PAUSE_MS = 600;
const BACK_OFF_MS = 300;
const SETTLE_MS = 3000;
/** Longest time from a caller's send until the request is counted. */
const REQUEST_DELAY_MS = 250;
/** Longest time until a retry arrives at its target, and until the target answers. */
const MAX_ARRIVAL_MS = 1000;
const MAX_ANSWER_MS = 4000;
/** Retries that a request asks for while targets fail. */
const MAX_RETRIES = 3;

/** Creates a place with a process. */
export function createPlace(simulation: Simulation, index: number, requestsPerS: number): Place {
  const process = createProcess(`place-${String(index)}`);
  const place: Place = { index, process, isCut: false, requestsPerS };
  startProcess(simulation, place);
  return place;
}

function createProcess(id: string): SimulatedProcess {
  return {
    id,
    knowledge: createShareKnowledge({ windowMs: BUDGET.windowMs, leaseTtlMs: LEASE_TTL_MS }),
    window: createRetryWindow(BUDGET),
    leaseId: null,
    readRevision: 0,
    isAlive: true,
    pausedUntilMs: 0,
    suspendedMs: 0,
  };
}

function startProcess(simulation: Simulation, place: Place): void {
  const { process } = place;
  announceOrRenew(simulation, place, process);
  readFleet(simulation, place, process);
  awaitFirstStart(simulation, place, process);
}

/** Kills the process at a place and starts a new one, under the id of the place or a new one. */
export function killProcess(simulation: Simulation, place: Place, hasNewId = false): void {
  simulation.replaced += 1;
  place.process.isAlive = false;
  const id = hasNewId ? `new-${String(simulation.replaced)}` : `place-${String(place.index)}`;
  place.process = createProcess(id);
  startProcess(simulation, place);
}

function clocks({ scheduler }: Simulation, { suspendedMs }: SimulatedProcess): ClockReading {
  return { monotonicMs: scheduler.nowMs - suspendedMs, elapsedMs: scheduler.nowMs };
}

/** Runs something at a process later, unless it was killed; while it is paused, everything waits. */
function later(
  simulation: Simulation,
  process: SimulatedProcess,
  afterMs: number,
  run: () => void,
): void {
  const { scheduler } = simulation;
  schedule(scheduler, afterMs, () => {
    if (!process.isAlive) return;
    if (process.pausedUntilMs <= scheduler.nowMs) run();
    else later(simulation, process, process.pausedUntilMs - scheduler.nowMs, run);
  });
}

/** Calls the store. Half of the delay passes before it acts, the other half before the answer. */
function callStore<Answer>(
  simulation: Simulation,
  place: Place,
  process: SimulatedProcess,
  act: () => Answer | null,
  onAnswer: (answer: Answer | null) => void,
): void {
  const { scheduler, store, random } = simulation;
  const delayMs = store.delayMs * (0.5 + random());
  schedule(scheduler, delayMs / 2, () => {
    const answer = store.isRejecting || place.isCut ? null : act();
    later(simulation, process, delayMs / 2, () => {
      onAnswer(place.isCut ? null : answer);
    });
  });
}

function announceOrRenew(simulation: Simulation, place: Place, process: SimulatedProcess): void {
  const again = (afterMs: number): void => {
    later(simulation, process, afterMs, () => {
      announceOrRenew(simulation, place, process);
    });
  };
  if (process.leaseId === null) announce(simulation, place, process, again);
  else renew(simulation, place, process, process.leaseId, again);
}

function announce(
  simulation: Simulation,
  place: Place,
  process: SimulatedProcess,
  again: (afterMs: number) => void,
): void {
  const { scheduler, store } = simulation;
  const sentAtMs = scheduler.nowMs;
  const grant = (): number => {
    simulation.leases += 1;
    store.leasesUntilMs.set(simulation.leases, scheduler.nowMs + LEASE_TTL_MS);
    return simulation.leases;
  };
  const put = (leaseId: number): number | null => {
    if (!isLeaseValid(simulation, leaseId)) return null;
    store.revision += 1;
    store.announced.set(process.id, { revision: store.revision, leaseId });
    store.history.push({ revision: store.revision, id: process.id });
    return leaseId;
  };
  callStore(simulation, place, process, grant, (leaseId) => {
    if (leaseId === null) {
      again(BACK_OFF_MS);
      return;
    }
    callStore(
      simulation,
      place,
      process,
      () => put(leaseId),
      (announcedWith) => {
        process.leaseId = announcedWith;
        if (announcedWith !== null) {
          recordAnnouncement(process.knowledge, sentAtMs, clocks(simulation, process));
        }
        again(announcedWith === null ? BACK_OFF_MS : RENEWAL_MS);
      },
    );
  });
}

function renew(
  simulation: Simulation,
  place: Place,
  process: SimulatedProcess,
  leaseId: number,
  again: (afterMs: number) => void,
): void {
  const { scheduler, store } = simulation;
  const sentAtMs = scheduler.nowMs;
  const keep = (): boolean => {
    if (!isLeaseValid(simulation, leaseId)) return false;
    store.leasesUntilMs.set(leaseId, scheduler.nowMs + LEASE_TTL_MS);
    return true;
  };
  callStore(simulation, place, process, keep, (isKept) => {
    if (isKept === true) recordRenewal(process.knowledge, sentAtMs);
    if (isKept === false) process.leaseId = null;
    again(RENEWAL_MS);
  });
}

function isLeaseValid({ store, scheduler }: Simulation, leaseId: number): boolean {
  return (store.leasesUntilMs.get(leaseId) ?? 0) > scheduler.nowMs;
}

function readFleet(simulation: Simulation, place: Place, process: SimulatedProcess): void {
  const { store, scheduler } = simulation;
  const sentAtMs = scheduler.nowMs;
  const read = (): { ids: readonly string[]; revision: number } => {
    const present = [...store.announced].filter(([, { leaseId }]) =>
      isLeaseValid(simulation, leaseId),
    );
    const since = process.readRevision === 0 ? Infinity : process.readRevision;
    const changed = store.history.filter(({ revision }) => revision > since).map(({ id }) => id);
    return { ids: [...present.map(([id]) => id), ...changed], revision: store.revision };
  };
  callStore(simulation, place, process, read, (answer) => {
    const now = clocks(simulation, process);
    if (answer !== null) {
      recordGateways(process.knowledge, [...answer.ids, process.id], now);
      recordFleetRead(process.knowledge, sentAtMs, now);
      process.readRevision = answer.revision;
    }
    later(simulation, process, READ_PAUSE_MS, () => {
      readFleet(simulation, place, process);
    });
  });
}

function awaitFirstStart(simulation: Simulation, place: Place, process: SimulatedProcess): void {
  const { store, options } = simulation;
  const announcement = currentAnnouncement(process.knowledge);
  if (announcement === null) {
    later(simulation, process, BACK_OFF_MS, () => {
      awaitFirstStart(simulation, place, process);
    });
    return;
  }
  const isFirst = (): boolean => store.firstStartRevision === null || options.joinsAfterKey;
  const writeKey = (): number => {
    if (store.firstStartRevision !== null) return store.firstStartRevision;
    store.revision += 1;
    store.firstStartRevision = store.revision;
    return store.revision;
  };
  callStore(simulation, place, process, isFirst, (mayJoin) => {
    if (mayJoin !== true) return;
    later(simulation, process, SETTLE_MS, () => {
      callStore(simulation, place, process, writeKey, (revision) => {
        if (revision !== null) joinFirstStart(simulation, process, announcement, revision);
      });
    });
  });
}

function joinFirstStart(
  simulation: Simulation,
  process: SimulatedProcess,
  announcement: number,
  revision: number,
): void {
  if (process.readRevision >= revision) {
    recordFirstStart(process.knowledge, announcement, clocks(simulation, process));
    return;
  }
  later(simulation, process, BACK_OFF_MS, () => {
    joinFirstStart(simulation, process, announcement, revision);
  });
}

/** A caller sends a request; it arrives at a target, and is sent once more if that fails. */
export function request(simulation: Simulation, place: Place): void {
  const { scheduler, random, requestsAtMs } = simulation;
  const { process } = place;
  requestsAtMs.push(scheduler.nowMs);
  const sentAtMs = scheduler.nowMs;
  later(simulation, process, random() * REQUEST_DELAY_MS, () => {
    // What waited while the process was paused pays for nothing.
    if (scheduler.nowMs - sentAtMs > REQUEST_DELAY_MS) return;
    recordWindowRequest(process.window, clocks(simulation, process).monotonicMs);
    for (let retry = 0; simulation.isFailing && retry < MAX_RETRIES; retry += 1) {
      decideRetry(simulation, process);
    }
  });
}

function slackShare(simulation: Simulation, process: SimulatedProcess): number {
  const now = clocks(simulation, process);
  recordGateways(process.knowledge, [process.id], now);
  return BUDGET.slack * simulation.options.share(process.knowledge, now).fraction;
}

function decideRetry(simulation: Simulation, process: SimulatedProcess): void {
  const { monotonicMs } = clocks(simulation, process);
  const share = slackShare(simulation, process);
  if (!simulation.options.reserve(process.window, 1, share, monotonicMs)) return;
  const send = (): void => {
    if (process.isAlive) sendRetry(simulation, process);
  };
  if (simulation.isHolding) simulation.held.push(send);
  else send();
}

function sendRetry(simulation: Simulation, process: SimulatedProcess): void {
  const { scheduler, options, random } = simulation;
  const { window } = process;
  const { monotonicMs } = clocks(simulation, process);
  if (!options.open(window, slackShare(simulation, process), monotonicMs)) return;
  const answersInMs = random() * MAX_ANSWER_MS;
  schedule(scheduler, random() * Math.min(answersInMs, MAX_ARRIVAL_MS), () => {
    simulation.furtherAtMs.push(scheduler.nowMs);
  });
  later(simulation, process, answersInMs, () => {
    options.close(window, clocks(simulation, process).monotonicMs);
  });
}

/** Stops a process for a while; with its VM, the monotonic clock stands still too. */
export function pause(
  { scheduler }: Simulation,
  process: SimulatedProcess,
  forMs: number,
  withVm: boolean,
): void {
  if (process.pausedUntilMs > scheduler.nowMs) return;
  process.pausedUntilMs = scheduler.nowMs + forMs;
  if (!withVm) return;
  schedule(scheduler, forMs, () => {
    process.suspendedMs += forMs;
    forgetWindowRequests(process.window);
  });
}
