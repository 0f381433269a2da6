/**
 * Wires up a gateway, the process that forwards callers' requests to targets on a platform that
 * keeps its own list of targets. Creates all components and runs them under one root supervisor.
 */
import { randomInt } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import {
  type ClientLimits,
  type ClockReading,
  CrashChangeKind,
  DEFAULT_HOP_MS,
  SCHEDULER_OPTIONS,
  type Failure,
  clientLimits,
  createElapsedClock,
  createFleetView,
  eraOf,
  hash32,
  localityOptions,
  pollIntervalOptions,
  seededRandom,
  usageCandidates,
} from '@cassiamast/coordination';
import {
  type CallerWire,
  type DutyPort,
  type EngineControlPort,
  type FleetPort,
  createHttpTransport,
} from '@cassiamast/ports';
import { build } from 'hdr-histogram-js';
import type { Result } from 'neverthrow';
import { formatAddress } from '../node/address.js';
import { SYSTEM_CLOCKS } from '../node/clocks.js';
import { type ClientGuard, createClientGuard } from '../node/client-guard.js';
import { logYieldingClients } from '../node/yielding-clients.js';
import { createControlServer } from '../node/control-server.js';
import { createLog } from '../node/logging.js';
import { allowNetworks } from '../node/networks.js';
import type { StopReason, WithdrawAnnouncements } from '../node/run-process.js';
import { isReachable } from '../node/reachable.js';
import { createRpcClient } from '../node/rpc-client.js';
import { createMemberProof } from '../node/secret.js';
import { createStallWatch } from '../node/stall-watch.js';
import { createTelemetry } from '../node/telemetry.js';
import { createTimeline } from '../node/timeline.js';
import { DEFAULT_RESTART_LIMIT, createSupervisor } from '../supervisor/supervisor.js';
import { announcementFields } from './announcement-fields.js';
import { countStoreCalls } from './store-call-counts.js';
import { logCrashChanges } from './crash-changes.js';
import { type StreamVersions, createStreamVersions } from './stream-versions.js';
import { createCallerIdentity } from './caller-identity.js';
import { createConfigurationRelay } from './configuration-relay.js';
import { createCrashReports } from './crash-reports.js';
import { createFirstStart } from './first-start.js';
import { createFleetFollower } from './fleet-follower.js';
import type { ForwardingServices } from './forwarding-services.js';
import { DEFAULT_MAX_BODY_BYTES, createFrontServer } from './front-server.js';
import { createGatewayCount } from './gateway-count.js';
import { createGatewayLog } from './gateway-log.js';
import { createHeaderWatch } from './header-watch.js';
import { stopGracefully } from './graceful-stop.js';
import { logLocality } from './locality-counts.js';
import { LOG_LIMITS, type WriteText, createLogWriter } from './log-writer.js';
import { createMemberHandlers } from './member-handlers.js';
import { createMetricsServer } from './metrics-server.js';
import { createPhasePlanner } from './phase-planner.js';
import { createPresence } from './presence.js';
import { createRecentGateways } from './recent-gateways.js';
import { createReadinessServer } from './readiness-server.js';
import { createRetryBudgets } from './retry-budgets.js';
import { createSchedulingClient } from './scheduling-client.js';
import { createSchedulingService } from './scheduling-service.js';
import type { GatewaySettings } from './settings.js';
import { createTargetAvailability } from './target-availability.js';
import { createTargetHealth } from './target-health.js';
import { createTargetLimits } from './target-limits.js';
import { createTargetProbes } from './target-probes.js';
import { logTargetTransitions } from './target-transitions.js';
import { withholdControlCalls } from './withheld-control-calls.js';
import { createTargetActivity } from './target-activity.js';
import { NO_USAGE_DUTY, createUsageDuty } from './usage-duty.js';

const MAX_SEED = 0x7fff_ffff;
const SIGNIFICANT_DIGITS = 2;
/** Capacity of a gateway's time line: a few seconds of its state changes. */
const TIMELINE_EVENTS = 256;
/**
 * A few network delays between failure domains. A target that accepts no connection within this
 * time is considered down.
 */
const CONNECT_TIMEOUT_MS = 300;
/** Connections of one gateway to one target; far more than it ever needs. */
const MAX_CONNECTIONS_PER_TARGET = 48;
/** Shorter than the keep-alive timeout of targets, so that the gateway closes connections first. */
const TARGET_KEEP_ALIVE_MS = 4000;
/** A fixed value because gateways get no secret; only the allowed networks protect them. */
const MEMBER_SECRET = 'gateway';
/** Grace period if the settings specify none. */
const DEFAULT_GRACE_MS = 8000;

/** The first listing of the fleet waits at most this long for the announcement of this gateway. */
const MAX_ANNOUNCE_WAIT_MS = 150;

