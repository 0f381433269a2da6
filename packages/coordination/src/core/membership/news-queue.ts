/**
 * News waiting to ride on messages. Holds at most one piece per member, the newest, so it is bounded
 * by the table of members. News of life goes before news of doubt, since a contradiction that comes
 * late kills; then fresh news goes first, and the rest takes turns until each piece was sent often
 * enough that gossip reaches everybody.
 */
import { MemberState } from '../model/member.js';
import type { MemberNews } from './messages.js';
import { encodeNews } from './wire.js';

interface QueuedNews {
  readonly news: MemberNews;
  readonly bytes: number;
  sent: number;
}

/** The queue; insertion order of the maps is the order of turns. */
export interface NewsQueue {
  readonly urgent: Map<string, QueuedNews>;
  readonly fresh: Map<string, QueuedNews>;
  readonly repeated: Map<string, QueuedNews>;
}

/** The comma that joins one piece of news to the next. */
const SEPARATOR_BYTES = 1;

/** An empty queue. */
export function createNewsQueue(): NewsQueue {
  return { urgent: new Map(), fresh: new Map(), repeated: new Map() };
}

/** Pieces of news that are still to be sent. */
export function newsCount(queue: NewsQueue): number {
  return queue.urgent.size + queue.fresh.size + queue.repeated.size;
}

/** Whether there is nothing to tell. */
export function newsIsEmpty(queue: NewsQueue): boolean {
  return newsCount(queue) === 0;
}

/** Bytes that a piece of news adds to a message. */
export function newsBytes(news: MemberNews): number {
  return Buffer.byteLength(JSON.stringify(encodeNews(news))) + SEPARATOR_BYTES;
}

/** Queues news in place of older news about the same member. */
export function enqueueNews(queue: NewsQueue, news: MemberNews): void {
  for (const pieces of [queue.urgent, queue.fresh, queue.repeated]) pieces.delete(news.id);
  const isLife = news.state === MemberState.Alive || news.state === MemberState.Leaving;
  const pieces = isLife ? queue.urgent : queue.fresh;
  pieces.set(news.id, { news, bytes: newsBytes(news), sent: 0 });
}

function takeFrom(
  queue: NewsQueue,
  source: Map<string, QueuedNews>,
  budgetBytes: number,
  sendLimit: number,
  taken: Map<string, MemberNews>,
): number {
  let leftBytes = budgetBytes;
  const passes = source.size;
  for (let pass = 0; pass < passes; pass += 1) {
    const [first] = source;
    if (first === undefined) break;
    const [id, queued] = first;
    if (queued.bytes > leftBytes || taken.has(id)) break;
    leftBytes -= queued.bytes;
    taken.set(id, queued.news);
    queued.sent += 1;
    source.delete(id);
    if (queued.sent < sendLimit) queue.repeated.set(id, queued);
  }
  return leftBytes;
}

/** Takes the next news of at most `budgetBytes`, counting each piece as sent once more. */
export function takeNews(queue: NewsQueue, budgetBytes: number, sendLimit: number): MemberNews[] {
  const taken = new Map<string, MemberNews>();
  let leftBytes = takeFrom(queue, queue.urgent, budgetBytes, sendLimit, taken);
  leftBytes = takeFrom(queue, queue.fresh, leftBytes, sendLimit, taken);
  takeFrom(queue, queue.repeated, leftBytes, sendLimit, taken);
  return [...taken.values()];
}
