/**
 * Asks for engines. All gateways ask the same one, the longest announced of those that live; where
 * it is gone, the next one, at last this process itself. So the loss of the one that schedules costs
 * each waiting request a single short timeout, and one that is busy keeps its part.
 */
import {
  type Decision,
  type FleetView,
  type JobEvent,
  JobEventKind,
  chooseScheduler,
} from '@cassiamast/coordination';
import { type Result, err } from 'neverthrow';
import { withResolvers } from '../node/http-body.js';
import { RpcMethod } from '../protocol/methods.js';
import type { IsReachable } from '../node/reachable.js';
import type { RpcClient } from '../node/rpc-client.js';
import type { GatewayLog } from './gateway-log.js';
import { type SendReports, createReportQueue } from './report-queue.js';
import type { JobRequest, SchedulingService } from './scheduling-service.js';

/** One question waits so long for a decision before it is asked again. */
const QUESTION_MS = 150;
/**
 * A gateway that does not answer so long after that may be gone: it is looked at. Early, since to look
 * costs one connection, and whoever waits for a VM that is gone waits for nothing.
 */
const ANSWER_SLACK_MS = 100;
/** How long a VM that is there may take to let a connection in. */
const REACHED_WITHIN_MS = 300;
/**
 * How long one that is there may be busy. As long as a small VM takes for what came while all
 * gateways were away, with code that runs for the first time.
 */
const BUSY_MS = 1000;
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
  /** Whether a VM is there, though its process does not answer. */
  readonly isReachable: IsReachable;
  /** Whether the others can still see this gateway's announcement. */
  readonly isConfirmed: () => boolean;
}

/**
 * What a gateway answers that was asked because of an announcement of its life before, or of one
 * that had lapsed since: it is younger than the asker believes, so another one may decide.
 */
export const ANNOUNCED_SINCE = 'announced-since';

/** The answer to a question for an engine: null while there is no decision. */
export type ScheduleAnswer = Decision | typeof ANNOUNCED_SINCE | null;

/** A decision and who made it. */
export interface SchedulingAnswer {
  readonly decision: Decision;
  readonly schedulerId: string;
}

/** Asks for engines. */
export interface SchedulingClient {
  /**
   * Another gateway asked this one for an engine, because of an announcement at a revision. Gives
   * whether that announcement still stands. Guards against several schedulers after all gateways have
   * started again: the store still has the announcements of their lives before, each gateway sees
   * others of them, and each asks another one.
   */
  readonly noteAsked: (announcedAtRevision: number) => boolean;
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
  /** Sends the reports that wait; resolves when all of them have arrived or are lost. */
  readonly settle: () => Promise<void>;
}

/** Looks at a scheduler whose answer is late. */
interface AnswerWatch {
  /** Resolves when it is found to be gone; never, while it is there. */
  readonly gone: Promise<Result<never, string>>;
  readonly stop: () => void;
}

/** Services that need a scheduler. */
function engineServices({ table }: FleetView): readonly string[] {
  const services = [...(table?.servicesByName.values() ?? [])];
  return services.filter(({ engine }) => engine !== null).map(({ name }) => name);
}

