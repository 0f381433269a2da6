/**
 * The waiting lines of a service's engines. One gateway runs the scheduler of a service for all of
 * them: it sees every prompt, so it knows what each engine has still to read and what its cache
 * holds. A job joins the line of the engine that would answer it first; an engine whose line is
 * empty takes a job from another one. State and messages in, decisions out.
 */
import {
  EnginePhase,
  type EngineSpec,
  type PromptPart,
  type TargetEntry,
} from '../forwarding/fleet.js';
import {
  type Decision,
  DecisionKind,
  type Job,
  type JobEvent,
  JobEventKind,
  RefusalReason,
} from './job.js';
import { chooseStreamTarget } from './handover.js';
import type { SchedulerOptions } from './options.js';
import { forgetParts, heldParts, notePrompt, replaceHeld, tokensBetween } from './prompt-cache.js';
import { type ReadCost, readCost } from './read-cost.js';
import {
  type Offer,
  type RouteSizes,
  type Standing,
  compareOffers,
  createRouteSizes,
  isOnTime,
  jobSize,
  jobValue,
  noteSize,
} from './ranking.js';
import { noteReading } from './read-time.js';
import { type Returners, createReturners, isReturner, noteRefused } from './returners.js';
import {
  type SizeClass,
  type SizeFairness,
  createSizeFairness,
  isStarved,
  noteAskedSize,
  noteServedSize,
} from './size-fairness.js';
import {
  type TargetLoad,
  createTargetLoad,
  hasRoom,
  isUsable,
  makesTokens,
  noteEntry,
  noteFailure,
  noteSuccess,
  pendingReadMs,
} from './target-load.js';

/** A job that waits. */
interface Waiting {
  readonly job: Job;
  readonly sizeClass: SizeClass;
  readonly returned: boolean;
  readonly value: number;
  readonly submittedAtMs: number;
  askedAtMs: number;
  /** Since when it cannot be on time any more, null while it can. */
  lateSinceMs: number | null;
  /** The engine whose line it stands in. */
  target: string;
}

/** A job that was given to engines. */
interface Running {
  readonly decision: Decision;
  readonly forgetAtMs: number;
}

/** The scheduler of one service. */
export interface Scheduler {
  readonly options: SchedulerOptions;
  readonly targets: Map<string, TargetLoad>;
  readonly waiting: Map<string, Waiting>;
  /** Decided jobs, so that a repeated question gets the same answer. */
  readonly decided: Map<string, Running>;
  readonly sizes: RouteSizes;
  readonly fairness: SizeFairness;
  readonly returners: Returners;
  /** When it was last asked about a job. */
  askedAtMs: number;
}

/** How long a decision is remembered after its job's deadline. */
const REMEMBER_MS = 1000;

/** A scheduler without targets. */
export function createScheduler(options: SchedulerOptions): Scheduler {
  return {
    options,
    targets: new Map(),
    waiting: new Map(),
    decided: new Map(),
    sizes: createRouteSizes(),
    fairness: createSizeFairness(),
    returners: createReturners(),
    askedAtMs: -Infinity,
  };
}

/** Follows the targets of the service; what is known of those that stay is kept. */
export function noteEngines(
  scheduler: Scheduler,
  entries: readonly TargetEntry[],
  spec: EngineSpec,
): void {
  const present = new Set(entries.map((entry) => entry.id));
  for (const id of scheduler.targets.keys()) {
    if (!present.has(id)) scheduler.targets.delete(id);
  }
  for (const entry of entries) {
    const load = scheduler.targets.get(entry.id);
    if (load === undefined) scheduler.targets.set(entry.id, createTargetLoad(entry, spec));
    else noteEntry(load, entry);
  }
}

/** An engine carries out an order: it takes no work until then, or until its phase has changed. */
export function suspendEngine(scheduler: Scheduler, id: string, untilMs: number): void {
  const load = scheduler.targets.get(id);
  if (load !== undefined) load.suspendedUntilMs = untilMs;
}

/** Takes in what an engine's cache holds; what was given to it since stays noted. */
export function seedCache(scheduler: Scheduler, id: string, parts: readonly PromptPart[]): void {
  const load = scheduler.targets.get(id);
  if (load !== undefined) replaceHeld(load.cache, parts);
}

