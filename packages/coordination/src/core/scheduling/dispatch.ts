/**
 * Dispatches queued jobs to engines with free capacity. Each engine takes the most valuable job of
 * its own queue. If that queue is empty, it steals a job from another queue that it can answer
 * sooner.
 */
import { EnginePhase } from '../forwarding/fleet.js';
import { recordConnection } from './connections.js';
import { chooseDecodeEngine } from './decode-engine.js';
import { prefillDomainCostMs } from './domain-cost.js';
import { notePrefillGiven, refreshSpeed } from './engine-speeds.js';
import { type Decision, DecisionKind, type Job } from './job.js';
import { lacksRoom, tokensInMemory } from './engine-memory.js';
import { jobOrderOf } from './job-order.js';
import { isDeferrable, isIdle } from './late-jobs.js';
import {
  averageWorkMs,
  choosePlacement,
  copyPenaltyMs,
  estimateQueuedService,
  estimateService,
  hasPrefillEngine,
  mayPrefill,
  predictPlacement,
} from './placement.js';
import { countCachedParts, recordPrompt } from './prompt-cache.js';
import type { ServiceEstimate } from './ranking.js';
import { type PrefillCost, findCacheHolders, prefillCost } from './prefill-cost.js';
import { prefillLatencyMs } from './prefill-time.js';
import { rateLimitRefusal } from './rate-limit-refusal.js';
import { recordDecision } from './load-shedding.js';
import type { QueuedJob, Scheduler } from './scheduler-state.js';
import { recordServedSize } from './size-fairness.js';
import { recordWorkspaceServed } from './workspace-fairness.js';
import {
  type TargetLoad,
  beginPrefill,
  beginStream,
  canDecode,
  hasCapacity,
  isUsable,
  pendingPrefillMs,
} from './target-load.js';
import { unavailableRefusal } from './unavailable-refusal.js';
import { moveToQueue, queueOf } from './job-queues.js';

/** Starts queued jobs on every engine with free capacity. */
export function dispatch(scheduler: Scheduler, nowMs: number): readonly Decision[] {
  const decisions: Decision[] = [];
  for (const { speed } of scheduler.targets.values()) refreshSpeed(speed, nowMs);
  decisions.push(...requeueFromUnusable(scheduler, nowMs));
  if (scheduler.queuedJobs.size === 0) return decisions;
  const canSteal = claimStealTurn(scheduler, nowMs);
  const decodeCandidates = canSteal ? jobsAllowedOnDecode(scheduler, nowMs) : [];
  for (const load of scheduler.targets.values()) {
    const isDecode = load.entry.phase === EnginePhase.Decode;
    while (hasCapacity(load, scheduler.options, nowMs)) {
      const candidates = isDecode ? decodeCandidates : scheduler.queuedJobs.values();
      const next = chooseNextJob(scheduler, load, canSteal ? candidates : [], nowMs);
      if (next === null) break;
      if (moveToEngineWithRoom(scheduler, load, next, nowMs)) continue;
      const decision =
        startJob(scheduler, load, next, nowMs) ?? refusalOf(scheduler, next.job, nowMs);
      if (decision === null) break;
      decisions.push(decision);
    }
  }
  return decisions;
}

/**
 * Returns whether idle engines may steal work now, and records the time if so. Stealing is limited
 * to one pass per `stealIntervalMs` because every idle engine evaluates every queued job, and a
 * request triggers three or more events. Without this limit a scheduler whose code is not yet
 * compiled takes several milliseconds per decision and falls behind its callers.
 */
function claimStealTurn(scheduler: Scheduler, nowMs: number): boolean {
  if (nowMs - scheduler.lastStealAtMs < scheduler.options.stealIntervalMs) return false;
  scheduler.lastStealAtMs = nowMs;
  return true;
}

/**
 * Returns the queued jobs that decode engines may prefill; most prompts are too long for them. The
 * list is computed once per dispatch rather than once per decode engine: nearly all decode engines
 * have free capacity at any time, and repeating the filter took a third of the scheduler's CPU time
 * under overload.
 */
