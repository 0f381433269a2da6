/**
 * Bounds the requests served in one slot by duality. For prices `r` of reader time and `w` of writer
 * time, served requests are at most r·readCapacity + w·writeCapacity + the sum over requests of
 * max(0, 1 - w·write - min(r·read, w·lent)). Each pair of prices gives a bound; the least counts.
 */
import type { RequestWork } from './bound-work.js';
import { FIRST_TOKEN_GOAL_MS } from './statistics.js';
import { FaultKind } from './trace.js';
import type { ServiceTrace } from './trace.js';

/** One slot as the search sees it. */
export interface SlotBound {
  readonly ordersPossible: boolean;
  /** Requests that arrive. */
  readonly offered: number;
  /** Engine time in the slot, less what is away by faults. */
  readonly engineMs: number;
  /** Time of one reader that can serve the slot's arrivals: the slot and the goal after it. */
  readonly readSpanMs: number;
  /** Writing work of the slot's arrivals. */
  readonly offeredWriteMs: number;
  /** Most writing work that good answers can have outstanding at the slot's end. */
  readonly maxBacklogMs: number;
  readonly servedAtMost: (readMs: number, writeMs: number) => number;
}

/** Price of a request of mean cost: finely about 1, where the bound is tight, coarsely beyond. */
const MEAN_PRICES = [
  0, 0.2, 0.4, 0.55, 0.65, 0.72, 0.78, 0.84, 0.9, 0.95, 1, 1.05, 1.1, 1.2, 1.35, 1.6, 2, 2.8, 4,
];

/** Prices of reader time, over that of writer time; beyond the lent price lending is cheaper. */
const READ_RATIOS = [0, 0.3, 0.6, 0.9, 1.1, 1.35, 1.6, 1.85, 2.05, 2.2, 2.3, 2.5, 3.5, 6];

/** Adds up what requests of that profit each, some negative, can add to the served ones. */
export type AddProfits = (profits: readonly number[]) => number;

/** The best choice of requests: those with a profit. Under overload it starves the long ones. */
export function chooseBest(profits: readonly number[]): number {
  let sum = 0;
  for (const profit of profits) if (profit > 0) sum += profit;
  return sum;
}

/** The same part of all requests, long and short. */
export function chooseAlike(profits: readonly number[]): number {
  let sum = 0;
  for (const profit of profits) sum += profit;
  return Math.max(0, sum);
}

/** Makes the slots of a trace. */
export function slotBounds(
  trace: ServiceTrace,
  works: readonly RequestWork[],
  slotMs: number,
  addProfits: AddProfits,
): readonly SlotBound[] {
  const count = Math.ceil(trace.durationMs / slotMs);
  const bySlot: RequestWork[][] = Array.from({ length: count }, () => []);
  for (const work of works) bySlot[Math.floor(work.atMs / slotMs)]?.push(work);
  const spans = works.map((work) => ({
    fromMs: work.atMs,
    toMs: work.atMs + work.spanMs,
    writeMs: work.writeMs,
  }));
  return bySlot.map((slot, index) => ({
    ordersPossible: !trace.outages.some(
      (outage) => outage.fromMs <= index * slotMs && outage.toMs >= (index + 1) * slotMs,
    ),
    offered: slot.length,
    engineMs: engineTime(trace, index * slotMs, (index + 1) * slotMs),
    readSpanMs: slotMs + FIRST_TOKEN_GOAL_MS,
    offeredWriteMs: slot.reduce((sum, work) => sum + work.writeMs, 0),
    maxBacklogMs: outstanding(spans, (index + 1) * slotMs),
    servedAtMost: pricedBound(slot, addProfits),
  }));
}

function outstanding(
  spans: readonly { readonly fromMs: number; readonly toMs: number; readonly writeMs: number }[],
  atMs: number,
): number {
  let sum = 0;
  for (const span of spans) if (span.fromMs < atMs && span.toMs > atMs) sum += span.writeMs;
  return sum;
}

/** Engine time between two times, without engines that are crashed or withdrawn throughout. */
function engineTime(trace: ServiceTrace, fromMs: number, toMs: number): number {
  let sum = trace.engines * (toMs - fromMs);
  const goneSince = new Map<number, number>();
  const take = (since: number, until: number): void => {
    sum -= Math.max(0, Math.min(until, toMs) - Math.max(since, fromMs));
  };
  for (const fault of trace.faults) {
    if (fault.kind === FaultKind.Restart) {
      take(goneSince.get(fault.engine) ?? fault.atMs, fault.atMs);
      goneSince.delete(fault.engine);
    } else if (fault.kind === FaultKind.Crash) goneSince.set(fault.engine, fault.atMs);
  }
  for (const since of goneSince.values()) take(since, Number.POSITIVE_INFINITY);
  return sum;
}

interface PricedSum {
  readonly read: number;
  readonly write: number;
  readonly profit: number;
}

function pricedBound(
  slot: readonly RequestWork[],
  addProfits: AddProfits,
): SlotBound['servedAtMost'] {
  const sums: PricedSum[] = [];
  for (const ratio of READ_RATIOS) {
    const meanMs = meanCost(slot, ratio);
    for (const price of MEAN_PRICES) {
      const write = price / meanMs;
      const read = write * ratio;
      sums.push({ read, write, profit: addProfits(profitsOf(slot, read, write)) });
    }
  }
  sums.push(...readOnlySums(slot, addProfits));
  return (readMs, writeMs) => {
    let least = slot.length;
    for (const sum of sums) {
      const value = sum.read * readMs + sum.write * writeMs + sum.profit;
      if (value < least) least = value;
    }
    return Math.max(0, least);
  };
}

function meanCost(slot: readonly RequestWork[], ratio: number): number {
  let sum = 0;
  for (const work of slot) sum += work.writeMs + Math.min(ratio * work.readMs, work.lentMs);
  return Math.max(1, sum / Math.max(1, slot.length));
}

/** Prices that count reader time alone bind where nothing can be lent. */
function readOnlySums(slot: readonly RequestWork[], addProfits: AddProfits): readonly PricedSum[] {
  const meanMs = slot.reduce((sum, work) => sum + work.readMs, 0) / Math.max(1, slot.length);
  return [0.5, 1, 2].map((price) => {
    const read = price / Math.max(1, meanMs);
    return { read, write: 0, profit: addProfits(profitsOf(slot, read, 0)) };
  });
}

function profitsOf(slot: readonly RequestWork[], read: number, write: number): readonly number[] {
  return slot.map((work) => {
    const lent = Number.isFinite(work.lentMs) ? write * work.lentMs : Number.POSITIVE_INFINITY;
    return 1 - write * work.writeMs - Math.min(read * work.readMs, lent);
  });
}
