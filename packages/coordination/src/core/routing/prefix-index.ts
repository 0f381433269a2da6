/**
 * Which targets probably hold the KV cache of a prompt's first blocks. Learnt from own routing and
 * from the engines' cache events, which come late and with gaps. A gap means not knowing: what was
 * learnt before it counts half from then on, it is not forgotten. A restart of the engine (another
 * epoch) means a cold cache: what was learnt before it is void at once, without a sweep.
 */
import { LRUCache } from 'lru-cache';
import { CacheChange } from './cache-news.js';
import type { CacheNews } from './cache-news.js';
import type { TargetView } from './target-view.js';

/** A holder of a block; `generation` is that of the target when it was learnt. */
interface Holder {
  readonly target: number;
  readonly generation: number;
}

/** The index. Bounded by the number of blocks and of holders per block. */
export interface PrefixIndex {
  readonly blocks: LRUCache<string, Holder[]>;
}

/** Most holders remembered of one block; a router never weighs more than a few anyway. */
const MAX_HOLDERS = 8;

/** What a doubtful block counts: as likely gone as there. */
const DOUBTFUL_WEIGHT = 0.5;

/** Makes an index of at most that many blocks, about 150 bytes each. */
export function createPrefixIndex(maxBlocks: number): PrefixIndex {
  return { blocks: new LRUCache<string, Holder[]>({ max: maxBlocks }) };
}

/** Notes that the target was given the prompt, so that its cache soon holds the blocks. */
export function noteHolder(index: PrefixIndex, view: TargetView, blocks: readonly string[]): void {
  for (const block of blocks) {
    const holders = index.blocks.get(block);
    const holder = { target: view.index, generation: view.cacheGeneration };
    if (holders === undefined) {
      index.blocks.set(block, [holder]);
      continue;
    }
    replaceHolder(holders, holder);
  }
}

function replaceHolder(holders: Holder[], holder: Holder): void {
  const at = holders.findIndex((known) => known.target === holder.target);
  if (at >= 0) holders.splice(at, 1);
  else if (holders.length >= MAX_HOLDERS) holders.shift();
  holders.push(holder);
}

/** Takes a cache event in. */
export function noteCacheNews(index: PrefixIndex, view: TargetView, news: CacheNews): void {
  if (news.epoch !== view.cacheEpoch) {
    startEpoch(view, news.epoch);
  } else if (news.sequence <= view.cacheSequence) {
    return;
  } else if (news.sequence !== view.cacheSequence + 1) {
    // Lost events show as a hole in the sequence: some of what we know may have been evicted.
    view.cacheGeneration += 1;
    view.doubtfulBefore = view.cacheGeneration;
  }
  view.cacheSequence = news.sequence;
  applyChange(index, view, news);
}

function applyChange(index: PrefixIndex, view: TargetView, news: CacheNews): void {
  switch (news.change) {
    case CacheChange.Stored:
      noteHolder(index, view, news.blocks);
      return;
    case CacheChange.Evicted:
      for (const block of news.blocks) dropHolder(index, view, block);
      return;
    case CacheChange.Cleared:
      voidKnowledge(view);
  }
}

function dropHolder(index: PrefixIndex, view: TargetView, block: string): void {
  const holders = index.blocks.peek(block);
  if (holders === undefined) return;
  const at = holders.findIndex((known) => known.target === view.index);
  if (at >= 0) holders.splice(at, 1);
  if (holders.length === 0) index.blocks.delete(block);
}

function startEpoch(view: TargetView, epoch: string): void {
  const firstNews = view.cacheEpoch === '';
  view.cacheEpoch = epoch;
  if (!firstNews) voidKnowledge(view);
}

/** Forgets all that is known of a target's cache, in O(1). */
export function voidKnowledge(view: TargetView): void {
  view.cacheGeneration += 1;
  view.voidBefore = view.cacheGeneration;
}

/** Expected number of leading blocks that the target holds; doubtful ones count half. */
export function heldBlocks(
  index: PrefixIndex,
  view: TargetView,
  blocks: readonly string[],
): number {
  let held = 0;
  for (const block of blocks) {
    const holder = index.blocks.peek(block)?.find((known) => known.target === view.index);
    if (holder === undefined || holder.generation < view.voidBefore) return held;
    held += holder.generation < view.doubtfulBefore ? DOUBTFUL_WEIGHT : 1;
  }
  return held;
}

/** Indexes of targets that may hold the longest known beginning of the prompt. */
export function likelyHolders(index: PrefixIndex, blocks: readonly string[]): readonly number[] {
  for (let at = blocks.length - 1; at >= 0; at -= 1) {
    const block = blocks[at];
    const holders = block === undefined ? undefined : index.blocks.peek(block);
    if (holders !== undefined && holders.length > 0) return holders.map((known) => known.target);
  }
  return [];
}