/**
 * Engines whose caches this scheduler has to ask for: it has not decided anything for a while, so
 * another process may have, and what it knows of them is old. Guards against a change of the
 * process that schedules: it shows as shared parts that all engines read again.
 */
export function enginesToList(scheduler: Scheduler, nowMs: number): readonly string[] {
  const isStale = nowMs - scheduler.askedAtMs > scheduler.options.staleAfterMs;
  scheduler.askedAtMs = nowMs;
  return isStale ? [...scheduler.targets.keys()] : [];
}

/** Requests for which each engine reads or makes tokens, by engine. */
export function engineRequests(scheduler: Scheduler): ReadonlyMap<string, number> {
  const requests = new Map<string, number>();
  for (const [id, load] of scheduler.targets) {
    requests.set(id, new Set([...load.reading.keys(), ...load.streaming.keys()]).size);
  }
  return requests;
}

/** Takes a job in, or hears again of one that waits or is decided. */
export function submitJob(scheduler: Scheduler, job: Job, nowMs: number): readonly Decision[] {
  const decided = scheduler.decided.get(job.id);
  if (decided !== undefined) return [decided.decision];
  const known = scheduler.waiting.get(job.id);
  if (known !== undefined) {
    known.askedAtMs = nowMs;
    return [];
  }
  const waiting = admit(scheduler, job, nowMs);
  const place = bestPlace(scheduler, waiting, nowMs);
  if (place === null) return [refuse(scheduler, job, RefusalReason.NoTarget, 0, nowMs)];
  const refusal = admissionRefusal(scheduler, waiting, place, nowMs);
  if (refusal !== null) return [refuse(scheduler, job, refusal, place.aheadMs, nowMs)];
  waiting.target = place.load.entry.id;
  scheduler.waiting.set(job.id, waiting);
  return dispatch(scheduler, nowMs);
}

/** Takes in what a gateway reports of its jobs. */
export function noteJobEvents(
  scheduler: Scheduler,
  events: readonly JobEvent[],
  nowMs: number,
): readonly Decision[] {
  for (const event of events) noteJobEvent(scheduler, event, nowMs);
  return dispatch(scheduler, nowMs);
}

/** A caller left before its job was decided. */
export function withdrawJob(scheduler: Scheduler, jobId: string): void {
  scheduler.waiting.delete(jobId);
}

/** Lets time pass: jobs that became hopeless are refused, engines that fell idle get work. */
export function tickScheduler(scheduler: Scheduler, nowMs: number): readonly Decision[] {
  for (const [id, running] of scheduler.decided) {
    if (running.forgetAtMs > nowMs) continue;
    scheduler.decided.delete(id);
    forgetJob(scheduler, id);
  }
  return [...refuseHopeless(scheduler, nowMs), ...dispatch(scheduler, nowMs)];
}

function admit(scheduler: Scheduler, job: Job, nowMs: number): Waiting {
  noteSize(scheduler.sizes, job);
  return {
    job,
    sizeClass: noteAskedSize(scheduler.fairness, job.route, jobSize(job)),
    returned: isReturner(scheduler.returners, job, nowMs),
    value: jobValue(scheduler.sizes, job),
    submittedAtMs: nowMs,
    askedAtMs: nowMs,
    lateSinceMs: null,
    target: '',
  };
}

function standingOf(scheduler: Scheduler, waiting: Waiting): Standing {
  const { job, value, returned, sizeClass } = waiting;
  return { value, returned, starved: isStarved(scheduler.fairness, job.route, sizeClass) };
}

/** Where a job would wait, and for how long. */
interface Place {
  readonly load: TargetLoad;
  readonly offer: Offer;
  /** Reading that the engine does before it. */
  readonly aheadMs: number;
}

