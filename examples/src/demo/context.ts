/**
 * What the callers of one run share.
 */
import type { GoalsSpec } from '@cassiamast/coordination';
import type { Oracle } from './oracle.js';
import type { Stories } from './stories.js';
import type { Tally } from './tally.js';

/** Shared by all callers. */
export interface CallerContext {
  /** Base addresses of the entries. */
  readonly entries: readonly string[];
  readonly model: string;
  readonly plainService: string;
  readonly modelGoals: GoalsSpec;
  readonly plainGoals: GoalsSpec;
  readonly oracle: Oracle;
  readonly tally: Tally;
  readonly stories: Stories;
  readonly nowMs: () => number;
  /** After this nobody tries again. */
  readonly giveUpAtMs: number;
}

/** The address of the entry to use for an attempt: the next one after each failure. */
export function entryFor(context: CallerContext, first: number, attempt: number): string {
  return context.entries[(first + attempt) % context.entries.length] ?? '';
}

/** A caller waits at least this long before it tries again, and at most {@link MAX_RETRY_MS}. */
export const MIN_RETRY_MS = 100;
export const MAX_RETRY_MS = 1_000;

/** How long to wait after a refusal. */
export function retryWaitMs(retryAfterMs: number): number {
  return Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, retryAfterMs));
}
