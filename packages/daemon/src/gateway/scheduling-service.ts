/**
 * Runs the schedulers of this gateway: one for each service that it was asked about, its own
 * callers' jobs included. Whether it is the one that all gateways ask is their decision; a
 * scheduler that is asked decides.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import {
  type Decision,
  type FleetView,
  type Job,
  type JobEvent,
  type Permits,
  SCHEDULER_OPTIONS,
  type Scheduler,
  createScheduler,
  engineRequests,
  enginesToList,
  noteEngines,
  noteJobEvents,
  seedCache,
  servingTargets,
  submitJob,
  suspendEngine,
  tickScheduler,
} from '@cassiamast/coordination';
import type { EngineControlPort } from '@cassiamast/ports';
import type { GatewayLog } from './gateway-log.js';

/** A job as it crosses processes: times are relative, since clocks differ. */
export interface JobRequest extends Omit<Job, 'aimAtMs' | 'deadlineAtMs'> {
  readonly aimInMs: number;
  readonly deadlineInMs: number;
}

/** How often lines are looked at while jobs wait: well under the reading of an ordinary prompt. */
const TICK_MS = 10;

/** The schedulers of one gateway. */
export interface SchedulingService {
  /** Takes a job in and waits a while for its decision; null while there is none. */
  readonly take: (service: string, job: JobRequest, waitMs: number) => Promise<Decision | null>;
  readonly report: (service: string, events: readonly JobEvent[]) => void;
  /** Requests at each engine, as far as this process schedules them. */
  readonly engineRequests: (service: string) => ReadonlyMap<string, number>;
  /** An engine takes no work until then. */
  readonly suspend: (service: string, target: string, untilMs: number) => void;
  /** The fleet changed. */
  readonly refresh: () => void;
  readonly stop: () => void;
}

/** Tells a waiting question its answer. */
type Answer = (decision: Decision | null) => void;

/** What the service needs. */
export interface SchedulingServiceOptions {
  readonly view: FleetView;
  readonly control: EngineControlPort;
  readonly permits: Permits;
  readonly nowMs: () => number;
  readonly log: GatewayLog;
}

/** Makes the service. */
export function createSchedulingService(options: SchedulingServiceOptions): SchedulingService {
  const { view, control, permits, nowMs, log } = options;
  const schedulers = new Map<string, Scheduler>();
  const answers = new Map<string, Answer>();
  let timer: NodeJS.Timeout | null = null;

  function schedulerOf(service: string): Scheduler {
    const known = schedulers.get(service);
    if (known !== undefined) return known;
    const made = createScheduler(SCHEDULER_OPTIONS, permits);
    schedulers.set(service, made);
    follow(service, made);
    return made;
  }

  function follow(service: string, scheduler: Scheduler): void {
    const spec = view.table?.servicesByName.get(service)?.engine ?? null;
    if (spec !== null) noteEngines(scheduler, servingTargets(view, service, nowMs()), spec);
  }

  /** Asks engines for their caches where another process may have scheduled meanwhile. */
  function refreshCaches(service: string, scheduler: Scheduler): void {
    const ids = enginesToList(scheduler, nowMs());
    if (ids.length === 0) return;
    log.info('scheduling begins', { service, engines: ids.length });
    for (const id of ids) void refreshCache(scheduler, id);
  }

  async function refreshCache(scheduler: Scheduler, id: string): Promise<void> {
    const target = view.targets.get(id)?.entry;
    if (target === undefined) return;
    const listed = await control.readCache(target);
    listed.match(
      (parts) => {
        seedCache(scheduler, id, parts);
      },
      (failure) => {
        log.warn('cache not listed', { target: id, cause: failure.message });
      },
    );
  }

  function tell(decisions: readonly Decision[]): void {
    for (const decision of decisions) answers.get(decision.jobId)?.(decision);
  }

  function tick(): void {
    timer = null;
    let waits = false;
    for (const scheduler of schedulers.values()) {
      tell(tickScheduler(scheduler, nowMs()));
      waits ||= scheduler.waiting.size > 0 || scheduler.decided.size > 0;
    }
    if (waits) keepTicking();
  }

  /**
   * Guards against refusals by a gateway that was found as a scheduler before it has listed the
   * fleet: it shows as callers sent away since no target takes work, seconds after a start.
   */
  async function noDecision(waitMs: number): Promise<null> {
    await sleep(waitMs);
    return null;
  }

  function keepTicking(): void {
    timer ??= setTimeout(tick, TICK_MS);
  }

  return {
    take: (service, request, waitMs) => {
      if (view.table === null) return noDecision(waitMs);
      const now = nowMs();
      const { aimInMs, deadlineInMs, ...rest } = request;
      const job: Job = { ...rest, aimAtMs: now + aimInMs, deadlineAtMs: now + deadlineInMs };
      const scheduler = schedulerOf(service);
      refreshCaches(service, scheduler);
      const decisions = submitJob(scheduler, job, now);
      const own = decisions.find((decision) => decision.jobId === job.id) ?? null;
      tell(decisions);
      keepTicking();
      if (own !== null) return Promise.resolve(own);
      return new Promise((resolve) => {
        const answer: Answer = (decision) => {
          clearTimeout(timeout);
          if (answers.get(job.id) === answer) answers.delete(job.id);
          resolve(decision);
        };
        const timeout = setTimeout(() => {
          answer(null);
        }, waitMs);
        answers.set(job.id, answer);
      });
    },
    report: (service, events) => {
      tell(noteJobEvents(schedulerOf(service), events, nowMs()));
    },
    engineRequests: (service) => engineRequests(schedulerOf(service)),
    suspend: (service, target, untilMs) => {
      suspendEngine(schedulerOf(service), target, untilMs);
    },
    refresh: () => {
      for (const [service, scheduler] of schedulers) follow(service, scheduler);
    },
    stop: () => {
      if (timer !== null) clearTimeout(timer);
      timer = null;
    },
  };
}
