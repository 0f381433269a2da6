/**
 * Requests engines from the scheduling gateway. All gateways use the same one, the live gateway
 * with the oldest announcement. If it has failed, they use the next oldest, and finally this
 * process itself. The loss of the scheduler costs each waiting request one short timeout, and a
 * scheduler that is only busy keeps its role.
 */
import {
  type Decision,
  type FleetView,
  type JobEvent,
  JobEventKind,
  type TargetEntry,
  chooseScheduler,
  eraOf,
  storeRevisionOf,
} from '@cassiamast/coordination';
import { type Result, err } from 'neverthrow';
import { withResolvers } from '../node/promises.js';
import { RpcMethod } from '../protocol/methods.js';
import type { IsReachable } from '../node/reachable.js';
import type { RpcClient } from '../node/rpc-client.js';
import type { GatewayLog } from './gateway-log.js';
import { type SendReports, createReportQueue } from './report-queue.js';
import type { JobRequest, SchedulingService } from './scheduling-service.js';

/** How long one call waits for a decision before the client calls again. */
const DECISION_WAIT_MS = 150;
/**
 * Time after that wait before an unanswered scheduler's VM is probed. It is short because a probe
 * costs only one connection, while waiting for a failed VM is useless.
 */
const ANSWER_SLACK_MS = 100;
/** How long a live VM may take to accept a connection. */
const CONNECT_TIMEOUT_MS = 300;
/**
 * How long the scheduler may be busy if its VM accepts connections. A small VM needs this long for
 * the requests that accumulated while all gateways were down, with code that is not compiled yet.
 */
const BUSY_ALLOWANCE_MS = 1000;
/** How long an unreachable scheduler is skipped. */
const SUSPECT_MS = 2000;
/** Gateways that use a scheduler call it many times within this time. */
const RECENTLY_ASKED_MS = 1000;
/**
 * Timeout of a report. A lost report only makes the scheduler count an engine as busy for longer.
 */
const REPORT_TIMEOUT_MS = 500;

/** Dependencies of the client. */
export interface SchedulingClientOptions {
  readonly selfId: string;
  readonly view: FleetView;
  readonly rpc: RpcClient;
  readonly local: SchedulingService;
  readonly nowMs: () => number;
  readonly log: GatewayLog;
  readonly count: (name: string) => void;
  /** Whether a VM accepts connections although its process does not answer. */
  readonly isReachable: IsReachable;
  /** Whether other gateways can still see this gateway's announcement. */
  readonly isConfirmed: () => boolean;
}

/**
 * The answer of a gateway to a call that relies on an announcement from before its restart, or on
 * one that has since expired. Its current announcement is newer than the requester assumes, so
 * another gateway may be the scheduler.
 */
export const ANNOUNCED_SINCE = 'announced-since';

/** The answer to a request for an engine, or null while there is no decision. */
export type ScheduleAnswer = Decision | typeof ANNOUNCED_SINCE | null;

/** A decision and the gateway that made it. */
export interface SchedulingAnswer {
  readonly decision: Decision;
  readonly schedulerId: string;
  /** Whether the answer to an earlier call for the job was lost, which may have granted an engine too. */
  readonly hasLostAnswer: boolean;
}

/** Requests engines from the scheduling gateway and reports the progress of jobs to it. */
export interface SchedulingClient {
  /**
   * Records that another gateway requested an engine because of this gateway's announcement at a
   * revision, and returns whether that announcement is still valid. Prevents several schedulers
   * after all gateways have restarted: the store still contains announcements from before the
   * restart, and gateways that see different ones of them would choose different schedulers.
   */
  readonly confirmAnnouncement: (announcedAtRevision: number) => boolean;
  /** Returns the gateway that schedules a service, according to this gateway's view. */
  readonly schedulerOf: (service: string) => string;
  /** Resolves with the decision, or with null when the signal is aborted. */
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
  /** Tells the gateway that schedules a service that one of its engines is shutting down. */
  readonly reportLeaving: (target: TargetEntry) => void;
  /** Sends the queued reports. Resolves when each has been delivered or lost. */
  readonly flushReports: () => Promise<void>;
}

