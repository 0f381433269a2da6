/**
 * Which engine's line a job stands in: the one that would answer it first, counting against it what
 * would be read again and the copies that push other parts out of its memory.
 */
import { EnginePhase } from '../forwarding/fleet.js';
import { hasConnection } from './connections.js';
import type { Job } from './job.js';
import { heldParts, tokensBetween } from './prompt-cache.js';
import { type Offer, type Standing, compareOffers } from './ranking.js';
import { type ReadCost, findHolders, readCost } from './read-cost.js';
import type { Estimate, Scheduler, Waiting } from './scheduler-state.js';
import { isStarved } from './size-fairness.js';
import { type TargetLoad, isUsable, makesTokens, pendingReadMs } from './target-load.js';
import { lineOf } from './waiting-lines.js';

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
  const { holders } = estimateOf(scheduler, waiting, nowMs);
  for (const load of scheduler.targets.values()) {
    if (!mayRead(scheduler, load, waiting.job, nowMs)) continue;
    places.push(placeWith(scheduler, load, waiting, readCost(holders, load, waiting.job), nowMs));
  }
  const leastServiceMs = Math.min(...places.map((place) => place.offer.serviceMs));
  const costMs = ({ load, offer }: Place): number =>
    offer.firstEventAtMs +
    connectCostMs(scheduler, load, waiting.job, nowMs) +
    scheduler.options.rereadWeight * (offer.serviceMs - leastServiceMs) +
    copyCostMs(scheduler, offer);
  let best: Place | null = null;
  for (const place of places) {
    if (best === null || costMs(place) < costMs(best)) best = place;
  }
  return best;
}

/** Time that a job's gateway would take to connect to an engine. */
function connectCostMs(scheduler: Scheduler, load: TargetLoad, job: Job, nowMs: number): number {
  const { connectMs, connectionKeptMs } = scheduler.options;
  const { connections } = scheduler;
  const { id } = load.entry;
  return hasConnection(connections, job.gateway, id, connectionKeptMs, nowMs) ? 0 : connectMs;
}

/** Whether an engine may read a job's prompt. */
export function mayRead(scheduler: Scheduler, load: TargetLoad, job: Job, nowMs: number): boolean {
  if (!isUsable(load, nowMs) || job.avoid.includes(load.entry.id)) return false;
  if (load.entry.phase !== EnginePhase.Decode) return true;
  return isShortReading(scheduler, load, job) || !hasReaders(scheduler, job, nowMs);
}

function isShortReading(scheduler: Scheduler, load: TargetLoad, job: Job): boolean {
  const { maxDecodeReadTokens } = scheduler.options;
  const own = job.parts.at(-1);
  // Settles nearly every question: the last part of a prompt is its own, and seldom in a cache.
  const isOwnLong = own !== undefined && own.tokens > maxDecodeReadTokens;
  if (isOwnLong && !load.cache.tokensByPart.has(own.id)) return false;
  const held = heldParts(load.cache, job.parts);
  return tokensBetween(job.parts, held, job.parts.length) <= maxDecodeReadTokens;
}

/** Whether any engine that only reads may read a job's prompt. */
export function hasReaders(scheduler: Scheduler, job: Job, nowMs: number): boolean {
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
  return placeWith(scheduler, load, waiting, costInLine(scheduler, load, waiting, nowMs), nowMs);
}

function placeWith(
  scheduler: Scheduler,
  load: TargetLoad,
  waiting: Waiting,
  cost: ReadCost,
  nowMs: number,
): Place {
  const pendingMs = pendingReadMs(load, nowMs);
  const startAtMs = nowMs + pendingMs;
  const immediate = offerOf(scheduler, load, waiting, cost, startAtMs);
  let aheadMs = pendingMs;
  for (const other of lineOf(scheduler, load.entry.id)) {
    if (other === waiting) continue;
    const theirs = offerInLine(scheduler, load, other, startAtMs, nowMs);
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
  nowMs: number,
): Offer {
  const cost = readCost(estimateOf(scheduler, waiting, nowMs).holders, load, waiting.job);
  return offerOf(scheduler, load, waiting, cost, startAtMs);
}

/** The same for a job in the engine's line, from what reading it was found to cost a moment ago. */
export function offerInLine(
  scheduler: Scheduler,
  load: TargetLoad,
  waiting: Waiting,
  startAtMs: number,
  nowMs: number,
): Offer {
  const cost = costInLine(scheduler, load, waiting, nowMs);
  return offerOf(scheduler, load, waiting, cost, startAtMs);
}

/**
 * How long what was found out about a job counts. In that time an engine reads a prompt or two,
 * which changes what others cost by less than the fit of its speed is off. Finding it out for each
 * question takes more processor time than a small VM has.
 */
const ESTIMATE_FRESH_MS = 50;

function estimateOf(scheduler: Scheduler, waiting: Waiting, nowMs: number): Estimate {
  const known = waiting.estimate;
  if (known !== null && nowMs - known.atMs < ESTIMATE_FRESH_MS) return known;
  const holders = findHolders(scheduler.targets.values(), waiting.job, nowMs);
  const estimate: Estimate = { atMs: nowMs, holders, own: null };
  waiting.estimate = estimate;
  return estimate;
}

function costInLine(
  scheduler: Scheduler,
  load: TargetLoad,
  waiting: Waiting,
  nowMs: number,
): ReadCost {
  const estimate = estimateOf(scheduler, waiting, nowMs);
  const engineId = load.entry.id;
  if (estimate.own?.engineId === engineId) return estimate.own.cost;
  const cost = readCost(estimate.holders, load, waiting.job);
  if (waiting.target === engineId) estimate.own = { engineId, cost };
  return cost;
}

function offerOf(
  scheduler: Scheduler,
  load: TargetLoad,
  waiting: Waiting,
  { serviceMs, copiedTokens }: ReadCost,
  startAtMs: number,
): Offer {
  const { handoverMs, firstEventMs } = scheduler.options;
  const afterMs = makesTokens(load) ? firstEventMs : firstEventMs + handoverMs;
  return {
    standing: standingOf(scheduler, waiting),
    serviceMs,
    copiedTokens,
    firstEventAtMs: startAtMs + serviceMs + afterMs,
    aimAtMs: waiting.job.aimAtMs,
  };
}

function standingOf(scheduler: Scheduler, waiting: Waiting): Standing {
  const { job, value, returned, sizeClass } = waiting;
  return { value, returned, starved: isStarved(scheduler.fairness, job.route, sizeClass) };
}
