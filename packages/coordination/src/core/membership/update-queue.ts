/**
 * Queue of membership updates to piggyback on outgoing messages. It holds at most one update per
 * member, the newest, so its size is bounded by the member table. Updates about members that are
 * alive or leaving are sent first, because a refutation that arrives too late gets a living member
 * declared dead. New updates come next; the others are sent in turn until each has been sent often
 * enough for gossip to reach all members.
 */
import { MemberState } from '../model/member.js';
import type { MemberUpdate } from './messages.js';
import { encodeUpdate } from './wire.js';

interface QueuedUpdate {
  readonly update: MemberUpdate;
  readonly bytes: number;
  timesSent: number;
}

/** Update queue with three priorities. Each map is a FIFO queue in insertion order. */
export interface UpdateQueue {
  readonly urgent: Map<string, QueuedUpdate>;
  readonly fresh: Map<string, QueuedUpdate>;
  readonly repeated: Map<string, QueuedUpdate>;
}

/** The comma between two updates in an encoded message. */
const SEPARATOR_BYTES = 1;

/** Creates an empty queue. */
export function createUpdateQueue(): UpdateQueue {
  return { urgent: new Map(), fresh: new Map(), repeated: new Map() };
}

/** Returns the number of queued updates. */
export function updateCount(queue: UpdateQueue): number {
  return queue.urgent.size + queue.fresh.size + queue.repeated.size;
}

/** Returns whether no update is queued. */
export function isUpdateQueueEmpty(queue: UpdateQueue): boolean {
  return updateCount(queue) === 0;
}

/** Returns the bytes that an update adds to a message. */
export function updateBytes(update: MemberUpdate): number {
  return Buffer.byteLength(JSON.stringify(encodeUpdate(update))) + SEPARATOR_BYTES;
}

/** Queues an update, replacing an older one about the same member. */
export function enqueueUpdate(queue: UpdateQueue, update: MemberUpdate): void {
  for (const updates of [queue.urgent, queue.fresh, queue.repeated]) updates.delete(update.id);
  const isAliveOrLeaving =
    update.state === MemberState.Alive || update.state === MemberState.Leaving;
  const updates = isAliveOrLeaving ? queue.urgent : queue.fresh;
  updates.set(update.id, { update, bytes: updateBytes(update), timesSent: 0 });
}

function takeFrom(
  queue: UpdateQueue,
  source: Map<string, QueuedUpdate>,
  budgetBytes: number,
  sendLimit: number,
  taken: Map<string, MemberUpdate>,
): number {
  let remainingBytes = budgetBytes;
  const passes = source.size;
  for (let pass = 0; pass < passes; pass += 1) {
    const [first] = source;
    if (first === undefined) break;
    const [id, queued] = first;
    if (queued.bytes > remainingBytes || taken.has(id)) break;
    remainingBytes -= queued.bytes;
    taken.set(id, queued.update);
    queued.timesSent += 1;
    source.delete(id);
    if (queued.timesSent < sendLimit) queue.repeated.set(id, queued);
  }
  return remainingBytes;
}

/** Takes the next updates that fit in `budgetBytes` and counts each as sent once more. */
export function takeUpdates(
  queue: UpdateQueue,
  budgetBytes: number,
  sendLimit: number,
): MemberUpdate[] {
  const taken = new Map<string, MemberUpdate>();
  let remainingBytes = takeFrom(queue, queue.urgent, budgetBytes, sendLimit, taken);
  remainingBytes = takeFrom(queue, queue.fresh, remainingBytes, sendLimit, taken);
  takeFrom(queue, queue.repeated, remainingBytes, sendLimit, taken);
  return [...taken.values()];
}
