/** A binary heap of waiting requests by start tag, first come first served among equal tags. */

/** What the heap orders by. */
export interface Tagged {
  readonly startTag: number;
  readonly order: number;
}

function isBefore(a: Tagged, b: Tagged): boolean {
  return a.startTag < b.startTag || (a.startTag === b.startTag && a.order < b.order);
}

/** Adds an item in O(log n). */
export function heapPush<T extends Tagged>(heap: T[], item: T): void {
  let at = heap.length;
  heap.push(item);
  while (at > 0) {
    const parent = (at - 1) >> 1;
    const above = heap[parent];
    if (above === undefined || !isBefore(item, above)) break;
    heap[at] = above;
    at = parent;
  }
  heap[at] = item;
}

/** Takes the first item out in O(log n). */
export function heapPop<T extends Tagged>(heap: T[]): T | undefined {
  const first = heap[0];
  const last = heap.pop();
  if (first === undefined || last === undefined || heap.length === 0) return first;
  let at = 0;
  for (;;) {
    const child = smallerChild(heap, at);
    const below = heap[child];
    if (below === undefined || !isBefore(below, last)) break;
    heap[at] = below;
    at = child;
  }
  heap[at] = last;
  return first;
}

function smallerChild<T extends Tagged>(heap: readonly T[], at: number): number {
  const left = 2 * at + 1;
  const a = heap[left];
  const b = heap[left + 1];
  return a !== undefined && b !== undefined && isBefore(b, a) ? left + 1 : left;
}