/** Makes the client. */
export function createSchedulingClient(options: SchedulingClientOptions): SchedulingClient {
  const { selfId, view, rpc, local, nowMs, log, count, isReachable } = options;
  const suspectUntilMs = new Map<string, number>();
  /** Announcements that no longer hold, by gateway: the revision of each. */
  const voidRevisions = new Map<string, number>();
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
      ({ id, announcedAtRevision }) =>
        (suspectUntilMs.get(id) ?? 0) <= now &&
        voidRevisions.get(id) !== announcedAtRevision &&
        (id !== selfId || mayScheduleHere()),
    );
    return chooseScheduler(live, service, engineServices(view)) ?? selfId;
  }

  function suspect(gateway: string, service: string, cause: string): void {
    const known = suspectUntilMs.get(gateway) ?? 0;
    suspectUntilMs.set(gateway, nowMs() + SUSPECT_MS);
    count('scheduler_unreachable_total');
    if (known <= nowMs()) log.warn('scheduler passed over', { gateway, service, cause });
  }

  const reporting = new Set<Promise<void>>();

  async function sendReports(...[schedulerId, service, events]: Parameters<SendReports>) {
    const sent = await rpc.call(schedulerId, RpcMethod.ScheduleReport, [service, events], {
      timeoutMs: REPORT_TIMEOUT_MS,
    });
    if (sent.isErr()) count('scheduler_reports_lost_total');
  }

  const reports = createReportQueue((...batch) => {
    const sending = sendReports(...batch);
    reporting.add(sending);
    void sending.finally(() => reporting.delete(sending));
  });

  /**
   * Guards against reports that are lost with a process that ends: they show as an engine that stands
   * idle while others wait, since its scheduler believes that it still runs what has ended.
   */
  async function settle(): Promise<void> {
    reports.flushAll();
    await Promise.all(reporting);
  }

  async function ask(
    gateway: string,
    service: string,
    job: JobRequest,
  ): Promise<Decision | null | undefined> {
    if (gateway === selfId) return local.take(service, job, QUESTION_MS);
    const revision = announcedAt(gateway);
    const answer = rpc
      .call<ScheduleAnswer>(
        gateway,
        RpcMethod.ScheduleTake,
        [service, job, QUESTION_MS, reports.take(gateway, service), revision],
        { timeoutMs: QUESTION_MS + BUSY_MS },
      )
      .mapErr(({ message }) => message);
    const watch = watchAnswer(gateway);
    const outcome = await Promise.race([answer, watch.gone]);
    watch.stop();
    if (outcome.isOk() && outcome.value !== ANNOUNCED_SINCE) return outcome.value;
    if (outcome.isOk()) {
      voidRevisions.set(gateway, revision);
      return undefined;
    }
    suspect(gateway, service, outcome.error);
    return undefined;
  }

  function announcedAt(gateway: string): number {
    return view.gateways.get(gateway)?.announcedAtRevision ?? 0;
  }

  /**
   * Guards against a scheduler that is passed over while it is only busy: after all gateways lost
   * power, it shows as several that decide for the same engines without knowing of each other, each
   * of them cold. A VM that lets a connection in lives, and its answer is waited for.
   */
  function watchAnswer(gateway: string): AnswerWatch {
    let timer: NodeJS.Timeout;
    const gone = new Promise<Result<never, string>>((resolve) => {
      timer = setTimeout(() => {
        void isReachable(gateway, REACHED_WITHIN_MS).then((reached) => {
          if (reached) count('scheduler_busy_total');
          else resolve(err('neither an answer nor a connection'));
        });
      }, QUESTION_MS + ANSWER_SLACK_MS);
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
    noteAsked: (announcedAtRevision) => {
      const stands = announcedAt(selfId) <= announcedAtRevision;
      if (stands) askedAtMs = nowMs();
      return stands;
    },
    schedulerOf,
    take: async (service, job, signal) => {
      let gateway = '';
      let asking: Promise<unknown> = Promise.resolve();
      // A busy scheduler may answer long after nobody waits for it any more.
      const over = whenAborted(signal);
      while (!signal.aborted) {
        gateway = schedulerOf(service);
        const answer = ask(gateway, service, job());
        asking = answer;
        const decision = await Promise.race([answer, over.aborted]);
        if (!decision || signal.aborted) continue;
        over.stop();
        return { decision, schedulerId: gateway };
      }
      // Guards against an engine that is kept for a caller who left: it shows as engines that read
      // nothing while others wait, until the caller's deadline has passed. The question is waited for,
      // since a scheduler that heard of the end before it would still grant an engine.
      const ended = (): void => {
        if (gateway !== '') report(service, gateway, JobEventKind.Ended, job().id, '');
      };
      void asking.then(ended, ended);
      return null;
    },
    report,
    settle,
  };
}

/** Resolves when a signal is aborted; `stop` lets go of it. */
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