function jobsAllowedOnDecode(scheduler: Scheduler, nowMs: number): readonly QueuedJob[] {
  return [...scheduler.queuedJobs.values()].filter(({ job, isRetry }) => {
    const ownTokens = job.parts.at(-1)?.tokens ?? 0;
    if (ownTokens <= scheduler.options.maxDecodePrefillTokens || isRetry) return true;
    return !hasPrefillEngine(scheduler, job, nowMs);
  });
}

/**
 * Moves jobs whose engine left, failed, is suspended or must be avoided to the queue of another
 * engine. Refuses a job that no engine will take.
 */
function requeueFromUnusable(scheduler: Scheduler, nowMs: number): readonly Decision[] {
  const refusals: Decision[] = [];
  for (const queuedJob of [...scheduler.queuedJobs.values()]) {
    const load = scheduler.targets.get(queuedJob.target);
    const isAvoided = queuedJob.job.avoid.includes(queuedJob.target);
    if (load !== undefined && isUsable(load, nowMs) && !isAvoided) continue;
    const placement = choosePlacement(scheduler, queuedJob, nowMs);
    if (placement !== null) moveToQueue(scheduler, queuedJob, placement.load.entry.id);
    else {
      const refusal = refusalOf(scheduler, queuedJob.job, nowMs);
      if (refusal !== null) refusals.push(refusal);
    }
  }
  return refusals;
}

/**
 * Moves a job that its engine has no room for to another engine that has. Returns whether it was
 * moved.
 */
function moveToEngineWithRoom(
  scheduler: Scheduler,
  load: TargetLoad,
  queuedJob: QueuedJob,
  nowMs: number,
): boolean {
  if (!lacksRoom(scheduler, load, queuedJob.job)) return false;
  const placement = choosePlacement(scheduler, queuedJob, nowMs);
  if (placement === null || placement.load === load) return false;
  if (lacksRoom(scheduler, placement.load, queuedJob.job)) return false;
  moveToQueue(scheduler, queuedJob, placement.load.entry.id);
  return true;
}

/** Refuses a job that waiting does not help; returns null otherwise. */
function refusalOf(scheduler: Scheduler, job: Job, nowMs: number): Decision | null {
  return rateLimitRefusal(scheduler, job, nowMs) ?? unavailableRefusal(scheduler, job, nowMs);
}

/**
 * Returns the job that an engine starts next, or null. A job that may be deferred is started only if
 * the engine has nothing else to do and there is no other job to steal.
 */
function chooseNextJob(
  scheduler: Scheduler,
  load: TargetLoad,
  stealable: Iterable<QueuedJob>,
  nowMs: number,
): QueuedJob | null {
  const own = nextQueuedJob(scheduler, load, nowMs);
  if (own !== null && !isDeferrable(scheduler, own.estimate)) return own.queuedJob;
  const stolen = chooseJobToSteal(scheduler, load, stealable, nowMs);
  if (stolen !== null && !isDeferrable(scheduler, stolen.estimate)) return stolen.queuedJob;
  return isIdle(load, nowMs) ? ((own ?? stolen)?.queuedJob ?? null) : null;
}

/** A candidate and the predicted result. */
interface RankedJob {
  readonly queuedJob: QueuedJob;
  readonly estimate: ServiceEstimate;
}

function nextQueuedJob(scheduler: Scheduler, load: TargetLoad, nowMs: number): RankedJob | null {
  const startAtMs = nowMs + pendingPrefillMs(load, nowMs);
  const compare = jobOrderOf(scheduler);
  let best: RankedJob | null = null;
  for (const queuedJob of queueOf(scheduler, load.entry.id)) {
    const estimate = estimateQueuedService(scheduler, load, queuedJob, startAtMs, nowMs);
    if (best === null || compare(estimate, best.estimate) < 0) best = { queuedJob, estimate };
  }
  return best;
}