/** Probes the VM of a scheduler whose answer is late. */
interface LateAnswerProbe {
  /** Resolves when the VM is found unreachable; otherwise it never resolves. */
  readonly gone: Promise<Result<never, string>>;
  readonly stop: () => void;
}

/** Returns the services that need a scheduler. */
function engineServices({ table }: FleetView): readonly string[] {
  const services = [...(table?.servicesByName.values() ?? [])];
  return services.filter(({ engine }) => engine !== null).map(({ name }) => name);
}

/** Creates the client. */
export function createSchedulingClient(options: SchedulingClientOptions): SchedulingClient {
  const { selfId, view, rpc, local, nowMs, log, count, isReachable } = options;
  const suspectUntilMs = new Map<string, number>();
  /** Revisions of announcements that are no longer valid, by gateway. */
  const staleRevisions = new Map<string, number>();
  let lastAskedAtMs = -Infinity;

  /**
   * Whether this gateway may act as scheduler. A gateway that is cut off from the store still sees
   * its own announcement after it has expired for all others, and two schedulers would assign work
   * to the same engines. Such a gateway remains scheduler only while others send requests to it.
   */
  function mayScheduleHere(): boolean {
    return options.isConfirmed() || nowMs() - lastAskedAtMs < RECENTLY_ASKED_MS;
  }

  function schedulerOf(service: string): string {
    const now = nowMs();
    const live = [...view.gateways.values()].filter(
      ({ id, announcedAtRevision }) =>
        (suspectUntilMs.get(id) ?? 0) <= now &&
        staleRevisions.get(id) !== announcedAtRevision &&
        (id !== selfId || mayScheduleHere()),
    );
    return chooseScheduler(live, service, engineServices(view)) ?? selfId;
  }

  function suspectGateway(gateway: string, service: string, cause: string): void {
    const earlierUntilMs = suspectUntilMs.get(gateway) ?? 0;
    suspectUntilMs.set(gateway, nowMs() + SUSPECT_MS);
    count('scheduler_unreachable_total');
    if (earlierUntilMs <= nowMs()) log.warn('scheduler skipped', { gateway, service, cause });
  }

  const pendingReports = new Set<Promise<void>>();

  async function sendReports(...[schedulerId, service, events]: Parameters<SendReports>) {
    const sent = await rpc.call(schedulerId, RpcMethod.ScheduleReport, [service, events], {
      timeoutMs: REPORT_TIMEOUT_MS,
    });
    if (sent.isErr()) count('scheduler_reports_lost_total');
  }

  const reports = createReportQueue((...batch) => {
    const sending = sendReports(...batch);
    pendingReports.add(sending);
    void sending.finally(() => pendingReports.delete(sending));
  });

  /**
   * Sends the queued reports before the process ends. If they were lost, the scheduler would count
   * finished jobs as running and leave their engines idle while requests wait.
   */
  async function settle(): Promise<void> {
    reports.flushAll();
    await Promise.all(pendingReports);
  }

  async function requestDecision(
    gateway: string,
    service: string,
    job: JobRequest,
    onLost: () => void,
  ): Promise<Decision | null | undefined> {
    if (gateway === selfId) return local.take(service, job, DECISION_WAIT_MS);
    const revision = announcementRevision(gateway);
    const answer = rpc
      .call<ScheduleAnswer>(
        gateway,
        RpcMethod.ScheduleTake,
        [service, job, DECISION_WAIT_MS, reports.take(gateway, service), revision],
        { timeoutMs: DECISION_WAIT_MS + BUSY_ALLOWANCE_MS },
      )
      .mapErr(({ message }) => message);
    const probe = probeLateScheduler(gateway);
    const outcome = await Promise.race([answer, probe.gone]);
    probe.stop();
    if (outcome.isOk() && outcome.value !== ANNOUNCED_SINCE) return outcome.value;
    if (outcome.isOk()) {
      staleRevisions.set(gateway, revision);
      return undefined;
    }
    onLost();
    suspectGateway(gateway, service, outcome.error);
    return undefined;
  }

  function announcementRevision(gateway: string): number {
    return view.gateways.get(gateway)?.announcedAtRevision ?? 0;
  }

  /**
   * Probes a scheduler whose answer is late. A VM that accepts a connection is alive, and its
   * answer is awaited. If a scheduler that is only busy were skipped, several gateways would
   * schedule the same engines independently, each with code that is not compiled yet; this happened
   * after a power loss of all gateways.
   */
  function probeLateScheduler(gateway: string): LateAnswerProbe {
    let timer: NodeJS.Timeout;
    const gone = new Promise<Result<never, string>>((resolve) => {
      timer = setTimeout(() => {
        void isReachable(gateway, CONNECT_TIMEOUT_MS).then((reached) => {
          if (reached) count('scheduler_busy_total');
          else resolve(err('neither an answer nor a connection'));
        });
      }, DECISION_WAIT_MS + ANSWER_SLACK_MS);
    });
    return {
      gone,
      stop: () => {
        clearTimeout(timer);
      },
    };
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
    confirmAnnouncement: (announcedAtRevision) => {
      const ownRevision = announcementRevision(selfId);
      const isValid =
        ownRevision <= announcedAtRevision || isFromCopy(ownRevision, announcedAtRevision);
      if (isValid) lastAskedAtMs = nowMs();
      return isValid;
    },
    schedulerOf,
    take: async (service, job, signal) => {
      let gateway = '';
      let hasLostAnswer = false;
      let pendingCall: Promise<unknown> = Promise.resolve();
      // The wait ends with the signal, since a busy scheduler may answer much later.
      const abort = whenAborted(signal);
      while (!signal.aborted) {
        gateway = schedulerOf(service);
        const answer = requestDecision(gateway, service, job(), () => {
          hasLostAnswer = true;
        });
        pendingCall = answer;
        const decision = await Promise.race([answer, abort.aborted]);
        if (!decision || signal.aborted) continue;
        abort.stop();
        return { decision, schedulerId: gateway, hasLostAnswer };
      }
      // Releases the engine of a caller that has disconnected. Without this report the engine would
      // stay idle until the caller's deadline while other requests wait. The report is sent after
      // the pending call, since a scheduler that received it first would still grant an engine.
      const reportEnded = (): void => {
        if (gateway !== '') report(service, gateway, JobEventKind.Ended, job().id, '');
      };
      void pendingCall.then(reportEnded, reportEnded);
      return null;
    },
    report,
    reportLeaving: ({ id, service }) => {
      report(service, schedulerOf(service), JobEventKind.Leaving, '', id);
    },
    flushReports: settle,
  };
}

/**
 * Returns whether an announcement is the one that another gateway knows from before the store came
 * back from an older copy, which has it.
 */
function isFromCopy(ownRevision: number, knownRevision: number): boolean {
  const isOlderEra = eraOf(knownRevision) < eraOf(ownRevision);
  return isOlderEra && storeRevisionOf(knownRevision) === storeRevisionOf(ownRevision);
}

/** Resolves when a signal is aborted; `stop` removes the listener. */
function whenAborted(signal: AbortSignal): {
  readonly aborted: Promise<undefined>;
  readonly stop: () => void;
} {
  const { promise, resolve } = withResolvers<undefined>();
  const onAbort = (): void => {
    resolve(undefined);
  };
  signal.addEventListener('abort', onAbort, { once: true });
  return {
    aborted: promise,
    stop: () => {
      signal.removeEventListener('abort', onAbort);
    },
  };
}
