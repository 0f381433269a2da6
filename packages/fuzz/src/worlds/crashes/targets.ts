/** What the targets of the crashes world do with requests, and how they crash and come back. */
import { AttemptEnd } from '@cassiamast/coordination';
import { schedule } from '../../kit/scheduler.js';
import { noteDown } from './sending.js';
import {
  type AttemptInFlight,
  CULPRIT,
  type Place,
  SELDOM,
  type SimulatedTarget,
  type Simulation,
} from './simulation.js';

const MIN_WORK_MS = 10;
const MAX_WORK_MS = 60;
const MIN_DOWN_MS = 1500;
const MAX_DOWN_MS = 4000;
/** The store removes the entry of a target after this time without a sign of life. */
const ENTRY_MS = 3600;

/** How an attempt at a target may end. */
export interface AttemptListener {
  /** Index of the place that sent it. */
  readonly place: number;
  readonly onAnswer: (isSuccess: boolean) => void;
  readonly onEnd: (end: AttemptEnd) => void;
  /** The target accepts no connection, so nothing was sent. */
  readonly onRefused: () => void;
}

/** Starts a target under a new id. */
export function startTarget(simulation: Simulation): void {
  simulation.startedTargets += 1;
  simulation.targets.push({
    id: `target-${String(simulation.startedTargets)}`,
    isUp: true,
    isListed: true,
    listedSinceMs: simulation.scheduler.nowMs,
    lastBytesAtMs: -Infinity,
    attempts: new Set(),
  });
}

/** A target runs a request, and whatever ends the attempt is reported once. */
export function run(
  simulation: Simulation,
  target: SimulatedTarget,
  content: string,
  patienceMs: number,
  listener: AttemptListener,
): void {
  const { scheduler, random } = simulation;
  if (!target.isUp) {
    listener.onRefused();
    return;
  }
  let isOver = false;
  const attempt: AttemptInFlight = {
    place: listener.place,
    end: (how) => {
      if (isOver) return;
      isOver = true;
      target.attempts.delete(attempt);
      listener.onEnd(how);
    },
  };
  target.attempts.add(attempt);
  schedule(scheduler, patienceMs, () => {
    attempt.end(AttemptEnd.Unanswered);
  });
  const isOwnFailure = content === SELDOM || random() < simulation.ownFailureShare;
  const workMs = MIN_WORK_MS + random() * (MAX_WORK_MS - MIN_WORK_MS);
  schedule(scheduler, workMs, () => {
    if (isOver || !target.isUp) return;
    if (content === CULPRIT && !isOwnFailure) {
      const gateways = simulation.places.map(({ gateway }) => gateway);
      const { place: witness } = listener;
      const crashed = {
        target: target.id,
        atMs: scheduler.nowMs,
        closedConnections: simulation.closesConnections,
        witness,
        gateways,
        isLost: false,
      };
      simulation.culpritCrashes.push(crashed);
      crash(simulation, target);
      return;
    }
    if (random() < simulation.lostAnswerShare) {
      attempt.end(AttemptEnd.Broken);
      return;
    }
    isOver = true;
    target.attempts.delete(attempt);
    target.lastBytesAtMs = scheduler.nowMs;
    listener.onAnswer(!isOwnFailure);
  });
}

/** Breaks off all attempts of a gateway, as a partition does whose end resets the connections. */
export function breakOffAttempts({ targets }: Simulation, { index }: Place): void {
  for (const { attempts } of targets) {
    for (const { place, end } of [...attempts]) if (place === index) end(AttemptEnd.Broken);
  }
}

/** A target crashes, loses its entry after a while, and is back under a new id. */
export function crash(simulation: Simulation, target: SimulatedTarget): void {
  const { scheduler, random, places } = simulation;
  if (!target.isUp) return;
  target.isUp = false;
  simulation.crashedTargets.add(target.id);
  if (simulation.closesConnections) {
    for (const { end } of [...target.attempts]) end(AttemptEnd.Broken);
  }
  schedule(scheduler, ENTRY_MS, () => {
    target.isListed = false;
    for (const place of places) noteDown(simulation, place, place.gateway, target);
  });
  schedule(scheduler, MIN_DOWN_MS + random() * (MAX_DOWN_MS - MIN_DOWN_MS), () => {
    startTarget(simulation);
  });
  schedule(scheduler, ENTRY_MS * 2, () => {
    simulation.targets = simulation.targets.filter((each) => each !== target);
  });
}
