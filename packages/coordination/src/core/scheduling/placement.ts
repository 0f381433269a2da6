/**
 * Chooses the engine whose queue a job joins: the one that would answer it first, after adding
 * penalties for recomputing cached parts and for copies that evict other parts from the engine's
 * memory.
 */
import { EnginePhase } from '../forwarding/fleet.js';
import { hasConnection } from './connections.js';
import { prefillDomainCostMs } from './domain-cost.js';
import { memoryPenalty } from './engine-memory.js';
import type { Job } from './job.js';
import { countCachedParts, tokensBetween } from './prompt-cache.js';
import { isRouteStarved, jobOrderOf } from './job-order.js';
import type { ServiceEstimate, Standing } from './ranking.js';
import { type PrefillCost, findCacheHolders, prefillCost } from './prefill-cost.js';
import { prefillLatencyMs } from './prefill-time.js';
import type { CachedCost, QueuedJob, Scheduler } from './scheduler-state.js';
import { goalAtMs, precedesNewJobs } from './retry-after.js';
import { isStarved } from './size-fairness.js';
import { isWorkspaceStarved } from './workspace-fairness.js';
import { type TargetLoad, canDecode, isUsable, pendingPrefillMs } from './target-load.js';
import { queueOf } from './job-queues.js';

/** An engine on which a job could be queued, with the predicted result. */
export interface PlacementOption {
  readonly load: TargetLoad;
  readonly estimate: ServiceEstimate;
  /** Predicted prefill time that is ahead of the job on the engine. */
  readonly aheadMs: number;
}

/**
 * Returns the engine that would answer a job first with penalties included, or null if no engine
 * may take the job.
 */
export function choosePlacement(
  scheduler: Scheduler,
  queuedJob: QueuedJob,
  nowMs: number,
): PlacementOption | null {
  const options: PlacementOption[] = [];
  const { holders } = cachedCostOf(scheduler, queuedJob, nowMs);
  for (const load of scheduler.targets.values()) {
    if (!mayPrefill(scheduler, load, queuedJob.job, nowMs)) continue;
    options.push(
      predictPlacementWithCost(
        scheduler,
        load,
        queuedJob,
        prefillCost(holders, load, queuedJob.job),
        nowMs,
      ),
    );
  }
  const leastWorkMs = Math.min(...options.map(averageWorkMs));
  const penalizedAtMs = (option: PlacementOption): number =>
    option.estimate.firstEventAtMs +
    connectCostMs(scheduler, option.load, queuedJob.job, nowMs) +
    memoryPenalty(scheduler, option.load, queuedJob.job) +
    scheduler.options.recomputeWeight * (averageWorkMs(option) - leastWorkMs) +
    copyPenaltyMs(scheduler, option.estimate) +
    prefillDomainCostMs(scheduler, option.load, queuedJob.job, scheduler.decodeDomains) +
    option.load.speed.prefillBalanceMs;
  let best: PlacementOption | null = null;
  let lowestMs = Infinity;
  for (const option of options) {
    const optionMs = penalizedAtMs(option);
    if (best !== null && optionMs >= lowestMs) continue;
    best = option;
    lowestMs = optionMs;
  }
  return best;
}

/**
 * Returns the time that an engine of average speed would need in its place; more of it is work that
 * another engine would have saved.
 */
export function averageWorkMs({
  load,
  estimate,
}: Pick<PlacementOption, 'load' | 'estimate'>): number {
  return estimate.serviceMs / load.speed.prefillSlowness;
}

/** Returns the time that the job's gateway needs to connect to an engine. */
function connectCostMs(scheduler: Scheduler, load: TargetLoad, job: Job, nowMs: number): number {
  const { connectMs, connectionKeepAliveMs } = scheduler.options;
  const { connections } = scheduler;
  const { id } = load.entry;
  return hasConnection(connections, job.gateway, id, connectionKeepAliveMs, nowMs) ? 0 : connectMs;
}

/** Returns whether an engine may prefill a job's prompt. */
export function mayPrefill(
  scheduler: Scheduler,
  load: TargetLoad,
  job: Job,
  nowMs: number,
): boolean {
  if (!isUsable(load, nowMs) || job.avoid.includes(load.entry.id)) return false;
  if (load.entry.phase !== EnginePhase.Decode) return true;
  return isShortPrefill(scheduler, load, job) || !hasPrefillEngine(scheduler, job, nowMs);
}

function isShortPrefill(scheduler: Scheduler, load: TargetLoad, job: Job): boolean {
  const { maxDecodePrefillTokens } = scheduler.options;
  const ownPart = job.parts.at(-1);
  // Decides most cases without a full lookup: the last part is unique to the request and rarely
  // cached.
  const isOwnPartLong = ownPart !== undefined && ownPart.tokens > maxDecodePrefillTokens;
  if (isOwnPartLong && !load.cache.tokensByPart.has(ownPart.id)) return false;
  const cachedParts = countCachedParts(load.cache, job.parts);
  return tokensBetween(job.parts, cachedParts, job.parts.length) <= maxDecodePrefillTokens;
}

/** Returns whether any prefill engine may prefill a job's prompt. */
export function hasPrefillEngine(scheduler: Scheduler, job: Job, nowMs: number): boolean {
  for (const load of scheduler.targets.values()) {
    const isPrefillEngine = load.entry.phase === EnginePhase.Prefill;
    if (isPrefillEngine && isUsable(load, nowMs) && !job.avoid.includes(load.entry.id)) return true;
  }
  return false;
}

