/**
 * State of one service's scheduler: what it knows about the engines, and which jobs are queued or
 * decided. The functions that make decisions are in the other modules of this folder.
 */
import type { EngineSpec, PromptPart, TargetEntry } from '../forwarding/fleet.js';
import { type Connections, createConnections, pruneConnections } from './connections.js';
import { type Permits, UNLIMITED } from '../rate-limits/rate-limiter.js';
import type { Decision, Job } from './job.js';
import type { SchedulerOptions } from './options.js';
import { mergeCacheListing } from './prompt-cache.js';
import { type RouteSizes, createRouteSizes } from './ranking.js';
import type { CacheHolders, PrefillCost } from './prefill-cost.js';
import { type RetryTimes, createRetryTimes } from './retry-after.js';
import { type RefusedRequests, createRefusedRequests } from './refused-requests.js';
import { type ServiceSpeeds, createServiceSpeeds } from './engine-speeds.js';
import { type SizeClass, type SizeFairness, createSizeFairness } from './size-fairness.js';
import { type WorkspaceFairness, createWorkspaceFairness } from './workspace-fairness.js';
import { type TargetLoad, canDecode, createTargetLoad, updateEntry } from './target-load.js';

/** A job in the queue of an engine. */
export interface QueuedJob {
  /** Replaced when its gateway asks again and must avoid other targets than before. */
  job: Job;
  readonly sizeClass: SizeClass;
  readonly isRetry: boolean;
  readonly value: number;
  readonly submittedAtMs: number;
  lastPolledAtMs: number;
  /** Time since which the job can no longer be on time, or null if it still can. */
  lateSinceMs: number | null;
  /** The engine in whose queue the job is. */
  target: string;
  /** Most recently computed prefill costs, or null if there are none yet. */
  cachedCost: CachedCost | null;
}

/** Recently computed prefill costs of a queued job. */
export interface CachedCost {
  readonly atMs: number;
  /** The engines that hold the job's cached parts. */
  readonly holders: CacheHolders;
  /** Cost on the engine in whose queue the job is, or null until it is first needed. */
  own: { readonly engineId: string; readonly cost: PrefillCost } | null;
}

/** A job that has been decided. */
interface DecidedJob {
  readonly decision: Decision;
  readonly expiresAtMs: number;
}

/** The scheduler of one service. */
export interface Scheduler {
  readonly options: SchedulerOptions;
  /** Whether engines that announce a rate limit may be sent another request. */
  readonly permits: Permits;
  readonly targets: Map<string, TargetLoad>;
  readonly queuedJobs: Map<string, QueuedJob>;
  /** The same jobs by the engine in whose queue they are. */
  readonly queues: Map<string, Set<QueuedJob>>;
  /** Decided jobs by job id, so that a repeated request gets the same answer. */
  readonly decided: Map<string, DecidedJob>;
  readonly sizes: RouteSizes;
  readonly fairness: SizeFairness;
  readonly workspaces: WorkspaceFairness;
  /** Served shares by route; counted only if jobs rank by urgency. */
  readonly routes: WorkspaceFairness;
  readonly refusedRequests: RefusedRequests;
  readonly connections: Connections;
  readonly retryTimes: RetryTimes;
  /** Whether the routes of the service differ in priority. */
  prioritiesDiffer: boolean;
  /** Failure domains that have an engine which decodes. */
  readonly decodeDomains: Set<string>;
  /** Speed of an average engine. */
  readonly speeds: ServiceSpeeds;
  /** Time of the most recent request about a job. */
  lastRequestAtMs: number;
  /** Time at which idle engines last tried to steal work. */
  lastStealAtMs: number;
}

/** Returns a scheduler without targets. */
export function createScheduler(
  options: SchedulerOptions,
  permits: Permits = UNLIMITED,
): Scheduler {
  return {
    options,
    permits,
    targets: new Map(),
    queuedJobs: new Map(),
    queues: new Map(),
    decided: new Map(),
    sizes: createRouteSizes(),
    fairness: createSizeFairness(),
    workspaces: createWorkspaceFairness(),
    routes: createWorkspaceFairness(),
    refusedRequests: createRefusedRequests(),
    connections: createConnections(),
    retryTimes: createRetryTimes(),
    prioritiesDiffer: false,
    decodeDomains: new Set(),
    speeds: createServiceSpeeds(),
    lastRequestAtMs: -Infinity,
    lastStealAtMs: -Infinity,
  };
}

/** Updates the targets of the service, keeping the state of those that remain. */
export function syncEngines(
  scheduler: Scheduler,
  entries: readonly TargetEntry[],
  spec: EngineSpec,
): void {
  const { permits, speeds, options } = scheduler;
  const present = new Set(entries.map((entry) => entry.id));
  for (const id of scheduler.targets.keys()) {
    if (!present.has(id)) scheduler.targets.delete(id);
  }
  pruneConnections(scheduler.connections, (id) => present.has(id));
  for (const entry of entries) {
    const load = scheduler.targets.get(entry.id);
    if (load === undefined) {
      const created = createTargetLoad(entry, spec, permits, speeds, options.learnsSpeeds);
      scheduler.targets.set(entry.id, created);
    } else updateEntry(load, entry);
  }
  scheduler.decodeDomains.clear();
  for (const load of scheduler.targets.values()) {
    if (canDecode(load) && !load.entry.draining) {
      scheduler.decodeDomains.add(load.entry.failureDomain);
    }
  }
}

/**
 * Suspends an engine that carries out an order. It gets no work until the given time or until its
 * phase has changed.
 */
export function suspendEngine(scheduler: Scheduler, id: string, untilMs: number): void {
  const load = scheduler.targets.get(id);
  if (load !== undefined) load.suspendedUntilMs = untilMs;
}

/**
 * Merges the contents that an engine reported into the model of its cache. Prompts that were
 * assigned to it meanwhile stay recorded.
 */
export function seedCache(scheduler: Scheduler, id: string, parts: readonly PromptPart[]): void {
  const load = scheduler.targets.get(id);
  if (load !== undefined) mergeCacheListing(load.cache, parts);
}

/**
 * Returns the engines whose cache contents must be requested. This is the case when the scheduler
 * has not been used for a while: another process may have scheduled in the meantime, so the cache
 * models are outdated. Without this refresh, every engine prefills the shared parts again after a
 * change of scheduler.
 */
export function enginesWithStaleCache(scheduler: Scheduler, nowMs: number): readonly string[] {
  const isStale = nowMs - scheduler.lastRequestAtMs > scheduler.options.staleAfterMs;
  scheduler.lastRequestAtMs = nowMs;
  return isStale ? [...scheduler.targets.keys()] : [];
}

/** Returns the number of requests that each engine prefills or decodes, by engine id. */
export function engineRequests(scheduler: Scheduler): ReadonlyMap<string, number> {
  const requests = new Map<string, number>();
  for (const [id, load] of scheduler.targets) {
    requests.set(id, new Set([...load.prefills.keys(), ...load.streaming.keys()]).size);
  }
  return requests;
}
