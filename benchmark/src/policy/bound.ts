/**
 * An upper bound on the goodput of any policy: a fluid optimum that knows the trace and pays for
 * its role changes, by dynamic programming over (slot, number of readers, answers still to write).
 * Everything that is left out only helps it; docs/design/policy.md argues each step. Within a slot
 * the best choice of requests is bounded from above by linear-programming duality: for any prices
 * of reader time and writer time, the served requests are at most the value of the capacity plus
 * the profit of each request, so that no solver is needed and every price gives a valid bound.
 */
import { DEFAULT_ENGINE_PROFILE } from '@cassiamast/coordination';
import { requestWorks } from './bound-work.js';
import { chooseBest, slotBounds } from './bound-prices.js';
import type { AddProfits, SlotBound } from './bound-prices.js';
import type { ServiceTrace } from './trace.js';

/** The bound and the changes of role that reach it. */
export interface Bound {
  readonly goodputPerS: number;
  readonly roleChanges: number;
  /** Readers per slot on the best path. */
  readonly readers: readonly number[];
  readonly slotMs: number;
}

/** Slot lengths to try: long ones blur quick swings, short ones the time to the first token. */
const SLOT_LENGTHS_MS = [4000, 10_000];

/** Parts of a slot in which a change may begin; each is counted at its better end. */
const START_PARTS = 8;

/** Steps of the backlog per engine and slot: rounding is in favour of the bound. */
const BACKLOG_STEPS_PER_ENGINE_SLOT = 20;

/** Changes of role considered per slot, in grid steps. */
const MAX_STEPS = 3;

/** Grid points of the number of readers beyond which only every few are looked at. */
const MAX_GRID = 24;

/** A change must gain this many requests, so that the path makes none for nothing. */
const TIE_BREAK_REQUESTS = 0.5;

/** The least of the bounds over the slot lengths: each of them holds. */
export function boundOf(trace: ServiceTrace, addProfits: AddProfits = chooseBest): Bound {
  const works = requestWorks(trace);
  const bounds = SLOT_LENGTHS_MS.map((slotMs) => {
    const slots = slotBounds(trace, works, slotMs, addProfits);
    return boundWithSlots(trace, slots, slotMs);
  });
  return bounds.reduce((least, next) => (next.goodputPerS < least.goodputPerS ? next : least));
}

interface Search {
  readonly trace: ServiceTrace;
  readonly slotMs: number;
  readonly grid: readonly number[];
  readonly gridStep: number;
  readonly backlogStepMs: number;
  readonly backlogSteps: number;
}

function boundWithSlots(trace: ServiceTrace, slots: readonly SlotBound[], slotMs: number): Bound {
  const gridStep = Math.max(1, Math.ceil(trace.engines / MAX_GRID));
  const grid: number[] = [];
  for (let readers = 0; readers < trace.engines; readers += gridStep) grid.push(readers);
  const backlogStepMs = (trace.engines * slotMs) / (8 * BACKLOG_STEPS_PER_ENGINE_SLOT);
  const maxBacklogMs = Math.max(...slots.map((slot) => slot.maxBacklogMs));
  const backlogSteps = Math.ceil(maxBacklogMs / backlogStepMs) + 1;
  const search = { trace, slotMs, grid, gridStep, backlogStepMs, backlogSteps };
  return searchBest(search, slots);
}

/** Best served requests so far, per grid point and backlog step, and how it was reached. */
interface Layer {
  readonly best: Float64Array;
  readonly from: Int32Array;
}

function searchBest(search: Search, slots: readonly SlotBound[]): Bound {
  const { trace, grid, backlogSteps, slotMs } = search;
  const states = grid.length * backlogSteps;
  let best: Float64Array = new Float64Array(states).fill(Number.NEGATIVE_INFINITY);
  const firstPoint = nearestPoint(grid, trace.initialReaders);
  best[firstPoint * backlogSteps] = 0;
  const layers: Layer[] = [];
  for (const slot of slots) {
    const layer = advance(search, slot, best);
    layers.push(layer);
    best = layer.best;
  }
  return trackBack(search, layers, slotMs);
}

function nearestPoint(grid: readonly number[], readers: number): number {
  let nearest = 0;
  grid.forEach((point, at) => {
    if (Math.abs(point - readers) < Math.abs((grid[nearest] ?? 0) - readers)) nearest = at;
  });
  return nearest;
}

function advance(search: Search, slot: SlotBound, before: Float64Array): Layer {
  const { grid } = search;
  const best = new Float64Array(before.length).fill(Number.NEGATIVE_INFINITY);
  const from = new Int32Array(before.length).fill(-1);
  for (let point = 0; point < grid.length; point += 1) {
    // During an outage of the key-value service nobody can order a change.
    const steps = slot.ordersPossible ? MAX_STEPS : 0;
    const last = Math.min(grid.length - 1, point + steps);
    for (let next = Math.max(0, point - steps); next <= last; next += 1) {
      const gains = gainsByBacklog(search, slot, point, next);
      if (gains !== null) extend(search, before, { best, from }, point, next, gains, slot);
    }
  }
  return { best, from };
}