const THOUSAND_TOKENS = 1000;

/** Returns the penalty, in milliseconds of waiting, for the tokens that would be copied. */
export function copyPenaltyMs(scheduler: Scheduler, estimate: ServiceEstimate): number {
  return (estimate.copiedTokens / THOUSAND_TOKENS) * scheduler.options.copyPenaltyMsPerThousand;
}

/**
 * Predicts the result of queuing a job on an engine, behind the jobs that are worth more per
 * millisecond of engine time.
 */
export function predictPlacement(
  scheduler: Scheduler,
  load: TargetLoad,
  queuedJob: QueuedJob,
  nowMs: number,
): PlacementOption {
  return predictPlacementWithCost(
    scheduler,
    load,
    queuedJob,
    queuedPrefillCost(scheduler, load, queuedJob, nowMs),
    nowMs,
  );
}

function predictPlacementWithCost(
  scheduler: Scheduler,
  load: TargetLoad,
  queuedJob: QueuedJob,
  cost: PrefillCost,
  nowMs: number,
): PlacementOption {
  const pendingMs = pendingPrefillMs(load, nowMs);
  const startAtMs = nowMs + pendingMs;
  const immediate = toServiceEstimate(scheduler, load, queuedJob, cost, startAtMs);
  const compare = jobOrderOf(scheduler);
  let aheadMs = pendingMs;
  for (const other of queueOf(scheduler, load.entry.id)) {
    if (other === queuedJob) continue;
    const otherEstimate = estimateQueuedService(scheduler, load, other, startAtMs, nowMs);
    if (compare(otherEstimate, immediate) <= 0) aheadMs += otherEstimate.serviceMs;
  }
  const estimate = { ...immediate, firstEventAtMs: immediate.firstEventAtMs + aheadMs - pendingMs };
  return { load, estimate, aheadMs };
}

/** Estimates how an engine that starts at the given time would serve a job. */
export function estimateService(
  scheduler: Scheduler,
  load: TargetLoad,
  queuedJob: QueuedJob,
  startAtMs: number,
  nowMs: number,
): ServiceEstimate {
  const cost = prefillCost(cachedCostOf(scheduler, queuedJob, nowMs).holders, load, queuedJob.job);
  return toServiceEstimate(scheduler, load, queuedJob, cost, startAtMs);
}

/** Estimates the same for a job in the engine's own queue, using the cached prefill cost. */
export function estimateQueuedService(
  scheduler: Scheduler,
  load: TargetLoad,
  queuedJob: QueuedJob,
  startAtMs: number,
  nowMs: number,
): ServiceEstimate {
  const cost = queuedPrefillCost(scheduler, load, queuedJob, nowMs);
  return toServiceEstimate(scheduler, load, queuedJob, cost, startAtMs);
}

/**
 * How long the cached cost of a job stays valid. In that time an engine prefills one or two
 * prompts, which changes the cost of other prompts by less than the error of the speed estimate.
 * Computing the cost on every lookup needs more CPU time than a small VM has.
 */
const COST_CACHE_TTL_MS = 50;

function cachedCostOf(scheduler: Scheduler, queuedJob: QueuedJob, nowMs: number): CachedCost {
  const previous = queuedJob.cachedCost;
  if (previous !== null && nowMs - previous.atMs < COST_CACHE_TTL_MS) return previous;
  const holders = findCacheHolders(scheduler.targets.values(), queuedJob.job, nowMs);
  const cached: CachedCost = { atMs: nowMs, holders, own: null };
  queuedJob.cachedCost = cached;
  return cached;
}

function queuedPrefillCost(
  scheduler: Scheduler,
  load: TargetLoad,
  queuedJob: QueuedJob,
  nowMs: number,
): PrefillCost {
  const cached = cachedCostOf(scheduler, queuedJob, nowMs);
  const engineId = load.entry.id;
  if (cached.own?.engineId === engineId) return cached.own.cost;
  const cost = prefillCost(cached.holders, load, queuedJob.job);
  if (queuedJob.target === engineId) cached.own = { engineId, cost };
  return cost;
}

function toServiceEstimate(
  scheduler: Scheduler,
  load: TargetLoad,
  queuedJob: QueuedJob,
  { serviceMs, copiedTokens }: PrefillCost,
  startAtMs: number,
): ServiceEstimate {
  const { handoverMs, firstEventMs } = scheduler.options;
  const latencyMs = prefillLatencyMs(load.prefillTimeModel);
  const afterPrefillMs = canDecode(load) ? firstEventMs : firstEventMs + handoverMs;
  return {
    standing: standingOf(scheduler, queuedJob),
    serviceMs,
    copiedTokens,
    firstEventAtMs: startAtMs + latencyMs + serviceMs + afterPrefillMs,
    aimAtMs: goalAtMs(scheduler, queuedJob),
  };
}

function standingOf(scheduler: Scheduler, queuedJob: QueuedJob): Standing {
  const { job, value, isRetry, sizeClass } = queuedJob;
  const { fairness, workspaces } = scheduler;
  const isSizeStarved = isStarved(fairness, job.route, sizeClass);
  const isAnyStarved =
    isSizeStarved ||
    isWorkspaceStarved(workspaces, job.workspace) ||
    isRouteStarved(scheduler, queuedJob);
  return {
    value,
    priority: job.priority,
    isRetry,
    precedesNewJobs: precedesNewJobs(scheduler, queuedJob),
    isStarved: isAnyStarved,
  };
}
