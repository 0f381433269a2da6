/**
 * Runs the schedulers of this gateway, one for each service for which it receives jobs, including
 * those of its own callers. The gateways choose which of them schedules a service; this module
 * decides every job that it receives.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import {
  type Decision,
  DecisionKind,
  type FleetView,
  type Job,
  type JobEvent,
  type Permits,
  SCHEDULER_OPTIONS,
  type Scheduler,
  type SchedulerOptions,
  createScheduler,
  engineRequests,
  enginesWithStaleCache,
  syncEngines,
  handleJobEvents,
  seedCache,
  servingTargets,
  submitJob,
  suspendEngine,
  tickScheduler,
} from '@cassiamast/coordination';
import type { EngineControlPort } from '@cassiamast/ports';
import type { GatewayLog } from './gateway-log.js';
import type { EngineGrant } from './stream-versions.js';

/** A job as sent between processes. Times are relative because clocks differ between VMs. */
export interface JobRequest extends Omit<
  Job,
  'workspace' | 'aimAtMs' | 'deadlineAtMs' | 'avoidUntilMs'
> {
  readonly aimInMs: number;
  readonly deadlineInMs: number;
  /** Absent in requests of gateways that run an earlier version. */
  readonly avoidForMs?: number;
  /** The version that the stream must keep to; absent from gateways that run an earlier version. */
  readonly keptVersion?: string | null;
  /** Absent in requests of gateways that run an earlier version. */
  readonly workspace?: string | null;
}

/**
 * Interval of scheduling while jobs are queued, far shorter than the prefill of a typical prompt.
 */
const TICK_MS = 10;

/** The schedulers of one gateway. */
export interface SchedulingService {
  /**
   * Queues a job and waits up to `waitMs` for its decision. Resolves with null if there is none.
   */
  readonly take: (service: string, job: JobRequest, waitMs: number) => Promise<Decision | null>;
  readonly report: (service: string, events: readonly JobEvent[]) => void;
  /** Returns the number of requests at each engine that this process has scheduled. */
  readonly engineRequests: (service: string) => ReadonlyMap<string, number>;
  /** Assigns no work to an engine until the given time. */
  readonly suspend: (service: string, target: string, untilMs: number) => void;
  /** Updates the engines of all schedulers after a change of the fleet. */
  readonly refresh: () => void;
  readonly stop: () => void;
}

/** Delivers a decision to the call that waits for it. */
type DeliverDecision = (decision: Decision | null) => void;

/** Dependencies of the service. */
export interface SchedulingServiceOptions {
  readonly view: FleetView;
  readonly control: EngineControlPort;
  readonly permits: Permits;
  /** Default: `SCHEDULER_OPTIONS`. */
  readonly scheduler?: SchedulerOptions;
  readonly nowMs: () => number;
  readonly log: GatewayLog;
  /** Called with the engine that streams each job that is given one. */
  readonly onGranted: (grant: EngineGrant) => void;
}

