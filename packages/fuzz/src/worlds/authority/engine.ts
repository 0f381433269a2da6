/**
 * The simulated engine: carries one order out at a time as told, checks fencing numbers or not, and
 * forgets everything in a crash. It never refuses a second order by itself, so that the oracle sees
 * every conflict that the sidecar lets through.
 */
import type { EngineView, Order } from '@cassiamast/coordination';
import { countFault } from '../../kit/faults.js';
import { schedule } from '../../kit/scheduler.js';
import { noteOrderReceived } from './oracle.js';
import type { Simulation } from './simulation.js';

/** One engine. */
export interface SimulatedEngine {
  readonly target: string;
  readonly checksFencing: boolean;
  epoch: number;
  orderInProgress: string | null;
  lastOrderDone: string | null;
  highestFence: number;
}

const WRITE_MS = 1;
/** Longest time until an engine takes up what was written to it; within the gate's quiet time. */
const MAX_UPTAKE_MS = 4_500;
const MIN_WORK_MS = 200;
const WORK_SPREAD_MS = 8_000;

/** An engine that has just started. */
export function createEngine(target: string, checksFencing: boolean): SimulatedEngine {
  return {
    target,
    checksFencing,
    epoch: 1,
    orderInProgress: null,
    lastOrderDone: null,
    highestFence: 0,
  };
}

/** What the engine says of itself. */
export function viewOf(engine: SimulatedEngine): EngineView {
  const { epoch, orderInProgress, lastOrderDone, highestFence } = engine;
  return { epoch: String(epoch), orderInProgress, lastOrderDone, highestFence };
}

/** Crashes the engine: what it did and knew is gone. */
export function crashEngine(simulation: Simulation, engine: SimulatedEngine): void {
  const kind = engine.orderInProgress === null ? 'engine-crashed' : 'engine-crashed-in-order';
  countFault(simulation.network.counts, kind);
  engine.epoch += 1;
  engine.orderInProgress = null;
  engine.lastOrderDone = null;
  engine.highestFence = 0;
}

/** Writes an order to the engine; from then on it arrives, whatever becomes of the writer. */
export function writeOrder(
  simulation: Simulation,
  engine: SimulatedEngine,
  order: Order,
  onAnswer: (refusal: string | null) => void,
): void {
  const { scheduler, random, network } = simulation;
  const isLate = random() < simulation.lateOrderRatio;
  if (isLate) countFault(network.counts, 'order-received-late');
  schedule(scheduler, isLate ? random() * MAX_UPTAKE_MS : WRITE_MS, () => {
    takeOrder(simulation, engine, order, onAnswer);
  });
}

function takeOrder(
  simulation: Simulation,
  engine: SimulatedEngine,
  order: Order,
  onAnswer: (refusal: string | null) => void,
): void {
  if (engine.checksFencing && order.fence < engine.highestFence) {
    onAnswer('its fencing number is too old');
    return;
  }
  noteOrderReceived(simulation, engine, order);
  engine.highestFence = Math.max(engine.highestFence, order.fence);
  engine.orderInProgress = order.orderId;
  const { epoch } = engine;
  const workMs = MIN_WORK_MS + simulation.random() * WORK_SPREAD_MS;
  schedule(simulation.scheduler, workMs, () => {
    if (engine.epoch !== epoch || engine.orderInProgress !== order.orderId) return;
    engine.orderInProgress = null;
    engine.lastOrderDone = order.orderId;
    onAnswer(null);
  });
}