/** Gains by rise of the backlog: index 0 is the greatest fall. */
interface Gains {
  readonly values: Float64Array;
  readonly least: number;
}

function extend(
  search: Search,
  before: Float64Array,
  layer: Layer,
  point: number,
  next: number,
  gains: Gains,
  slot: SlotBound,
): void {
  const { backlogSteps, backlogStepMs } = search;
  const allowed = Math.min(backlogSteps - 1, Math.ceil(slot.maxBacklogMs / backlogStepMs));
  for (let backlog = 0; backlog < backlogSteps; backlog += 1) {
    const base = before[point * backlogSteps + backlog] ?? Number.NEGATIVE_INFINITY;
    if (base === Number.NEGATIVE_INFINITY) continue;
    const first = Math.max(0, backlog + gains.least);
    const last = Math.min(allowed, backlog + gains.least + gains.values.length - 1);
    for (let after = first; after <= last; after += 1) {
      const value = base + (gains.values[after - backlog - gains.least] ?? 0);
      const state = next * backlogSteps + after;
      if (value > (layer.best[state] ?? 0)) {
        layer.best[state] = value;
        layer.from[state] = point * backlogSteps + backlog;
      }
    }
  }
}

/** Capacity of a slot in engine milliseconds. */
interface Capacity {
  readonly readMs: number;
  readonly writeMs: number;
}

function gainsByBacklog(
  search: Search,
  slot: SlotBound,
  point: number,
  next: number,
): Gains | null {
  const { backlogStepMs, trace, slotMs } = search;
  const capacities = capacitiesOf(search, slot, point, next);
  if (capacities.length === 0) return null;
  const least = -Math.ceil((trace.engines * slotMs) / backlogStepMs);
  const most = Math.ceil(slot.offeredWriteMs / backlogStepMs);
  const values = new Float64Array(most - least + 1);
  const changes =
    point === next ? 0 : Math.abs((search.grid[next] ?? 0) - (search.grid[point] ?? 0));
  for (let rise = least; rise <= most; rise += 1) {
    let served = values[rise - least - 1] ?? 0;
    // More capacity never serves less, so that nothing is left to gain once all are served.
    for (const capacity of served >= slot.offered ? [] : capacities) {
      // One step more than the rise: both backlogs are rounded to steps.
      const writeMs = capacity.writeMs + (rise + 1) * backlogStepMs;
      served = Math.max(served, slot.servedAtMost(capacity.readMs, writeMs));
    }
    values[rise - least] = served;
  }
  for (let at = 0; at < values.length; at += 1) {
    values[at] = (values[at] ?? 0) - changes * TIE_BREAK_REQUESTS;
  }
  return { values, least };
}

/** What the engines can do in a slot that goes from one number of readers to another. */
function capacitiesOf(
  search: Search,
  slot: SlotBound,
  point: number,
  next: number,
): readonly Capacity[] {
  const { grid, gridStep, slotMs } = search;
  const from = grid[point] ?? 0;
  const to = grid[next] ?? 0;
  // Between grid points lie other numbers of readers: half a step is given to both phases.
  const loose = ((gridStep - 1) / 2) * slotMs;
  const engineMs = slot.engineMs;
  if (from === to) {
    return [{ readMs: from * slot.readSpanMs + loose, writeMs: engineMs - from * slotMs + loose }];
  }
  const awayMs = DEFAULT_ENGINE_PROFILE.roleChangeMs;
  const count = Math.max(0, Math.abs(to - from) - (gridStep - 1));
  const capacities: Capacity[] = [];
  for (let part = 0; part < START_PARTS; part += 1) {
    const earliest = (part * slotMs) / START_PARTS;
    const latest = ((part + 1) * slotMs) / START_PARTS;
    const afterMs = slotMs - earliest - awayMs;
    capacities.push(
      to > from
        ? {
            readMs: from * slot.readSpanMs + count * Math.max(0, afterMs) + loose,
            writeMs: engineMs - to * slotMs + count * latest + loose,
          }
        : {
            readMs: to * slot.readSpanMs + count * latest + loose,
            writeMs: engineMs - from * slotMs + count * afterMs + loose,
          },
    );
  }
  return capacities;
}

function trackBack(search: Search, layers: readonly Layer[], slotMs: number): Bound {
  const { grid, backlogSteps, trace } = search;
  const last = layers.at(-1);
  let state = 0;
  last?.best.forEach((value, at) => {
    if (value > (last.best[state] ?? 0)) state = at;
  });
  const total = last?.best[state] ?? 0;
  const readers: number[] = [];
  for (let at = layers.length - 1; at >= 0; at -= 1) {
    readers.unshift(grid[Math.floor(state / backlogSteps)] ?? 0);
    state = layers[at]?.from[state] ?? 0;
  }
  let roleChanges = 0;
  readers.forEach((count, at) => {
    const before = at === 0 ? trace.initialReaders : (readers[at - 1] ?? 0);
    roleChanges += Math.abs(count - before);
  });
  const served = Math.min(trace.requests.length, total + roleChanges * TIE_BREAK_REQUESTS);
  return { goodputPerS: served / (trace.durationMs / 1000), roleChanges, readers, slotMs };
}