function bestPlace(scheduler: Scheduler, waiting: Waiting, nowMs: number): Place | null {
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
function mayRead(scheduler: Scheduler, load: TargetLoad, job: Job, nowMs: number): boolean {
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

function copyCostMs(scheduler: Scheduler, offer: Offer): number {
  return (offer.copiedTokens / 1000) * scheduler.options.copyMsPerThousand;
}

function placeAt(scheduler: Scheduler, load: TargetLoad, waiting: Waiting, nowMs: number): Place {
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

function makeOffer(
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

function lineOf(scheduler: Scheduler, load: TargetLoad): readonly Waiting[] {
  return [...scheduler.waiting.values()].filter((each) => each.target === load.entry.id);
}

/**
 * Whether a job is turned away at its arrival. Guards against a line that only grows: it shows as
 * every caller waiting until just before its patience ends. What can't be read before the caller
 * leaves is refused at once; of what would be late, only as much waits as an engine can soon do.
 */
function admissionRefusal(
  scheduler: Scheduler,
  waiting: Waiting,
  place: Place,
  nowMs: number,
): RefusalReason | null {
  const { offer } = place;
  if (offer.firstEventAtMs > waiting.job.deadlineAtMs) return RefusalReason.TooLate;
  if (isOnTime(offer)) return null;
  const isIdle = place.aheadMs <= scheduler.options.lookaheadMs;
  const backlogMs = lateBacklogMs(scheduler, place.load, nowMs);
  const { returned, starved } = offer.standing;
  const ownMs = returned || starved ? 0 : offer.serviceMs;
  const isBacklogged = backlogMs + ownMs > scheduler.options.maxLateBacklogMs;
  return !isIdle && isBacklogged ? RefusalReason.Overload : null;
}

function lateBacklogMs(scheduler: Scheduler, load: TargetLoad, nowMs: number): number {
  let backlogMs = 0;
  for (const waiting of lineOf(scheduler, load)) {
    const offer = makeOffer(scheduler, load, waiting, nowMs + pendingReadMs(load, nowMs));
    if (!isOnTime(offer)) backlogMs += offer.serviceMs;
  }
  return backlogMs;
}

function refuse(
  scheduler: Scheduler,
  job: Job,
  reason: RefusalReason,
  aheadMs: number,
  nowMs: number,
): Decision {
  const retryAfterMs = Math.max(scheduler.options.minRetryAfterMs, aheadMs);
  const decision: Decision = { kind: DecisionKind.Refuse, jobId: job.id, reason, retryAfterMs };
  noteRefused(scheduler.returners, job, nowMs);
  remember(scheduler, job, decision, nowMs);
  return decision;
}

function remember(scheduler: Scheduler, job: Job, decision: Decision, nowMs: number): void {
  scheduler.waiting.delete(job.id);
  const forgetAtMs = Math.max(nowMs, job.deadlineAtMs) + REMEMBER_MS;
  scheduler.decided.set(job.id, { decision, forgetAtMs });
}

function refuseHopeless(scheduler: Scheduler, nowMs: number): readonly Decision[] {
  const decisions: Decision[] = [];
  for (const waiting of [...scheduler.waiting.values()]) {
    const { job, askedAtMs, target } = waiting;
    if (askedAtMs + scheduler.options.forgottenAfterMs < nowMs) {
      scheduler.waiting.delete(job.id);
      continue;
    }
    const load = scheduler.targets.get(target);
    if (load === undefined) {
      if (job.deadlineAtMs > nowMs) continue;
      decisions.push(refuse(scheduler, job, RefusalReason.NoTarget, 0, nowMs));
      continue;
    }
    const aheadMs = pendingReadMs(load, nowMs);
    const reason = hopelessReason(scheduler, waiting, load, nowMs);
    if (reason !== null) decisions.push(refuse(scheduler, job, reason, aheadMs, nowMs));
  }
  return decisions;
}

/** Why a waiting job should wait no longer, null while it should. */
function hopelessReason(
  scheduler: Scheduler,
  waiting: Waiting,
  load: TargetLoad,
  nowMs: number,
): RefusalReason | null {
  const offer = makeOffer(scheduler, load, waiting, nowMs + pendingReadMs(load, nowMs));
  if (offer.firstEventAtMs > waiting.job.deadlineAtMs) return RefusalReason.TooLate;
  if (isOnTime(offer)) {
    waiting.lateSinceMs = null;
    return null;
  }
  waiting.lateSinceMs ??= nowMs;
  const lateForMs = nowMs - waiting.lateSinceMs;
  return lateForMs > scheduler.options.maxLateWaitMs ? RefusalReason.Overload : null;
}

function dispatch(scheduler: Scheduler, nowMs: number): readonly Decision[] {
  const decisions: Decision[] = [];
  moveFromUnusable(scheduler, nowMs);
  for (const load of scheduler.targets.values()) {
    while (hasRoom(load, scheduler.options, nowMs)) {
      const next = nextOf(scheduler, load, nowMs) ?? stealFor(scheduler, load, nowMs);
      if (next === null) break;
      const decision = grant(scheduler, load, next, nowMs);
      if (decision === null) break;
      decisions.push(decision);
    }
  }
  return decisions;
}

/** A job whose engine left or failed joins the line of another one. */
function moveFromUnusable(scheduler: Scheduler, nowMs: number): void {
  for (const waiting of scheduler.waiting.values()) {
    const load = scheduler.targets.get(waiting.target);
    if (load !== undefined && isUsable(load, nowMs)) continue;
    const place = bestPlace(scheduler, waiting, nowMs);
    if (place !== null) waiting.target = place.load.entry.id;
  }
}

function nextOf(scheduler: Scheduler, load: TargetLoad, nowMs: number): Waiting | null {
  const startAtMs = nowMs + pendingReadMs(load, nowMs);
  let best: { readonly waiting: Waiting; readonly offer: Offer } | null = null;
  for (const waiting of lineOf(scheduler, load)) {
    const offer = makeOffer(scheduler, load, waiting, startAtMs);
    if (best === null || compareOffers(offer, best.offer) < 0) best = { waiting, offer };
  }
  return best?.waiting ?? null;
}

/**
 * The job of another line that an idle engine takes: one that it would answer sooner than the
 * engine whose line it stands in, counting what is read again against it.
 */
function stealFor(scheduler: Scheduler, load: TargetLoad, nowMs: number): Waiting | null {
  let best: { readonly waiting: Waiting; readonly offer: Offer } | null = null;
  for (const waiting of scheduler.waiting.values()) {
    const other = scheduler.targets.get(waiting.target);
    if (other === undefined || !mayRead(scheduler, load, waiting.job, nowMs)) continue;
    const there = placeAt(scheduler, other, waiting, nowMs);
    const here = makeOffer(scheduler, load, waiting, nowMs);
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
  const stream = makesTokens(load)
    ? load
    : chooseStreamTarget(scheduler.targets.values(), job, load, nowMs);
  if (stream === null) return null;
  const cost: ReadCost = readCost(scheduler.targets.values(), load, job, nowMs);
  noteServedSize(scheduler.fairness, job.route, waiting.sizeClass);
  load.reading.set(job.id, {
    jobId: job.id,
    parts: job.parts,
    heldParts: heldParts(load.cache, job.parts),
    tokens: cost.missingTokens,
    predictedMs: cost.serviceMs,
    startedAtMs: nowMs,
  });
  // Noted at once, so that those who share its parts wait for this reading.
  notePrompt(load.cache, job.parts);
  const heldTokens = job.parts.reduce((sum, part) => sum + part.tokens, job.outputTokens);
  stream.streaming.set(job.id, heldTokens);
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

function noteJobEvent(scheduler: Scheduler, event: JobEvent, nowMs: number): void {
  const load = scheduler.targets.get(event.target);
  if (event.kind === JobEventKind.Ended) forgetJob(scheduler, event.jobId);
  if (load === undefined) return;
  if (event.kind === JobEventKind.Failed) noteFailure(load, scheduler.options, nowMs);
  if (event.kind === JobEventKind.Read) noteRead(scheduler, load, event.jobId, nowMs);
}

/** Nothing of a job runs any more; a prompt that was not read to its end is not in the cache. */
function forgetJob(scheduler: Scheduler, jobId: string): void {
  for (const load of scheduler.targets.values()) {
    const reading = load.reading.get(jobId);
    if (reading !== undefined) forgetParts(load.cache, reading.parts.slice(reading.heldParts));
    load.reading.delete(jobId);
    load.streaming.delete(jobId);
  }
}

function noteRead(scheduler: Scheduler, load: TargetLoad, jobId: string, nowMs: number): void {
  noteSuccess(load);
  const reading = load.reading.get(jobId);
  if (reading === undefined) return;
  load.reading.delete(jobId);
  // The engine that goes on keeps what it fetches like what it read itself.
  for (const other of scheduler.targets.values()) {
    if (other !== load && other.streaming.has(jobId)) notePrompt(other.cache, reading.parts);
  }
  const begunAtMs = Math.max(reading.startedAtMs, load.lastReadEndAtMs);
  load.lastReadEndAtMs = nowMs;
  noteReading(load.readTime, reading.tokens, nowMs - begunAtMs);
}
