/**
 * Tracks which targets probably have the leading blocks of a prompt in their KV cache. The index is
 * built from the entry's own dispatches and from the engines' cache events, which arrive late and
 * with gaps. After a gap, earlier records are uncertain: they count half instead of being removed.
 * After a restart of the engine (a new epoch) its cache is cold: all earlier records become invalid
 * at once, without iterating over them.
 */
import { LRUCache } from 'lru-cache';
import { CacheChange } from './cache-event.js';
import type { CacheEvent } from './cache-event.js';
import type { TargetView } from './target-view.js';

/** A target that holds a block; `generation` is the target's cache generation at that time. */
interface Holder {
  readonly target: number;
  readonly generation: number;
}

/** The prefix index. The number of blocks and of holders per block is bounded. */
export interface PrefixIndex {
  readonly blocks: LRUCache<string, Holder[]>;
}

/** Maximum holders stored per block; the router compares only a few of them. */
const MAX_HOLDERS_PER_BLOCK = 8;

/** Weight of an uncertain block, which is as likely evicted as still cached. */
const UNCERTAIN_BLOCK_WEIGHT = 0.5;

/** Creates an index of at most `maxBlocks` blocks of about 150 bytes each. */
export function createPrefixIndex(maxBlocks: number): PrefixIndex {
  return { blocks: new LRUCache<string, Holder[]>({ max: maxBlocks }) };
}

/** Records that the target holds the blocks, or will soon because it was sent the prompt. */
export function recordHolder(
  index: PrefixIndex,
  view: TargetView,
  blocks: readonly string[],
): void {
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
  const position = holders.findIndex((existing) => existing.target === holder.target);
  if (position >= 0) holders.splice(position, 1);
  else if (holders.length >= MAX_HOLDERS_PER_BLOCK) holders.shift();
  holders.push(holder);
}

/** Applies a cache event of a target. Duplicate and outdated events are ignored. */
export function applyCacheEvent(index: PrefixIndex, view: TargetView, event: CacheEvent): void {
  if (event.epoch !== view.cacheEpoch) {
    startEpoch(view, event.epoch);
  } else if (event.sequence <= view.cacheSequence) {
    return;
  } else if (event.sequence !== view.cacheSequence + 1) {
    // A gap in the sequence means lost events: some recorded blocks may have been evicted.
    view.cacheGeneration += 1;
    view.uncertainBefore = view.cacheGeneration;
  }
  view.cacheSequence = event.sequence;
  applyChange(index, view, event);
}

function applyChange(index: PrefixIndex, view: TargetView, event: CacheEvent): void {
  switch (event.change) {
    case CacheChange.Stored:
      recordHolder(index, view, event.blocks);
      return;
    case CacheChange.Evicted:
      for (const block of event.blocks) removeHolder(index, view, block);
      return;
    case CacheChange.Cleared:
      invalidateCachedBlocks(view);
  }
}

function removeHolder(index: PrefixIndex, view: TargetView, block: string): void {
  const holders = index.blocks.peek(block);
  if (holders === undefined) return;
  const position = holders.findIndex((holder) => holder.target === view.index);
  if (position >= 0) holders.splice(position, 1);
  if (holders.length === 0) index.blocks.delete(block);
}

function startEpoch(view: TargetView, epoch: string): void {
  const isFirstEvent = view.cacheEpoch === '';
  view.cacheEpoch = epoch;
  if (!isFirstEvent) invalidateCachedBlocks(view);
}

/** Invalidates all records of a target's cache, in O(1). */
export function invalidateCachedBlocks(view: TargetView): void {
  view.cacheGeneration += 1;
  view.invalidBefore = view.cacheGeneration;
}

/** Returns the expected number of leading blocks in the cache; uncertain ones count half. */
export function expectedCachedBlocks(
  index: PrefixIndex,
  view: TargetView,
  blocks: readonly string[],
): number {
  let cachedBlocks = 0;
  for (const block of blocks) {
    const holder = index.blocks.peek(block)?.find((candidate) => candidate.target === view.index);
    if (holder === undefined || holder.generation < view.invalidBefore) return cachedBlocks;
    cachedBlocks += holder.generation < view.uncertainBefore ? UNCERTAIN_BLOCK_WEIGHT : 1;
  }
  return cachedBlocks;
}

/** Returns the indexes of the targets that may hold the longest known prefix of the prompt. */
export function likelyHolders(index: PrefixIndex, blocks: readonly string[]): readonly number[] {
  for (let position = blocks.length - 1; position >= 0; position -= 1) {
    const block = blocks[position];
    const holders = block === undefined ? undefined : index.blocks.peek(block);
    if (holders !== undefined && holders.length > 0) return holders.map((holder) => holder.target);
  }
  return [];
}
