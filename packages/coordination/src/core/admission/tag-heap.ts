/** A binary heap of queued requests, ordered by start tag and by arrival among equal tags. */

/** The sort keys of a heap item. */
export interface TaggedRequest {
  readonly startTag: number;
  readonly order: number;
}

function isBefore(a: TaggedRequest, b: TaggedRequest): boolean {
  return a.startTag < b.startTag || (a.startTag === b.startTag && a.order < b.order);
}

/** Adds an item in O(log n). */
export function heapPush<T extends TaggedRequest>(heap: T[], item: T): void {
  let position = heap.length;
  heap.push(item);
  while (position > 0) {
    const parentPosition = (position - 1) >> 1;
    const parent = heap[parentPosition];
    if (parent === undefined || !isBefore(item, parent)) break;
    heap[position] = parent;
    position = parentPosition;
  }
  heap[position] = item;
}

/** Removes and returns the first item in O(log n). */
export function heapPop<T extends TaggedRequest>(heap: T[]): T | undefined {
  const first = heap[0];
  const last = heap.pop();
  if (first === undefined || last === undefined || heap.length === 0) return first;
  let position = 0;
  for (;;) {
    const childPosition = smallerChild(heap, position);
    const child = heap[childPosition];
    if (child === undefined || !isBefore(child, last)) break;
    heap[position] = child;
    position = childPosition;
  }
  heap[position] = last;
  return first;
}

function smallerChild<T extends TaggedRequest>(heap: readonly T[], parentPosition: number): number {
  const leftPosition = 2 * parentPosition + 1;
  const left = heap[leftPosition];
  const right = heap[leftPosition + 1];
  return left !== undefined && right !== undefined && isBefore(right, left)
    ? leftPosition + 1
    : leftPosition;
}
