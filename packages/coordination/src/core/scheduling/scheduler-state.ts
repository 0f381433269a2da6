/**
 * The state of one service's scheduler: what it knows of the engines, which jobs wait and which are
 * decided. The decisions over it stand in the files beside.
 */
import type { EngineSpec, PromptPart, TargetEntry } from '../forwarding/fleet.js';
import { type Connections, createConnections, forgetConnections } from './connections.js';
import { type Permits, UNLIMITED } from '../rate-limits/rate-limiter.js';
import type { Decision, Job } from './job.js';
import type { SchedulerOptions } from './options.js';
import { replaceHeld } from './prompt-cache.js';
import { type RouteSizes, createRouteSizes } from './ranking.js';
import type { Holders, ReadCost } from './read-cost.js';
import { type Returners, createReturners } from './returners.js';
import { type SizeClass, type SizeFairness, createSizeFairness } from './size-fairness.js';
import { type TargetLoad, createTargetLoad, noteEntry } from './target-load.js';

/** A job that waits. */
export interface Waiting {
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
  /** What was last found out about reading it, null before. */
  estimate: Estimate | null;
}

/** What was found out about a waiting job a moment ago. */
export interface Estimate {
  readonly atMs: number;
  /** Who holds its parts. */
  readonly holders: Holders;
  /** What reading it costs the engine in whose line it stands; null until that was asked. */
  own: { readonly engineId: string; readonly cost: ReadCost } | null;
}

/** A job that was given to engines. */
interface Running {
  readonly decision: Decision;
  readonly forgetAtMs: number;
}

/** The scheduler of one service. */
export interface Scheduler {
  readonly options: SchedulerOptions;
  /** Whether engines that name a rate limit may be sent one more request. */
  readonly permits: Permits;
  readonly targets: Map<string, TargetLoad>;
  readonly waiting: Map<string, Waiting>;
  /** The same jobs by the engine in whose line they stand. */
  readonly lines: Map<string, Set<Waiting>>;
  /** Decided jobs, so that a repeated question gets the same answer. */
  readonly decided: Map<string, Running>;
  readonly sizes: RouteSizes;
  readonly fairness: SizeFairness;
  readonly returners: Returners;
  readonly connections: Connections;
  /** When it was last asked about a job. */
  askedAtMs: number;
  /** When idle engines last looked at the lines of others. */
  stoleAtMs: number;
}

/** A scheduler without targets. */
export function createScheduler(
  options: SchedulerOptions,
  permits: Permits = UNLIMITED,
): Scheduler {
  return {
    options,
    permits,
    targets: new Map(),
    waiting: new Map(),
    lines: new Map(),
    decided: new Map(),
    sizes: createRouteSizes(),
    fairness: createSizeFairness(),
    returners: createReturners(),
    connections: createConnections(),
    askedAtMs: -Infinity,
    stoleAtMs: -Infinity,
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
  forgetConnections(scheduler.connections, (id) => present.has(id));
  for (const entry of entries) {
    const load = scheduler.targets.get(entry.id);
    if (load === undefined) {
      scheduler.targets.set(entry.id, createTargetLoad(entry, spec, scheduler.permits));
    } else noteEntry(load, entry);
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
