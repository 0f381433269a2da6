/**
 * Which engine's line a job stands in: the one that would answer it first, counting against it what
 * would be read again and the copies that push other parts out of its memory.
 */
import { EnginePhase } from '../forwarding/fleet.js';
import type { Job } from './job.js';
import { heldParts, tokensBetween } from './prompt-cache.js';
import { type Offer, type Standing, compareOffers } from './ranking.js';
import { readCost } from './read-cost.js';
import type { Scheduler, Waiting } from './scheduler-state.js';
import { isStarved } from './size-fairness.js';
import { type TargetLoad, isUsable, makesTokens, pendingReadMs } from './target-load.js';

/** Where a job would wait, and for how long. */
export interface Place {
  readonly load: TargetLoad;
  readonly offer: Offer;
  /** Reading that the engine does before it. */
  readonly aheadMs: number;
}

/** The place where a job would be answered first, all told; null where no engine may take it. */
export function bestPlace(scheduler: Scheduler, waiting: Waiting, nowMs: number): Place | null {
  const places: Place[] = [];
  for (const load of scheduler.targets.values()) {
    if (!mayRead(scheduler, load, waiting.job, nowMs)) continue;
    places.push(placeAt(scheduler, load, waiting, nowMs));
  }
  const leastServiceMs = Math.min(...places.map((place) => place.offer.serviceMs));
  const costMs = ({ offer }: Place): number =>
    offer.firstEventAtMs +
    scheduler.options.rereadWeight * (offer.serviceMs - leastServiceMs) +
    copyCostMs(scheduler, offer);
  let best: Place | null = null;
  for (const place of places) {
    if (best === null || costMs(place) < costMs(best)) best = place;
  }
  return best;
}

/** Whether an engine may read a job's prompt. */
export function mayRead(scheduler: Scheduler, load: TargetLoad, job: Job, nowMs: number): boolean {
  if (!isUsable(load, nowMs) || job.avoid.includes(load.entry.id)) return false;
  if (load.entry.phase !== EnginePhase.Decode || !hasReaders(scheduler, job, nowMs)) return true;
  const held = heldParts(load.cache, job.parts);
  const missing = tokensBetween(job.parts, held, job.parts.length);
  return missing <= scheduler.options.maxDecodeReadTokens;
}

function hasReaders(scheduler: Scheduler, job: Job, nowMs: number): boolean {
  for (const load of scheduler.targets.values()) {
    const reads = load.entry.phase === EnginePhase.Prefill;
    if (reads && isUsable(load, nowMs) && !job.avoid.includes(load.entry.id)) return true;
  }
  return false;
}

const THOUSAND_TOKENS = 1000;

/** What the copies that an offer makes cost, in milliseconds of waiting. */
export function copyCostMs(scheduler: Scheduler, offer: Offer): number {
  return (offer.copiedTokens / THOUSAND_TOKENS) * scheduler.options.copyMsPerThousand;
}

/** Where a job would stand in an engine's line: behind what is worth more for the engine's time. */
export function placeAt(
  scheduler: Scheduler,
  load: TargetLoad,
  waiting: Waiting,
  nowMs: number,
): Place {
  const pendingMs = pendingReadMs(load, nowMs);
  const immediate = makeOffer(scheduler, load, waiting, nowMs + pendingMs);
  let aheadMs = pendingMs;
  for (const other of lineOf(scheduler, load)) {
    if (other === waiting) continue;
    const theirs = makeOffer(scheduler, load, other, nowMs + pendingMs);
    if (compareOffers(theirs, immediate) <= 0) aheadMs += theirs.serviceMs;
  }
  const offer = { ...immediate, firstEventAtMs: immediate.firstEventAtMs + aheadMs - pendingMs };
  return { load, offer, aheadMs };
}

/** What an engine that begins at a time would do for a job. */
export function makeOffer(
  scheduler: Scheduler,
  load: TargetLoad,
  waiting: Waiting,
  startAtMs: number,
): Offer {
  const { job } = waiting;
  const { handoverMs, firstEventMs } = scheduler.options;
  const cost = readCost(scheduler.targets.values(), load, job, startAtMs);
  const { serviceMs, copiedTokens } = cost;
  const afterMs = makesTokens(load) ? firstEventMs : firstEventMs + handoverMs;
  return {
    standing: standingOf(scheduler, waiting),
    serviceMs,
    copiedTokens,
    firstEventAtMs: startAtMs + serviceMs + afterMs,
    aimAtMs: job.aimAtMs,
  };
}

function standingOf(scheduler: Scheduler, waiting: Waiting): Standing {
  const { job, value, returned, sizeClass } = waiting;
  return { value, returned, starved: isStarved(scheduler.fairness, job.route, sizeClass) };
}

/** The jobs that wait for an engine, oldest first. */
export function lineOf(scheduler: Scheduler, load: TargetLoad): readonly Waiting[] {
  return [...scheduler.waiting.values()].filter((each) => each.target === load.entry.id);
}
