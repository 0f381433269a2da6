/**
 * The targets of the silence world. A silent target handles nothing and sends nothing; what reaches
 * it waits. It fails in every way that the platform's targets do.
 */
import {
  ProcessStatus,
  createProcess,
  killProcess,
  pauseProcess,
  resumeProcess,
  runIn,
} from '../../kit/processes.js';
import { schedule } from '../../kit/scheduler.js';
import { atGateway } from './routines.js';
import {
  Manner,
  type Message,
  MessageKind,
  type Send,
  SendEnd,
  type SimulatedTarget,
  type Simulation,
  Work,
  drawMs,
} from './simulation.js';

const LATENCY_MS = 4;
/** A connection to a machine that is gone is given up after that. */
const CONNECT_TIMEOUT_MS = 1000;
const PULSE_MS = 100;
const DOWN_MS = 4000;
const UNLISTED_AFTER_MS = 1500;
const INCARNATION = 1;
const FAILURE_MS = 40;

/** Range of a target's steps in milliseconds. */
interface Pace {
  readonly minMs: number;
  readonly maxMs: number;
}

const READ_PACE: Pace = { minMs: 10, maxMs: 150 };
const SLOW_READ_PACE: Pace = { minMs: 400, maxMs: 3000 };
const EVENT_PACE: Pace = { minMs: 10, maxMs: 30 };
const SLOW_EVENT_PACE: Pace = { minMs: 100, maxMs: 1500 };

/** Adds a target. */
export function startTarget(simulation: Simulation): void {
  simulation.startedTargets += 1;
  const id = `target-${String(simulation.startedTargets)}`;
  const { nowMs } = simulation.scheduler;
  const target: SimulatedTarget = {
    id,
    slot: createProcess(id),
    manner: Manner.Answers,
    isBusy: true,
    hasClosedConnections: false,
    isListed: true,
    resumedAtMs: nowMs,
    heardAtMs: nowMs,
    connections: new Set(),
  };
  simulation.targets.push(target);
  beat(simulation, target);
}

/** Sends bytes for other requests every now and then. */
function beat(simulation: Simulation, target: SimulatedTarget): void {
  const { scheduler } = simulation;
  if (target.slot.status === ProcessStatus.Dead) return;
  schedule(scheduler, PULSE_MS, () => {
    runIn(target.slot, INCARNATION, () => {
      if (target.isBusy) target.heardAtMs = scheduler.nowMs;
      beat(simulation, target);
    });
  });
}

/** Opens the connection of a send; calls `onSent` right before the request is written. */
export function connect(simulation: Simulation, send: Send, onSent: () => void): void {
  const { target } = send;
  const isGone = isDead(target) && !target.hasClosedConnections;
  const tookMs = isGone ? CONNECT_TIMEOUT_MS : drawMs(simulation, 1, LATENCY_MS);
  schedule(simulation.scheduler, tookMs, () => {
    atGateway(simulation, () => {
      if (send.end !== null) return;
      if (isDead(target)) {
        send.end = SendEnd.NotSent;
        return;
      }
      send.sentAtMs = simulation.scheduler.nowMs;
      onSent();
      target.connections.add(send);
      toTarget(simulation, send, () => {
        beginWork(simulation, send);
      });
    });
  });
}

/** Closes the gateway's end; the target hears of it when it handles things. */
export function closeSend(simulation: Simulation, send: Send, end: SendEnd): void {
  if (send.end !== null) return;
  send.end = end;
  if (send.sentAtMs === null) return;
  toTarget(simulation, send, () => {
    endWork(send);
  });
}

function toTarget(simulation: Simulation, { target }: Send, action: () => void): void {
  // One latency for both messages of a send keeps their order.
  schedule(simulation.scheduler, LATENCY_MS, () => {
    runIn(target.slot, INCARNATION, action);
  });
}

function beginWork(simulation: Simulation, send: Send): void {
  if (!send.target.connections.has(send)) return;
  send.isWorking = true;
  const { manner } = send.target;
  switch (manner) {
    case Manner.Refuses:
      say(simulation, send, MessageKind.Refused);
      endWork(send);
      return;
    case Manner.Fails:
      later(simulation, send, drawMs(simulation, 1, FAILURE_MS), () => {
        fail(simulation, send);
      });
      return;
    case Manner.Answers:
    case Manner.Slow:
      if (send.work === Work.Read) read(simulation, send);
      else run(simulation, send);
  }
}

