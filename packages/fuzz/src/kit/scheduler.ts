/**
 * Virtual time: an ordered queue of things to happen. Nothing happens by itself; a run advances the
 * clock, and the same run always takes the same steps.
 */

/** Something that happens at a virtual time. */
interface Planned {
  readonly atMs: number;
  /** Order among things of one time: first planned, first done. */
  readonly order: number;
  readonly run: () => void;
}

/** The clock and the queue. */
export interface Scheduler {
  nowMs: number;
  /** Things done so far. */
  steps: number;
  order: number;
  readonly heap: Planned[];
}

/** A clock at 0 with nothing planned. */
export function createScheduler(): Scheduler {
  return { nowMs: 0, steps: 0, order: 0, heap: [] };
}

/** Plans something `afterMs` from now. */
export function schedule(scheduler: Scheduler, afterMs: number, run: () => void): void {
  scheduler.order += 1;
  const planned = { atMs: scheduler.nowMs + Math.max(0, afterMs), order: scheduler.order, run };
  scheduler.heap.push(planned);
  siftUp(scheduler.heap, scheduler.heap.length - 1);
}

/** Does everything that is due until `durationMs` from now, then stands there. */
export function advance(scheduler: Scheduler, durationMs: number): void {
  const untilMs = scheduler.nowMs + durationMs;
  for (;;) {
    const next = scheduler.heap[0];
    if (next === undefined || next.atMs > untilMs) break;
    takeFirst(scheduler.heap);
    scheduler.nowMs = next.atMs;
    scheduler.steps += 1;
    next.run();
  }
  scheduler.nowMs = untilMs;
}

function comesBefore(left: Planned | undefined, right: Planned | undefined): boolean {
  if (left === undefined || right === undefined) return right === undefined;
  return left.atMs === right.atMs ? left.order < right.order : left.atMs < right.atMs;
}

function siftUp(heap: Planned[], from: number): void {
  let index = from;
  while (index > 0) {
    const parent = (index - 1) >> 1;
    if (!comesBefore(heap[index], heap[parent])) return;
    swap(heap, index, parent);
    index = parent;
  }
}

function takeFirst(heap: Planned[]): void {
  const last = heap.pop();
  if (last === undefined || heap.length === 0) return;
  heap[0] = last;
  let index = 0;
  for (;;) {
    const left = 2 * index + 1;
    const right = left + 1;
    if (left >= heap.length) return;
    const isRight = right < heap.length && comesBefore(heap[right], heap[left]);
    const child = isRight ? right : left;
    if (!comesBefore(heap[child], heap[index])) return;
    swap(heap, index, child);
    index = child;
  }
}

function swap(heap: Planned[], left: number, right: number): void {
  const first = heap[left];
  const second = heap[right];
  if (first === undefined || second === undefined) return;
  heap[left] = second;
  heap[right] = first;
}
