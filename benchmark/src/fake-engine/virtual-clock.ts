/** A virtual clock: events in order of time, first scheduled first run among equal times. */

interface ClockEvent {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

/** The clock and its pending events. */
export interface VirtualClock {
  nowMs: number;
  order: number;
  readonly heap: ClockEvent[];
}

/** Makes a clock at zero. */
export function createVirtualClock(): VirtualClock {
  return { nowMs: 0, order: 0, heap: [] };
}

function isBefore(a: ClockEvent, b: ClockEvent): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
}

/** Runs `run` at that time, or now where it has passed. */
export function schedule(clock: VirtualClock, atMs: number, run: () => void): void {
  const event = { atMs: Math.max(clock.nowMs, atMs), order: clock.order, run };
  clock.order += 1;
  const { heap } = clock;
  let at = heap.length;
  heap.push(event);
  while (at > 0) {
    const parent = (at - 1) >> 1;
    const above = heap[parent];
    if (above === undefined || !isBefore(event, above)) break;
    heap[at] = above;
    at = parent;
  }
  heap[at] = event;
}

function popFirst(heap: ClockEvent[]): ClockEvent | undefined {
  const first = heap[0];
  const last = heap.pop();
  if (first === undefined || last === undefined || heap.length === 0) return first;
  let at = 0;
  for (;;) {
    let child = 2 * at + 1;
    const left = heap[child];
    const right = heap[child + 1];
    if (left === undefined) break;
    let below = left;
    if (right !== undefined && isBefore(right, left)) {
      child += 1;
      below = right;
    }
    if (!isBefore(below, last)) break;
    heap[at] = below;
    at = child;
  }
  heap[at] = last;
  return first;
}

/** Runs events until the time, exclusive of later ones. */
export function runUntil(clock: VirtualClock, untilMs: number): void {
  for (let first = clock.heap[0]; first !== undefined && first.atMs <= untilMs;) {
    popFirst(clock.heap);
    clock.nowMs = first.atMs;
    first.run();
    first = clock.heap[0];
  }
  clock.nowMs = untilMs;
}