/**
 * Returns the job that an idle engine steals from another queue, or null. A job qualifies if this
 * engine would answer it sooner than its current engine, after adding penalties for extra prefill
 * time and for copied cache contents.
 */
function chooseJobToSteal(
  scheduler: Scheduler,
  load: TargetLoad,
  candidates: Iterable<QueuedJob>,
  nowMs: number,
): RankedJob | null {
  const compare = jobOrderOf(scheduler);
  let best: RankedJob | null = null;
  for (const queuedJob of candidates) {
    if (!scheduler.queuedJobs.has(queuedJob.job.id)) continue;
    const currentEngine = scheduler.targets.get(queuedJob.target);
    if (currentEngine === undefined || !mayPrefill(scheduler, load, queuedJob.job, nowMs)) continue;
    if (lacksRoom(scheduler, load, queuedJob.job)) continue;
    const stay = predictPlacement(scheduler, currentEngine, queuedJob, nowMs);
    const move = estimateService(scheduler, load, queuedJob, nowMs, nowMs);
    const extraMs = Math.max(0, averageWorkMs({ load, estimate: move }) - averageWorkMs(stay));
    const scoreMs =
      move.firstEventAtMs +
      scheduler.options.recomputeWeight * extraMs +
      copyPenaltyMs(scheduler, move) +
      prefillDomainCostMs(scheduler, load, queuedJob.job, scheduler.decodeDomains) +
      load.speed.prefillBalanceMs;
    const stayMs =
      stay.estimate.firstEventAtMs +
      copyPenaltyMs(scheduler, stay.estimate) +
      prefillDomainCostMs(scheduler, currentEngine, queuedJob.job, scheduler.decodeDomains) +
      currentEngine.speed.prefillBalanceMs;
    if (scoreMs >= stayMs) continue;
    if (best === null || compare(move, best.estimate) < 0) best = { queuedJob, estimate: move };
  }
  return best;
}

function startJob(
  scheduler: Scheduler,
  load: TargetLoad,
  queuedJob: QueuedJob,
  nowMs: number,
): Decision | null {
  const { job } = queuedJob;
  const decodeEngine = canDecode(load) ? load : chooseDecodeEngine(scheduler, job, load, nowMs);
  if (decodeEngine === null) return null;
  const holders = findCacheHolders(scheduler.targets.values(), job, nowMs);
  const cost: PrefillCost = prefillCost(holders, load, job);
  recordServedSize(scheduler.fairness, job.route, queuedJob.sizeClass);
  if (job.workspace !== null) recordWorkspaceServed(scheduler.workspaces, job.workspace);
  recordWorkspaceServed(scheduler.routes, job.route);
  beginPrefill(load, {
    jobId: job.id,
    parts: job.parts,
    cachedParts: countCachedParts(load.cache, job.parts),
    tokens: cost.missingTokens,
    predictedMs: cost.serviceMs,
    transferMs: cost.transferMs,
    outputTokens: job.outputTokens,
    startedAtMs: nowMs,
  });
  notePrefillGiven(load.speed, cost.serviceMs, nowMs);
  for (const { entry } of new Set([load, decodeEngine])) scheduler.permits.take(entry.id);
  // Recorded immediately so that jobs sharing these parts wait for this prefill.
  recordPrompt(load.cache, job.parts);
  beginStream(decodeEngine, job.id, tokensInMemory(job));
  for (const { entry } of [load, decodeEngine]) {
    recordConnection(scheduler.connections, job.gateway, entry.id, nowMs);
  }
  const decision: Decision = {
    kind: DecisionKind.Run,
    jobId: job.id,
    plan: {
      readAt: load.entry.id,
      streamAt: decodeEngine === load ? null : decodeEngine.entry.id,
      fetchFrom: cost.fetchFrom?.entry.id ?? null,
      missingTokens: cost.missingTokens,
      predictedReadMs: cost.serviceMs + prefillLatencyMs(load.prefillTimeModel),
      waitedMs: nowMs - queuedJob.submittedAtMs,
    },
  };
  recordDecision(scheduler, job, decision, nowMs);
  return decision;
}
