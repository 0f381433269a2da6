/**
 * Start-time fair queueing over workspaces. Each waiting request has a start tag, the later of the
 * queue's virtual time and the end of its workspace's previous request in virtual time; the lowest
 * tag goes next. Cost is in tokens, so a workspace with long prompts gets no more than one with
 * many short ones. Capacity that one leaves idle goes to the others and comes back with its next
 * request, which starts at the virtual time: at most one request of each other waits before it.
 */
import { heapPop, heapPush } from './tag-heap.js';

/** A waiting request. */
export interface Waiting<T> {
  readonly workspace: string;
  readonly costTokens: number;
  /** Beyond this the request is of no use any more. */
  readonly expiresAtMs: number;
  readonly item: T;
  readonly startTag: number;
  readonly order: number;
}

/** What a workspace has waiting. */
interface Flow {
  waiting: number;
  finishTag: number;
  queuedTokens: number;
}

/** The queue. Bounded in requests, in all and per workspace. */
export interface FairQueue<T> {
  readonly maxWaiting: number;
  readonly maxWaitingPerWorkspace: number;
  readonly flows: Map<string, Flow>;
  /** All waiting requests; within a workspace tags rise, so one heap keeps their order too. */
  heap: Waiting<T>[];
  virtualTime: number;
  queuedTokens: number;
  nextOrder: number;
}

/** Why a request was not queued. */
export enum QueueRefusal {
  Full = 'full',
  WorkspaceFull = 'workspace-full',
}

/** Makes an empty queue. */
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

/** What is queued. */
export type Arrival<T> = Omit<Waiting<T>, 'startTag' | 'order'> & {
  /** Share of the workspace relative to others. */
  readonly weight: number;
};

/** Queues a request, or says which bound it met. */
export function enqueue<T>(queue: FairQueue<T>, arrival: Arrival<T>): QueueRefusal | null {
  if (queue.heap.length >= queue.maxWaiting) return QueueRefusal.Full;
  const flow = flowOf(queue, arrival.workspace);
  if (flow.waiting >= queue.maxWaitingPerWorkspace) return QueueRefusal.WorkspaceFull;
  const startTag = Math.max(queue.virtualTime, flow.finishTag);
  flow.finishTag = startTag + arrival.costTokens / arrival.weight;
  flow.waiting += 1;
  flow.queuedTokens += arrival.costTokens;
  const { workspace, costTokens, expiresAtMs, item } = arrival;
  const order = queue.nextOrder;
  heapPush(queue.heap, { workspace, costTokens, expiresAtMs, item, startTag, order });
  queue.nextOrder += 1;
  queue.queuedTokens += costTokens;
  return null;
}

function flowOf<T>(queue: FairQueue<T>, workspace: string): Flow {
  const known = queue.flows.get(workspace);
  if (known !== undefined) return known;
  const flow = { waiting: 0, finishTag: 0, queuedTokens: 0 };
  queue.flows.set(workspace, flow);
  return flow;
}

/** Requests of its own size that a workspace may have queued before it counts as borrowing. */
const IN_SHARE_REQUESTS = 2;

/** Whether a waiting request is well beyond its workspace's share: a chance pair is not. */
export function isBorrowing<T>(queue: FairQueue<T>, waiting: Waiting<T>): boolean {
  return waiting.startTag > queue.virtualTime + waiting.costTokens * IN_SHARE_REQUESTS;
}

/** Puts a request back that was taken, at the place it had. False where the queue is full. */
export function putBack<T>(queue: FairQueue<T>, waiting: Waiting<T>): boolean {
  if (queue.heap.length >= queue.maxWaiting) return false;
  const flow = flowOf(queue, waiting.workspace);
  flow.waiting += 1;
  flow.queuedTokens += waiting.costTokens;
  flow.finishTag = Math.max(flow.finishTag, waiting.startTag);
  queue.queuedTokens += waiting.costTokens;
  heapPush(queue.heap, waiting);
  return true;
}

/** The request that goes next, left in the queue. */
export function peekNext<T>(queue: FairQueue<T>): Waiting<T> | undefined {
  return queue.heap[0];
}

/** Takes the request that goes next and advances virtual time to its start tag. */
export function takeNext<T>(queue: FairQueue<T>): Waiting<T> | undefined {
  const head = heapPop(queue.heap);
  if (head === undefined) return undefined;
  noteTaken(queue, head);
  return head;
}

/**
 * Takes the first request that `trySend` sends, out of the first `depth` in order; the others stay
 * at their places. Undefined when it sends none.
 */
export function takeFirstSent<T>(
  queue: FairQueue<T>,
  depth: number,
  trySend: (waiting: Waiting<T>) => boolean,
): Waiting<T> | undefined {
  const passed: Waiting<T>[] = [];
  let sent: Waiting<T> | undefined;
  while (sent === undefined && passed.length < depth) {
    const next = heapPop(queue.heap);
    if (next === undefined) break;
    if (trySend(next)) sent = next;
    else passed.push(next);
  }
  for (const waiting of passed) heapPush(queue.heap, waiting);
  if (sent !== undefined) noteTaken(queue, sent);
  return sent;
}

function noteTaken<T>(queue: FairQueue<T>, waiting: Waiting<T>): void {
  queue.virtualTime = Math.max(queue.virtualTime, waiting.startTag);
  noteGone(queue, waiting);
}

/** Takes all out that expired or whose caller left. Costs O(waiting) where any is gone. */
export function removeWhere<T>(
  queue: FairQueue<T>,
  isGone: (waiting: Waiting<T>) => boolean,
): readonly Waiting<T>[] {
  const gone = queue.heap.filter(isGone);
  if (gone.length === 0) return gone;
  const staying = queue.heap.filter((waiting) => !isGone(waiting));
  queue.heap = [];
  for (const waiting of staying) heapPush(queue.heap, waiting);
  for (const waiting of gone) noteGone(queue, waiting);
  return gone;
}

function noteGone<T>(queue: FairQueue<T>, waiting: Waiting<T>): void {
  queue.queuedTokens -= waiting.costTokens;
  // With nobody waiting there is no contention to remember.
  if (queue.heap.length === 0) {
    startOver(queue);
    return;
  }
  const flow = queue.flows.get(waiting.workspace);
  if (flow === undefined) return;
  flow.waiting -= 1;
  flow.queuedTokens -= waiting.costTokens;
  // A flow that is ahead of virtual time keeps its tag, or leaving and coming back would pay.
  if (flow.waiting === 0 && flow.finishTag <= queue.virtualTime) {
    queue.flows.delete(waiting.workspace);
  }
}

function startOver<T>(queue: FairQueue<T>): void {
  queue.flows.clear();
  queue.virtualTime = 0;
  queue.queuedTokens = 0;
}
