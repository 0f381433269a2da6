/**
 * Which of several waiting jobs an engine takes first. The load pattern: more prompts than the
 * engines can read in time, from a hundred tokens to tens of thousands. First comes what is worth
 * most for the engine's time; what is late already is worth a part of what it was, more if its
 * caller was sent away before, and sizes that starve are worth more until they no longer do.
 */
import type { Job } from './job.js';

/** Value of a job against the mean of its route: a base and a part that grows with its size. */
const BASE_VALUE = 0.3;
const MAX_VALUE = 4;
/** A generated token takes an engine about as long as ten that are read beside others. */
const OUTPUT_TOKEN_WEIGHT = 10;
/** How much a less urgent priority counts against the one before it. */
const PRIORITY_STEP = 0.8;
/** Sizes that the mean of a route rests on; older ones fade. */
const SIZE_MEMORY = 200;

/** Mean sizes by route. */
export interface RouteSizes {
  readonly byRoute: Map<string, { mean: number; count: number }>;
}

/** No sizes known. */
export function createRouteSizes(): RouteSizes {
  return { byRoute: new Map() };
}

/** Size of a job: what its prompt and its longest answer cost, in tokens that are read. */
export function jobSize(job: Job): number {
  const promptTokens = job.parts.reduce((sum, part) => sum + part.tokens, 0);
  return promptTokens + OUTPUT_TOKEN_WEIGHT * job.outputTokens;
}

/** Takes a job's size into the mean of its route. */
export function noteSize(sizes: RouteSizes, job: Job): void {
  const known = sizes.byRoute.get(job.route) ?? { mean: 0, count: 0 };
  known.count = Math.min(SIZE_MEMORY, known.count + 1);
  known.mean += (jobSize(job) - known.mean) / known.count;
  sizes.byRoute.set(job.route, known);
}

/** What serving a job is worth, 1 for one of ordinary size and the highest priority. */
export function jobValue(sizes: RouteSizes, job: Job): number {
  const mean = sizes.byRoute.get(job.route)?.mean ?? 0;
  const relative = mean > 0 ? jobSize(job) / mean : 1;
  const value = Math.min(MAX_VALUE, BASE_VALUE + (1 - BASE_VALUE) * relative);
  return value * PRIORITY_STEP ** job.priority;
}

/** What a late answer is worth against one that is on time; callers want it all the same. */
const LATE_VALUE = 0.15;
/** The same where the caller was refused before and would be sent away a second time. */
const RETURNED_VALUE = 0.5;
/** How much more a size that starves is worth, so that it gets its turn among smaller ones. */
const STARVED_VALUE = 20;

/** How a job stands beside others of its route. */
export interface Standing {
  /** Worth of the job when it is on time. */
  readonly value: number;
  readonly returned: boolean;
  readonly starved: boolean;
}

/** What an engine would do for a job. */
export interface Offer {
  readonly standing: Standing;
  /** Time of the engine that it takes. */
  readonly serviceMs: number;
  /** Tokens that get a second copy in the engines' memory. */
  readonly copiedTokens: number;
  /** When its first event would reach the caller. */
  readonly firstEventAtMs: number;
  readonly aimAtMs: number;
}

/** Whether the first event would be on time. */
export function isOnTime(offer: Offer): boolean {
  return offer.firstEventAtMs <= offer.aimAtMs;
}

/** What an offer is worth for each millisecond of the engine. */
export function worthPerMs(offer: Offer): number {
  const { value, returned, starved } = offer.standing;
  const lateValue = returned ? RETURNED_VALUE : LATE_VALUE;
  const timely = isOnTime(offer) ? 1 : lateValue;
  const boost = starved ? STARVED_VALUE : 1;
  return (value * timely * boost) / Math.max(1, offer.serviceMs);
}

/** Negative where `left` goes first. */
export function compareOffers(left: Offer, right: Offer): number {
  return worthPerMs(right) - worthPerMs(left);
}