function fail(simulation: Simulation, send: Send): void {
  say(simulation, send, MessageKind.FailureHead);
  say(simulation, send, MessageKind.FailureBody);
  say(simulation, send, MessageKind.End);
  endWork(send);
}

function read(simulation: Simulation, send: Send): void {
  const isHeadFirst = simulation.random() < 0.5;
  if (isHeadFirst) say(simulation, send, MessageKind.Head);
  const { minMs, maxMs } = send.target.manner === Manner.Slow ? SLOW_READ_PACE : READ_PACE;
  later(simulation, send, drawMs(simulation, minMs, maxMs), () => {
    if (!isHeadFirst) say(simulation, send, MessageKind.Head);
    say(simulation, send, MessageKind.End);
    endWork(send);
  });
}

function run(simulation: Simulation, send: Send): void {
  later(simulation, send, eventMs(simulation, send), () => {
    say(simulation, send, MessageKind.Head);
    produce(simulation, send, send.from + 1);
  });
}

function produce(simulation: Simulation, send: Send, event: number): void {
  if (event > send.request.events) {
    say(simulation, send, MessageKind.End);
    endWork(send);
    return;
  }
  say(simulation, send, MessageKind.Event, event);
  later(simulation, send, eventMs(simulation, send), () => {
    produce(simulation, send, event + 1);
  });
}

function eventMs(simulation: Simulation, { target }: Send): number {
  const { minMs, maxMs } = target.manner === Manner.Slow ? SLOW_EVENT_PACE : EVENT_PACE;
  return drawMs(simulation, minMs, maxMs);
}

function later(simulation: Simulation, send: Send, afterMs: number, step: () => void): void {
  schedule(simulation.scheduler, afterMs, () => {
    runIn(send.target.slot, INCARNATION, () => {
      if (send.isWorking) step();
    });
  });
}

function endWork(send: Send): void {
  send.isWorking = false;
  send.target.connections.delete(send);
}

function say(simulation: Simulation, send: Send, kind: MessageKind, event = 0): void {
  const { scheduler } = simulation;
  const { target } = send;
  const arrivalMs = scheduler.nowMs + drawMs(simulation, 1, LATENCY_MS);
  send.lastArrivalMs = Math.max(send.lastArrivalMs, arrivalMs);
  const message: Message = { kind, event };
  schedule(scheduler, send.lastArrivalMs - scheduler.nowMs, () => {
    atGateway(simulation, () => {
      target.heardAtMs = scheduler.nowMs;
      if (send.end !== null) return;
      simulation.oracle.noteHeard(simulation, send, message);
      send.onMessage(message);
    });
  });
}

/** Whether a target has died for good. */
export function isDead({ slot }: SimulatedTarget): boolean {
  return slot.status === ProcessStatus.Dead;
}

/** A target falls silent for a while. */
export function fallSilent(simulation: Simulation, target: SimulatedTarget, forMs: number): void {
  if (target.slot.status !== ProcessStatus.Running) return;
  pauseProcess(target.slot);
  schedule(simulation.scheduler, forMs, () => {
    goOn(simulation, target);
  });
}

/** A silent target goes on. */
export function goOn({ scheduler }: Simulation, target: SimulatedTarget): void {
  if (target.slot.status !== ProcessStatus.Paused) return;
  target.resumedAtMs = scheduler.nowMs;
  resumeProcess(target.slot);
}

/** A target breaks off all it works on, as soon as it handles things. */
export function breakOff(simulation: Simulation, target: SimulatedTarget): void {
  runIn(target.slot, INCARNATION, () => {
    closeConnections(simulation, target);
  });
}

function closeConnections(simulation: Simulation, { connections }: SimulatedTarget): void {
  for (const send of [...connections]) {
    say(simulation, send, MessageKind.Broken);
    endWork(send);
  }
}

/** A target dies for good; another one takes its place after a while. */
export function die(
  simulation: Simulation,
  target: SimulatedTarget,
  closesConnections: boolean,
): void {
  if (isDead(target)) return;
  killProcess(target.slot);
  target.hasClosedConnections = closesConnections;
  if (closesConnections) closeConnections(simulation, target);
  for (const send of [...target.connections]) endWork(send);
  schedule(simulation.scheduler, UNLISTED_AFTER_MS, () => {
    target.isListed = false;
  });
  schedule(simulation.scheduler, DOWN_MS, () => {
    simulation.targets = simulation.targets.filter((each) => each !== target);
    startTarget(simulation);
  });
}