/** Creates the service. */
export function createSchedulingService(options: SchedulingServiceOptions): SchedulingService {
  const { view, control, permits, scheduler: schedulerOptions = SCHEDULER_OPTIONS } = options;
  const { nowMs, log, onGranted } = options;
  const schedulers = new Map<string, Scheduler>();
  const pendingAnswers = new Map<string, DeliverDecision>();
  let timer: NodeJS.Timeout | null = null;

  function schedulerOf(service: string): Scheduler {
    const existing = schedulers.get(service);
    if (existing !== undefined) return existing;
    const created = createScheduler(schedulerOptions, permits);
    schedulers.set(service, created);
    updateEngines(service, created);
    return created;
  }

  function updateEngines(service: string, scheduler: Scheduler): void {
    scheduler.prioritiesDiffer = view.table?.prioritizedServices.has(service) ?? false;
    const spec = view.table?.servicesByName.get(service)?.engine ?? null;
    if (spec !== null) syncEngines(scheduler, servingTargets(view, service, nowMs()), spec);
  }

  /** Reads the caches of engines for which another process may have scheduled jobs meanwhile. */
  function refreshCaches(service: string, scheduler: Scheduler): void {
    const ids = enginesWithStaleCache(scheduler, nowMs());
    if (ids.length === 0) return;
    const { prioritiesDiffer } = scheduler;
    log.info('scheduling begins', { service, engines: ids.length, prioritiesDiffer });
    for (const id of ids) void refreshCache(scheduler, id);
  }

  async function refreshCache(scheduler: Scheduler, id: string): Promise<void> {
    const target = view.targets.get(id)?.entry;
    if (target === undefined) return;
    const cacheResult = await control.readCache(target);
    cacheResult.match(
      (parts) => {
        seedCache(scheduler, id, parts);
      },
      (failure) => {
        log.warn('cache not listed', { target: id, cause: failure.message });
      },
    );
  }

  function deliverDecisions(decisions: readonly Decision[]): void {
    for (const decision of decisions) pendingAnswers.get(decision.jobId)?.(decision);
  }

  function tick(): void {
    timer = null;
    let hasPendingJobs = false;
    for (const scheduler of schedulers.values()) {
      deliverDecisions(tickScheduler(scheduler, nowMs()));
      hasPendingJobs ||= scheduler.queuedJobs.size > 0 || scheduler.decided.size > 0;
    }
    if (hasPendingJobs) scheduleTick();
  }

  /**
   * Leaves a job undecided while this gateway has not listed the fleet yet. A gateway may be chosen
   * as scheduler in the seconds after its start, and would refuse jobs because it knows no targets.
   */
  async function noDecision(waitMs: number): Promise<null> {
    await sleep(waitMs);
    return null;
  }

  function scheduleTick(): void {
    timer ??= setTimeout(tick, TICK_MS);
  }

  return {
    take: (service, request, waitMs) => {
      if (view.table === null) return noDecision(waitMs);
      const now = nowMs();
      const { aimInMs, deadlineInMs, avoidForMs = 0, ...others } = request;
      const { workspace = null, keptVersion = null, ...rest } = others;
      const job: Job = {
        ...rest,
        workspace,
        aimAtMs: now + aimInMs,
        deadlineAtMs: now + deadlineInMs,
        avoidUntilMs: now + avoidForMs,
      };
      const scheduler = schedulerOf(service);
      refreshCaches(service, scheduler);
      const decisions = submitJob(scheduler, job, now);
      const own = decisions.find((decision) => decision.jobId === job.id) ?? null;
      deliverDecisions(decisions);
      scheduleTick();
      const noteGranted = (decision: Decision | null): void => {
        if (decision?.kind !== DecisionKind.Run) return;
        const { readAt, streamAt } = decision.plan;
        const engine = streamAt ?? readAt;
        onGranted({ jobId: job.id, gateway: job.gateway, engine, keptVersion });
      };
      noteGranted(own);
      if (own !== null) return Promise.resolve(own);
      return new Promise((resolve) => {
        const deliver: DeliverDecision = (decision) => {
          noteGranted(decision);
          clearTimeout(timeout);
          if (pendingAnswers.get(job.id) === deliver) pendingAnswers.delete(job.id);
          resolve(decision);
        };
        const timeout = setTimeout(() => {
          deliver(null);
        }, waitMs);
        pendingAnswers.set(job.id, deliver);
      });
    },
    report: (service, events) => {
      deliverDecisions(handleJobEvents(schedulerOf(service), events, nowMs()));
    },
    engineRequests: (service) => engineRequests(schedulerOf(service)),
    suspend: (service, target, untilMs) => {
      suspendEngine(schedulerOf(service), target, untilMs);
    },
    refresh: () => {
      for (const [service, scheduler] of schedulers) updateEngines(service, scheduler);
    },
    stop: () => {
      if (timer !== null) clearTimeout(timer);
      timer = null;
    },
  };
}
