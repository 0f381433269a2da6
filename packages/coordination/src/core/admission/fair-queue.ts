/**
 * Start-time fair queueing over workspaces. Each queued request has a start tag: the later of the
 * queue's virtual time and the virtual finish time of the previous request of its workspace. The
 * request with the lowest tag is served next. Costs are in tokens, so a workspace with long prompts
 * gets no more than one with many short prompts. Other workspaces use the capacity that an idle one
 * leaves. Its next request starts at the current virtual time, so at most one request of each other
 * workspace is served before it.
 */
import { heapPop, heapPush } from './tag-heap.js';

/** A queued request. */
export interface QueuedRequest<T> {
  readonly workspace: string;
  readonly costTokens: number;
  /** Time after which the request is no longer useful. */
  readonly expiresAtMs: number;
  readonly item: T;
  readonly startTag: number;
  readonly order: number;
}

/** The queued requests of one workspace. */
interface Flow {
  waiting: number;
  finishTag: number;
  queuedTokens: number;
}

/** The fair queue. The number of requests is limited in total and per workspace. */
export interface FairQueue<T> {
  readonly maxWaiting: number;
  readonly maxWaitingPerWorkspace: number;
  readonly flows: Map<string, Flow>;
  /** All queued requests; tags increase within a workspace, so one heap preserves their order. */
  heap: QueuedRequest<T>[];
  virtualTime: number;
  queuedTokens: number;
  nextOrder: number;
}

/** Why a request was not queued. */
export enum QueueRefusal {
  Full = 'full',
  WorkspaceFull = 'workspace-full',
}

/** Creates an empty queue. */
export function createFairQueue<T>(
  maxWaiting: number,
  maxWaitingPerWorkspace: number,
): FairQueue<T> {
  return {
    maxWaiting,
    maxWaitingPerWorkspace,
    flows: new Map(),
    heap: [],
    virtualTime: 0,
    queuedTokens: 0,
    nextOrder: 0,
  };
}

/** A request to be queued. */
export type EnqueueRequest<T> = Omit<QueuedRequest<T>, 'startTag' | 'order'> & {
  /** Weight of the workspace relative to others. */
  readonly weight: number;
};

/** Queues a request, or returns the limit that prevents it. */
export function enqueue<T>(queue: FairQueue<T>, request: EnqueueRequest<T>): QueueRefusal | null {
  if (queue.heap.length >= queue.maxWaiting) return QueueRefusal.Full;
  const flow = flowOf(queue, request.workspace);
  if (flow.waiting >= queue.maxWaitingPerWorkspace) return QueueRefusal.WorkspaceFull;
  const startTag = Math.max(queue.virtualTime, flow.finishTag);
  flow.finishTag = startTag + request.costTokens / request.weight;
  flow.waiting += 1;
  flow.queuedTokens += request.costTokens;
  const { workspace, costTokens, expiresAtMs, item } = request;
  const order = queue.nextOrder;
  heapPush(queue.heap, { workspace, costTokens, expiresAtMs, item, startTag, order });
  queue.nextOrder += 1;
  queue.queuedTokens += costTokens;
  return null;
}

function flowOf<T>(queue: FairQueue<T>, workspace: string): Flow {
  const existing = queue.flows.get(workspace);
  if (existing !== undefined) return existing;
  const flow = { waiting: 0, finishTag: 0, queuedTokens: 0 };
  queue.flows.set(workspace, flow);
  return flow;
}

/** Number of similar requests that a workspace may have queued before it counts as borrowing. */
const FAIR_SHARE_REQUESTS = 2;

/** Returns whether a request is well beyond its workspace's fair share; a chance pair is not. */
export function isBorrowing<T>(queue: FairQueue<T>, waiting: QueuedRequest<T>): boolean {
  return waiting.startTag > queue.virtualTime + waiting.costTokens * FAIR_SHARE_REQUESTS;
}

/** Puts a dequeued request back at its position. Returns false if the queue is full. */
export function requeue<T>(queue: FairQueue<T>, waiting: QueuedRequest<T>): boolean {
  if (queue.heap.length >= queue.maxWaiting) return false;
  const flow = flowOf(queue, waiting.workspace);
  flow.waiting += 1;
  flow.queuedTokens += waiting.costTokens;
  flow.finishTag = Math.max(flow.finishTag, waiting.startTag);
  queue.queuedTokens += waiting.costTokens;
  heapPush(queue.heap, waiting);
  return true;
}

/** Returns the next request without removing it. */
export function peekNext<T>(queue: FairQueue<T>): QueuedRequest<T> | undefined {
  return queue.heap[0];
}

/** Removes and returns the next request and advances the virtual time to its start tag. */
export function dequeue<T>(queue: FairQueue<T>): QueuedRequest<T> | undefined {
  const next = heapPop(queue.heap);
  if (next === undefined) return undefined;
  advanceVirtualTime(queue, next);
  return next;
}

/**
 * Passes up to `depth` requests in order to `trySend`, and removes and returns the first one that
 * it sends. The others keep their positions. Returns undefined if none is sent.
 */
export function dequeueFirstSent<T>(
  queue: FairQueue<T>,
  depth: number,
  trySend: (waiting: QueuedRequest<T>) => boolean,
): QueuedRequest<T> | undefined {
  const skipped: QueuedRequest<T>[] = [];
  let sent: QueuedRequest<T> | undefined;
  while (sent === undefined && skipped.length < depth) {
    const next = heapPop(queue.heap);
    if (next === undefined) break;
    if (trySend(next)) sent = next;
    else skipped.push(next);
  }
  for (const waiting of skipped) heapPush(queue.heap, waiting);
  if (sent !== undefined) advanceVirtualTime(queue, sent);
  return sent;
}

function advanceVirtualTime<T>(queue: FairQueue<T>, waiting: QueuedRequest<T>): void {
  queue.virtualTime = Math.max(queue.virtualTime, waiting.startTag);
  updateAfterRemoval(queue, waiting);
}

/** Removes and returns all requests that match. Costs O(n log n) if any match, O(n) otherwise. */
export function removeWhere<T>(
  queue: FairQueue<T>,
  shouldRemove: (waiting: QueuedRequest<T>) => boolean,
): readonly QueuedRequest<T>[] {
  const removed = queue.heap.filter(shouldRemove);
  if (removed.length === 0) return removed;
  const remaining = queue.heap.filter((waiting) => !shouldRemove(waiting));
  queue.heap = [];
  for (const waiting of remaining) heapPush(queue.heap, waiting);
  for (const waiting of removed) updateAfterRemoval(queue, waiting);
  return removed;
}

function updateAfterRemoval<T>(queue: FairQueue<T>, waiting: QueuedRequest<T>): void {
  queue.queuedTokens -= waiting.costTokens;
  // An empty queue has no contention, so the fairness state can be discarded.
  if (queue.heap.length === 0) {
    resetFairness(queue);
    return;
  }
  const flow = queue.flows.get(waiting.workspace);
  if (flow === undefined) return;
  flow.waiting -= 1;
  flow.queuedTokens -= waiting.costTokens;
  // A flow ahead of the virtual time keeps its tag. Otherwise a workspace could gain by emptying
  // its queue and returning.
  if (flow.waiting === 0 && flow.finishTag <= queue.virtualTime) {
    queue.flows.delete(waiting.workspace);
  }
}

function resetFairness<T>(queue: FairQueue<T>): void {
  queue.flows.clear();
  queue.virtualTime = 0;
  queue.queuedTokens = 0;
}
