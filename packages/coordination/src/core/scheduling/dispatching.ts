/**
 * Gives jobs to engines that have room: the best of an engine's own line, or where that is empty one
 * of another line that it would answer sooner.
 */
import { EnginePhase } from '../forwarding/fleet.js';
import { noteConnection } from './connections.js';
import { chooseStreamTarget } from './handover.js';
import { type Decision, DecisionKind } from './job.js';
import { bestPlace, copyCostMs, hasReaders, makeOffer, mayRead, placeAt } from './placing.js';
import { heldParts, notePrompt } from './prompt-cache.js';
import { type Offer, compareOffers } from './ranking.js';
import { type ReadCost, findHolders, readCost } from './read-cost.js';
import { rateLimitRefusal } from './rate-limited.js';
import { remember } from './refusing.js';
import type { Scheduler, Waiting } from './scheduler-state.js';
import { noteServedSize } from './size-fairness.js';
import {
  type TargetLoad,
  beginReading,
  hasRoom,
  isUsable,
  makesTokens,
  pendingReadMs,
} from './target-load.js';
import { changeLine, lineOf } from './waiting-lines.js';

/** Gives each engine that has room its next job. */
export function dispatch(scheduler: Scheduler, nowMs: number): readonly Decision[] {
  const decisions: Decision[] = [];
  decisions.push(...moveFromUnusable(scheduler, nowMs));
  if (scheduler.waiting.size === 0) return decisions;
  const steals = maySteal(scheduler, nowMs);
  const forDecode = steals ? jobsForDecode(scheduler, nowMs) : [];
  for (const load of scheduler.targets.values()) {
    const isDecode = load.entry.phase === EnginePhase.Decode;
    while (hasRoom(load, scheduler.options, nowMs)) {
      const others = isDecode ? forDecode : scheduler.waiting.values();
      const next =
        nextOf(scheduler, load, nowMs) ??
        (steals ? stealFor(scheduler, load, others, nowMs) : null);
      if (next === null) break;
      const decision =
        grant(scheduler, load, next, nowMs) ?? rateLimitRefusal(scheduler, next.job, nowMs);
      if (decision === null) break;
      decisions.push(decision);
    }
  }
  return decisions;
}

/**
 * Whether idle engines look at the other lines now. Guards against looking at each event, of which a
 * request brings three or more: every idle engine weighs every waiting job. While code is cold it
 * shows as a scheduler that takes several milliseconds for a decision and falls behind its callers.
 */
function maySteal(scheduler: Scheduler, nowMs: number): boolean {
  if (nowMs - scheduler.stoleAtMs < scheduler.options.stealEveryMs) return false;
  scheduler.stoleAtMs = nowMs;
  return true;
}

/**
 * Jobs that engines which make tokens may read at all: most are too long for them. Looked up once
 * and not for each of these engines, of which most have room all the time: that took a third of the
 * processor time of a scheduler under overload.
 */
function jobsForDecode(scheduler: Scheduler, nowMs: number): readonly Waiting[] {
  return [...scheduler.waiting.values()].filter(({ job, returned }) => {
    const ownTokens = job.parts.at(-1)?.tokens ?? 0;
    if (ownTokens <= scheduler.options.maxDecodeReadTokens || returned) return true;
    return !hasReaders(scheduler, job, nowMs);
  });
}

/**
 * A job whose engine left, failed or takes no more for now joins the line of another one; it is
 * refused where only rate limits keep it from all of them.
 */
function moveFromUnusable(scheduler: Scheduler, nowMs: number): readonly Decision[] {
  const refusals: Decision[] = [];
  for (const waiting of [...scheduler.waiting.values()]) {
    const load = scheduler.targets.get(waiting.target);
    if (load !== undefined && isUsable(load, nowMs)) continue;
    const place = bestPlace(scheduler, waiting, nowMs);
    if (place !== null) changeLine(scheduler, waiting, place.load.entry.id);
    else {
      const refusal = rateLimitRefusal(scheduler, waiting.job, nowMs);
      if (refusal !== null) refusals.push(refusal);
    }
  }
  return refusals;
}

function nextOf(scheduler: Scheduler, load: TargetLoad, nowMs: number): Waiting | null {
  const startAtMs = nowMs + pendingReadMs(load, nowMs);
  let best: { readonly waiting: Waiting; readonly offer: Offer } | null = null;
  for (const waiting of lineOf(scheduler, load.entry.id)) {
    const offer = makeOffer(scheduler, load, waiting, startAtMs, nowMs);
    if (best === null || compareOffers(offer, best.offer) < 0) best = { waiting, offer };
  }
  return best?.waiting ?? null;
}

/**
 * The job of another line that an idle engine takes: one that it would answer sooner than the
 * engine whose line it stands in, counting what is read again against it.
 */
function stealFor(
  scheduler: Scheduler,
  load: TargetLoad,
  others: Iterable<Waiting>,
  nowMs: number,
): Waiting | null {
  let best: { readonly waiting: Waiting; readonly offer: Offer } | null = null;
  for (const waiting of others) {
    if (!scheduler.waiting.has(waiting.job.id)) continue;
    const other = scheduler.targets.get(waiting.target);
    if (other === undefined || !mayRead(scheduler, load, waiting.job, nowMs)) continue;
    const there = placeAt(scheduler, other, waiting, nowMs);
    const here = makeOffer(scheduler, load, waiting, nowMs, nowMs);
    const extraMs = Math.max(0, here.serviceMs - there.offer.serviceMs);
    const weighedAtMs =
      here.firstEventAtMs + scheduler.options.rereadWeight * extraMs + copyCostMs(scheduler, here);
    if (weighedAtMs >= there.offer.firstEventAtMs + copyCostMs(scheduler, there.offer)) continue;
    if (best === null || compareOffers(here, best.offer) < 0) best = { waiting, offer: here };
  }
  return best?.waiting ?? null;
}

function grant(
  scheduler: Scheduler,
  load: TargetLoad,
  waiting: Waiting,
  nowMs: number,
): Decision | null {
  const { job } = waiting;
  const stream = makesTokens(load) ? load : chooseStreamTarget(scheduler, job, load, nowMs);
  if (stream === null) return null;
  const holders = findHolders(scheduler.targets.values(), job, nowMs);
  const cost: ReadCost = readCost(holders, load, job);
  noteServedSize(scheduler.fairness, job.route, waiting.sizeClass);
  beginReading(load, {
    jobId: job.id,
    parts: job.parts,
    heldParts: heldParts(load.cache, job.parts),
    tokens: cost.missingTokens,
    predictedMs: cost.serviceMs,
    startedAtMs: nowMs,
  });
  for (const { entry } of new Set([load, stream])) scheduler.permits.take(entry.id);
  // Noted at once, so that those who share its parts wait for this reading.
  notePrompt(load.cache, job.parts);
  const heldTokens = job.parts.reduce((sum, part) => sum + part.tokens, job.outputTokens);
  stream.streaming.set(job.id, heldTokens);
  for (const { entry } of [load, stream]) {
    noteConnection(scheduler.connections, job.gateway, entry.id, nowMs);
  }
  const decision: Decision = {
    kind: DecisionKind.Run,
    jobId: job.id,
    plan: {
      readAt: load.entry.id,
      streamAt: stream === load ? null : stream.entry.id,
      fetchFrom: cost.fetchFrom?.entry.id ?? null,
      missingTokens: cost.missingTokens,
      predictedReadMs: cost.serviceMs,
      waitedMs: nowMs - waiting.submittedAtMs,
    },
  };
  remember(scheduler, job, decision, nowMs);
  return decision;
}
