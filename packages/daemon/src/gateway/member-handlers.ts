/** Handlers of RPC methods that other gateways call. Converts the parameters to typed values. */
import type { JobEvent } from '@cassiamast/coordination';
import type { ControlServerOptions } from '../node/control-server.js';
import { RpcMethod } from '../protocol/methods.js';
import type { ConfigurationRelay } from './configuration-relay.js';
import type { ToldCrash } from './crash-publisher.js';
import type { CrashReports } from './crash-reports.js';
import { ANNOUNCED_SINCE, type SchedulingClient } from './scheduling-client.js';
import type { JobRequest, SchedulingService } from './scheduling-service.js';
import type { StreamVersions } from './stream-versions.js';
import type { TargetLimits } from './target-limits.js';
import type { UsageDuty } from './usage-duty.js';
import type { UsageReading } from './usage-meter.js';

/** Creates the handlers, by method. */
export function createMemberHandlers(
  schedulers: SchedulingService,
  scheduling: SchedulingClient,
  limits: TargetLimits,
  crashes: Pick<CrashReports, 'receiveCrashes'>,
  versions: Pick<StreamVersions, 'find' | 'readAndFind' | 'receive'>,
  configurations: Pick<ConfigurationRelay, 'newerThan'>,
  usage: Pick<UsageDuty, 'onRead' | 'onTold' | 'onFixed'>,
): ControlServerOptions['handlers'] {
  return {
    [RpcMethod.ScheduleTake]: (params) => {
      const [service, job, waitMs, events, announcedAtRevision] = params as [
        service: string,
        job: JobRequest,
        waitMs: number,
        events: readonly JobEvent[],
        announcedAtRevision: number,
      ];
      schedulers.report(service, events);
      if (!scheduling.confirmAnnouncement(announcedAtRevision)) return ANNOUNCED_SINCE;
      return schedulers.take(service, job, waitMs);
    },
    [RpcMethod.ScheduleReport]: (params) => {
      const [service, events] = params as [string, readonly JobEvent[]];
      schedulers.report(service, events);
      return null;
    },
    [RpcMethod.LimitsBorrow]: (params) => {
      const [service, borrower, reports] = params as Parameters<TargetLimits['onBorrow']>;
      return limits.onBorrow(service, borrower, reports);
    },
    [RpcMethod.LimitsTell]: (params) => {
      const [reports, from] = params as Parameters<TargetLimits['onLimitsReported']>;
      limits.onLimitsReported(reports, from);
      return null;
    },
    [RpcMethod.LimitsTake]: (params) => {
      const [target, reports, from] = params as Parameters<TargetLimits['onTake']>;
      return limits.onTake(target, reports, from);
    },
    [RpcMethod.CrashesTell]: (params) => {
      const [told] = params as [readonly ToldCrash[]];
      return crashes.receiveCrashes(told);
    },
    [RpcMethod.StreamsFind]: (params) => {
      const [attempt, service, mustRead = false] = params as [string, string?, boolean?];
      // A gateway two releases ago names no service and reads the origin only.
      if (service === undefined) return versions.find(attempt, '').origin;
      return mustRead ? versions.readAndFind(attempt, service) : versions.find(attempt, service);
    },
    [RpcMethod.StreamsTell]: (params) => {
      const told = params as Parameters<StreamVersions['receive']>;
      versions.receive(...told);
      return null;
    },
    [RpcMethod.ConfigurationRead]: (params) => {
      const [version] = params as [number];
      return configurations.newerThan(version);
    },
    [RpcMethod.UsageRead]: (params) => {
      const [reader, sinceWindow, question] = params as Parameters<UsageDuty['onRead']>;
      return usage.onRead(reader, sinceWindow, question);
    },
    [RpcMethod.UsageTell]: (params) => {
      const [reading] = params as [UsageReading];
      usage.onTold(reading);
      return null;
    },
    [RpcMethod.UsageFixed]: (params) => {
      const [window, counts, fence] = params as Parameters<UsageDuty['onFixed']>;
      return usage.onFixed(window, counts, fence);
    },
  };
}