/** The platform-specific dependencies that an adapter provides. */
export interface GatewayPlatform {
  readonly fleet: FleetPort;
  readonly control: EngineControlPort;
  /** Null if the platform asks for no duties. */
  readonly duties: DutyPort | null;
  readonly wire: CallerWire;
  /** Writes the log lines. */
  readonly writeLog: WriteText;
}

/** A running gateway. */
export interface RunningGateway {
  /** Shuts down gracefully; resolves when all is stopped or the grace period is over. */
  readonly stop: (reason: StopReason) => Promise<void>;
  /** Closes without draining, as if the process were killed; for tests and failures. */
  readonly close: () => Promise<void>;
  /** Applies settings that were read again, or logs the reason why they could not be read. */
  readonly reload: (settings: Result<GatewaySettings, string>) => void;
}

/**
 * Starts a gateway. `onFailure` is called when a component keeps failing. `onWithdrawReady`
 * receives a function that withdraws the announcement of this gateway, for a stop during the start.
 */
export async function startGateway(
  settings: GatewaySettings,
  platform: GatewayPlatform,
  onFailure: (failure: Failure) => void,
  onWithdrawReady: (takeBack: WithdrawAnnouncements) => void = () => undefined,
): Promise<RunningGateway> {
  const { monotonicMs, wallMs } = SYSTEM_CLOCKS;
  const selfId = formatAddress(settings.members);
  const writer = createLogWriter(LOG_LIMITS, platform.writeLog, monotonicMs);
  const log = createGatewayLog(settings.name, writer, wallMs);
  const timeline = createTimeline(selfId, TIMELINE_EVENTS, wallMs);
  const telemetry = createTelemetry(timeline.put, (highestTrackableValue) =>
    build({ highestTrackableValue, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS }),
  );
  const fleet = countStoreCalls(platform.fleet, telemetry.count);
  const random = seededRandom(randomInt(MAX_SEED));
  const logTransition = logTargetTransitions(log, telemetry.count);
  const logCrashChange = logCrashChanges(log, telemetry.count);
  const view = createFleetView(
    (transition, target, revision) => {
      logTransition(transition, target, revision);
      crashes.noteTransition(transition, target);
    },
    (change) => {
      logCrashChange(change);
      crashes.noteChange(change);
      if (change.kind === CrashChangeKind.Quarantined) front.stopQuarantined(change.content);
    },
  );
  const proof = createMemberProof(MEMBER_SECRET);
  const rpc = createRpcClient(proof, timeline.clock);
  let limitsOfClients: ClientLimits = clientLimits(settings.machine, DEFAULT_MAX_BODY_BYTES);
  const guard: ClientGuard = createClientGuard({
    limits: () => limitsOfClients,
    nowMs: monotonicMs,
    onYielded: logYieldingClients(log, telemetry.count, monotonicMs),
  });
  const standstill = createStallWatch(monotonicMs, (forMs) => {
    telemetry.count('standstills_total');
    telemetry.record('standstill_ms', forMs);
    log.warn('event loop stalled', { forMs: Math.round(forMs) });
  });
  const transport = createHttpTransport({
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    maxConnections: MAX_CONNECTIONS_PER_TARGET,
    keepAliveMs: TARGET_KEEP_ALIVE_MS,
    beforeUse: standstill.catchUp,
  });
  const elapsedMs = createElapsedClock(SYSTEM_CLOCKS);
  const clocks = (): ClockReading => ({ monotonicMs: monotonicMs(), elapsedMs: elapsedMs() });
  const gateways = createGatewayCount({
    selfId,
    view,
    share: { windowMs: settings.retryWindow.windowMs, leaseTtlMs: settings.leaseTtlMs },
    clocks,
    log,
  });
  const limits = createTargetLimits({
    selfId,
    view,
    gateways,
    rpc,
    schedulerOf: (service) => scheduling.schedulerOf(service),
    elapsedMs,
    random,
    log,
    count: telemetry.count,
    gauge: telemetry.gaugeByTarget,
  });
  const availability = createTargetAvailability({
    view,
    nowMs: monotonicMs,
    elapsedMs,
    random,
    log,
    count: telemetry.count,
    gauge: telemetry.gaugeByTarget,
    onLeaving: (target) => {
      if (target.phase !== null) scheduling.reportLeaving(target);
    },
  });
  const control = withholdControlCalls(platform.control, availability.withholdReason);
  control.onAnswer((target, { call, status, ...announced }) => {
    log.info('engine answered', {
      target: target.id,
      call,
      status,
      ...announcementFields(announced),
    });
    availability.noteAnswer(target, announced);
    limits.noteAnswer(target, announced.limitPerS, { work: null, sentAtMs: elapsedMs() });
  });
  const locality = localityOptions(DEFAULT_HOP_MS, settings.leavePriceMs);
  const schedulers = createSchedulingService({
    view,
    control,
    permits: limits.permits,
    scheduler: { ...SCHEDULER_OPTIONS, locality },
    nowMs: monotonicMs,
    log,
    onGranted: (grant) => {
      versions.noteGranted(grant);
    },
  });
  const presence = createPresence({
    fleet,
    self: {
      id: selfId,
      failureDomain: settings.failureDomain,
      coreShare: settings.coreShare,
    },
    ttlMs: settings.leaseTtlMs,
    random,
    nowMs: monotonicMs,
    log,
    beginAnnouncement: gateways.beginAnnouncement,
    beginRenewal: gateways.beginRenewal,
    isMissing: gateways.isMissing,
    era: () => eraOf(view.revision),
  });
  const scheduling = createSchedulingClient({
    selfId,
    view,
    rpc,
    local: schedulers,
    nowMs: monotonicMs,
    log,
    count: telemetry.count,
    isReachable,
    isConfirmed: () => presence.isConfirmed(),
  });
  const pulse = createTargetActivity(monotonicMs);
  const recent = createRecentGateways(view, selfId, monotonicMs);
  const crashes = createCrashReports({
    selfId,
    fleet,
    view,
    rpc,
    recent,
    random,
    pulse,
    isReachable,
    isLeaving: availability.isLeaving,
    nowMs: monotonicMs,
    log,
    count: telemetry.count,
  });
  const versions: StreamVersions = createStreamVersions({
    selfId,
    view,
    rpc,
    recent,
    schedulerOf: scheduling.schedulerOf,
    fleet,
    readChanges: () => follower.readChanges(),
    isFirstStart: () => firstStart.isFirst(),
    unavailable: availability.unavailable,
    firstSequence: wallMs(),
    random,
    nowMs: monotonicMs,
    sleep,
    log,
    count: telemetry.count,
  });
  const usage =
    settings.usage === null || platform.duties === null
      ? NO_USAGE_DUTY
      : createUsageDuty({
          selfId,
          name: settings.name,
          source: `${selfId}/${String(randomInt(MAX_SEED))}`,
          settings: settings.usage,
          maxUpdateDelayMs: settings.maxUpdateDelayMs,
          duties: platform.duties,
          store: fleet,
          view,
          rpc,
          recent,
          isCandidate: () => usageCandidates([...view.gateways.values()]).includes(selfId),
          gatewayCount: () => view.gateways.size,
          random,
          elapsedMs,
          nowMs: monotonicMs,
          wallMs,
          sleep,
          log,
          count: telemetry.count,
        });
  const headerWatch = createHeaderWatch(log);
  const onViewChanged = (): void => {
    recent.note();
    versions.refresh();
    schedulers.refresh();
    const longestBodyBytes = view.table?.configuration.limits.maxBodyBytes;
    if (longestBodyBytes !== undefined) {
      limitsOfClients = clientLimits(settings.machine, longestBodyBytes);
    }
    front.applyLimits();
    front.stopRevoked();
  };
  const firstStart = createFirstStart({
    store: fleet,
    gateways,
    readRevision: () => view.revision,
    // The version record is complete then, and no change of the view may follow soon.
    onFirst: () => {
      versions.refresh();
    },
    random,
    log,
  });
  const follower = createFleetFollower({
    fleet,
    view,
    pace: pollIntervalOptions(settings.maxUpdateDelayMs, settings.contactMs),
    random,
    nowMs: monotonicMs,
    sleep: (delayMs, signal) => sleep(delayMs, null, { signal }),
    log,
    count: telemetry.count,
    beforeFirstListing: () => Promise.race([presence.firstAttempt, sleep(MAX_ANNOUNCE_WAIT_MS)]),
    beginRead: gateways.beginRead,
    onGateway: gateways.noteAnnounced,
    onRestored: () => {
      versions.noteRestored();
      usage.noteRestored();
      void firstStart.noteRestored();
    },
    onChanged: onViewChanged,
  });
  const configurations = createConfigurationRelay({
    view,
    rpc,
    recent,
    random,
    nowMs: monotonicMs,
    log,
    count: telemetry.count,
    onChanged: onViewChanged,
  });
  const callers = createCallerIdentity({
    view,
    readChanges: follower.readChanges,
    nowMs: monotonicMs,
    count: telemetry.count,
  });
  const services: ForwardingServices = {
    guard,
    view,
    wire: platform.wire,
    transport,
    budgets: createRetryBudgets({
      limits: settings.retryWindow,
      gateways,
      clocks,
      unreadSinceMs: standstill.unreadSinceMs,
      log,
      count: telemetry.count,
    }),
    health: createTargetHealth(view, settings.failureDomain, random, monotonicMs, {
      // Only where a price is set: a target that announces a rate limit gets less of it this way.
      locality: settings.leavePriceMs === null ? null : locality,
      onLocality: logLocality(log, settings.failureDomain),
    }),
    scheduling,
    crashes,
    versions,
    pulse,
    probes: createTargetProbes(isReachable, monotonicMs),
    onAnswerHead: (target, head, { work, sentAtMs }) => {
      headerWatch.logUnknownHeaders(target, head);
      availability.noteAnswer(target, head);
      if (!head.notRun) crashes.noteAnswer(target, elapsedMs() - sentAtMs);
      limits.noteAnswer(target, head.limitPerS, { work: head.notRun ? null : work, sentAtMs });
    },
    elapsedMs,
    standstill,
    withholdReason: availability.withholdReason,
    availability,
    callers,
    usage,
    limits,
    random,
    hash32,
    nowMs: monotonicMs,
    log,
    count: telemetry.count,
    record: telemetry.record,
    failureDomain: settings.failureDomain,
    selfId,
  };
  const front = createFrontServer(settings.front, services);
  let graceMs = settings.graceMs > 0 ? settings.graceMs : DEFAULT_GRACE_MS;
  let isStarted = false;
  let isLeaving = false;
  let stopped: Promise<void> | null = null;
  const planner = createPhasePlanner({
    selfId,
    view,
    store: fleet,
    control,
    schedulers,
    random,
    elapsedMs,
    nowMs: monotonicMs,
    isLimited: (target) => limits.permits.isBinding(target) || availability.isLeaving(target),
    isScheduler: (service) => !isLeaving && scheduling.schedulerOf(service) === selfId,
    log,
    count: telemetry.count,
  });
  const root = createSupervisor({
    name: 'root',
    children: [
      standstill.child,
      follower.child,
      configurations.child,
      createControlServer({
        address: settings.members,
        allows: allowNetworks(settings.memberNetworks),
        proof,
        guard,
        clock: timeline.clock,
        handlers: createMemberHandlers(
          schedulers,
          scheduling,
          limits,
          crashes,
          versions,
          configurations,
          usage,
        ),
        streams: {},
        metricsText: telemetry.metricsText,
      }),
      createMetricsServer(settings.metrics, guard, () => {
        const { heldBytes, connections } = guard.use();
        telemetry.gauge('client_held_bytes', heldBytes);
        telemetry.gauge('client_connections', connections);
        telemetry.gauge('log_lines_dropped', writer.dropped());
        telemetry.gauge('open_requests', front.open());
        telemetry.gaugeByTarget('leaving_share', services.health.leavingShares());
        limits.measure();
        availability.measure();
        return telemetry.metricsText();
      }),
      presence.child,
      firstStart.child,
      limits.child,
      ...crashes.children,
      availability.child,
      ...(usage.child === null ? [] : [usage.child]),
      planner,
      createReadinessServer(
        settings.readiness,
        guard,
        platform.wire.readinessPath,
        () => isStarted && !isLeaving && view.table !== null && view.targets.size > 0,
      ),
      // Last, so that no request is accepted while another server of the process can't listen yet.
      front.child,
    ],
    limit: DEFAULT_RESTART_LIMIT,
    log: createLog('warn', settings.name, writer.write),
    nowMs: monotonicMs,
    sleep: async (delayMs) => {
      await sleep(delayMs);
    },
  });
  onWithdrawReady(presence.withdraw);
  await root.start(onFailure);
  isStarted = true;
  log.lifecycle('gateway started', { selfId, failureDomain: settings.failureDomain });

  async function close(): Promise<void> {
    await Promise.all([scheduling.flushReports(), usage.tellLast(), versions.stop()]);
    schedulers.stop();
    crashes.stop();
    await root.stop();
    await Promise.all([rpc.close(), transport.close(), fleet.close(), usage.close()]);
  }

  return {
    stop: (reason) => {
      stopped ??= stopGracefully(
        {
          front,
          graceMs,
          nowMs: monotonicMs,
          earliestSignalAtMs: standstill.unreadSinceMs(),
          log,
          announceLeaving: () => {
            isLeaving = true;
            limits.leave();
            void presence.withdraw();
            // It no longer sees the demand for engines, so it must not change their phases.
            void planner.stop();
            void usage.child?.stop();
          },
          stopChildren: close,
          writeLog: writer.flush,
        },
        reason,
      );
      return stopped;
    },
    close: async () => {
      await close();
      await writer.flush();
    },
    reload: (read) => {
      read.match(
        (next) => {
          // Settings without a grace period leave the current one unchanged.
          if (next.graceMs > 0) graceMs = next.graceMs;
          log.lifecycle('settings reloaded', { name: next.name, graceMs });
        },
        (cause) => {
          log.warn('settings not read', { cause });
        },
      );
    },
  };
}
