/**
 * Asks for engines. All gateways ask the same one, the longest announced of those that live; where
 * it does not answer in time, the next one, at last this process itself. So the loss of the one
 * that schedules costs each waiting request a single short timeout.
 */
import {
  type Decision,
  type FleetView,
  type JobEvent,
  JobEventKind,
  chooseScheduler,
} from '@cassiamast/coordination';
import { RpcMethod } from '../protocol/methods.js';
import type { RpcClient } from '../node/rpc-client.js';
import type { GatewayLog } from './gateway-log.js';
import { createReportQueue } from './report-queue.js';
import type { JobRequest, SchedulingService } from './scheduling-service.js';

/** One question waits so long for a decision before it is asked again. */
const QUESTION_MS = 150;
/**
 * A gateway that does not answer so long after that is passed over. As long as one that has just
 * started, or is at the height of a burst, lets calls wait on a share of a core; to pass it over
 * leaves its engines to two schedulers that don't know of each other. With 120 ms in its place,
 * callers got 0.44 in place of 0.46 of what was due (mean over five days on which gateways restart).
 */
const ANSWER_SLACK_MS = 300;
/** How long it is passed over. */
const SUSPECT_MS = 2000;
/** Others ask a scheduler many times in this time if they take it for the one. */
const ASKED_MEMORY_MS = 1000;
/** Reports that are lost only let the scheduler believe an engine busy for longer. */
const REPORT_TIMEOUT_MS = 500;

/** What the client needs. */
export interface SchedulingClientOptions {
  readonly selfId: string;
  readonly view: FleetView;
  readonly rpc: RpcClient;
  readonly local: SchedulingService;
  readonly nowMs: () => number;
  readonly log: GatewayLog;
  readonly count: (name: string) => void;
  /** Whether the others can still see this gateway's announcement. */
  readonly isConfirmed: () => boolean;
}

/** A decision and who made it. */
export interface SchedulingAnswer {
  readonly decision: Decision;
  readonly schedulerId: string;
}

/** Asks for engines. */
export interface SchedulingClient {
  /** Another gateway asked this one for an engine. */
  readonly noteAsked: () => void;
  /** The gateway that schedules a service, as far as this one knows. */
  readonly schedulerOf: (service: string) => string;
  /** Resolves with the decision, or null when the signal ended the wait. */
  readonly take: (
    service: string,
    job: () => JobRequest,
    signal: AbortSignal,
  ) => Promise<SchedulingAnswer | null>;
  readonly report: (
    service: string,
    schedulerId: string,
    kind: JobEventKind,
    jobId: string,
    target: string,
  ) => void;
}

/** Services that need a scheduler. */
function engineServices({ table }: FleetView): readonly string[] {
  const services = [...(table?.servicesByName.values() ?? [])];
  return services.filter(({ engine }) => engine !== null).map(({ name }) => name);
}

/** Makes the client. */
export function createSchedulingClient(options: SchedulingClientOptions): SchedulingClient {
  const { selfId, view, rpc, local, nowMs, log, count } = options;
  const suspectUntilMs = new Map<string, number>();
  let askedAtMs = -Infinity;

  /**
   * Guards against two schedulers at once: a gateway that is cut off from the store still sees its
   * own announcement when it has lapsed for all others. It shows as engines that are given work by
   * two lines. It holds on to its part only while others ask it.
   */
  function mayScheduleHere(): boolean {
    return options.isConfirmed() || nowMs() - askedAtMs < ASKED_MEMORY_MS;
  }

  function schedulerOf(service: string): string {
    const now = nowMs();
    const live = [...view.gateways.values()].filter(
      ({ id }) => (suspectUntilMs.get(id) ?? 0) <= now && (id !== selfId || mayScheduleHere()),
    );
    return chooseScheduler(live, service, engineServices(view)) ?? selfId;
  }

  function suspect(gateway: string, service: string, cause: string): void {
    const known = suspectUntilMs.get(gateway) ?? 0;
    suspectUntilMs.set(gateway, nowMs() + SUSPECT_MS);
    count('scheduler_unreachable_total');
    if (known <= nowMs()) log.warn('scheduler passed over', { gateway, service, cause });
  }

  const reports = createReportQueue((schedulerId, service, events) => {
    void rpc
      .call(schedulerId, RpcMethod.ScheduleReport, [service, events], {
        timeoutMs: REPORT_TIMEOUT_MS,
      })
      .mapErr(() => {
        count('scheduler_reports_lost_total');
      });
  });

  async function ask(
    gateway: string,
    service: string,
    job: JobRequest,
  ): Promise<Decision | null | undefined> {
    if (gateway === selfId) return local.take(service, job, QUESTION_MS);
    const answer = await rpc.call<Decision | null>(
      gateway,
      RpcMethod.ScheduleTake,
      [service, job, QUESTION_MS, reports.take(gateway, service)],
      { timeoutMs: QUESTION_MS + ANSWER_SLACK_MS },
    );
    if (answer.isOk()) return answer.value;
    suspect(gateway, service, answer.error.message);
    return undefined;
  }

  function report(
    service: string,
    schedulerId: string,
    kind: JobEventKind,
    jobId: string,
    target: string,
  ): void {
    const event: JobEvent = { kind, jobId, target };
    if (schedulerId === selfId) local.report(service, [event]);
    else reports.put(schedulerId, service, event);
  }

  return {
    noteAsked: () => {
      askedAtMs = nowMs();
    },
    schedulerOf,
    take: async (service, job, signal) => {
      let gateway = '';
      while (!signal.aborted) {
        gateway = schedulerOf(service);
        const decision = await ask(gateway, service, job());
        if (decision && !signal.aborted) return { decision, schedulerId: gateway };
      }
      // Guards against an engine that is kept for a caller who left: it shows as engines that read
      // nothing while others wait, until the caller's deadline has passed.
      if (gateway !== '') report(service, gateway, JobEventKind.Ended, job().id, '');
      return null;
    },
    report,
  };
}
