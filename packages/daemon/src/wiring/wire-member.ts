/**
 * Wires the parts that every member has, entry or sidecar: datagrams, membership, configuration,
 * record placement, claims, the poison ledger and telemetry, with the handlers for the calls that
 * members make to each other for these.
 */
import {
  type ClaimRequest,
  DEFAULT_HOLDER_OPTIONS,
  EventKind,
  type Failure,
  FailureError,
  type FetchRequest,
  type Member,
  type MemberConfiguration,
  type ProcessMetrics,
  type ProcessTimeline,
  type TimelineQuery,
  type MemberKind,
  MemberState,
  answeredRatio,
  mayBeAlive,
  type SyncRequest,
  type UnstampedEvent,
  randomBelow,
} from '@cassiamast/coordination';
import type { Result } from 'neverthrow';
import { type SubmitClaim, createClaimAggregator } from '../node/claim-aggregator-driver.js';
import {
  type ConfigurationDriver,
  createConfigurationDriver,
} from '../node/configuration-driver.js';
import type { RpcHandler } from '../node/control-server.js';
import { createDatagrams, type Datagrams } from '../node/datagrams.js';
import { type HolderDriver, createHolderDriver } from '../node/holder-driver.js';
import { createMembershipDriver, type MembershipDriver } from '../node/membership-driver.js';
import { type PlacementDriver, createPlacementDriver } from '../node/placement-driver.js';
import { type LoneRunReply, type PoisonDriver, createPoisonDriver } from '../node/poison-driver.js';
import { createPeriodic } from '../node/timers.js';
import { RpcMethod } from '../protocol/methods.js';
import type { Settings } from '../settings/settings.js';
import type { Child } from '../supervisor/supervisor.js';
import type { ProcessContext } from './process-context.js';

const MS_PER_S = 1_000;
const US_PER_MS = 1_000;
const GAUGES_INTERVAL_MS = 1_000;
/** Key under which placement picks the members that watch the configuration. */
const CONFIGURATION_WATCH = 'configuration';

/** Parts of a member on which both entries and sidecars build. */
export interface MemberParts {
  readonly children: readonly Child[];
  readonly handlers: Readonly<Record<string, RpcHandler>>;
  readonly membership: MembershipDriver;
  readonly configuration: ConfigurationDriver;
  readonly datagrams: Datagrams;
  readonly placement: PlacementDriver;
  readonly holder: HolderDriver;
  readonly takeClaim: SubmitClaim;
  readonly poison: PoisonDriver;
  /** Whether the member is known and not dead. */
  readonly isLive: (memberId: string) => boolean;
  /** Like `isLive`, but also true while this process started too recently to know the member. */
  readonly mayBeAlive: (memberId: string) => boolean;
  readonly configurationSinceWallMs: () => number;
}

/** Properties of a kind of daemon, and the callbacks that notify it of changes. */
export interface MemberHooks {
  readonly kind: MemberKind;
  readonly target: string;
  readonly onConfigurationApplied: (configuration: MemberConfiguration) => void;
  readonly onMemberChanged: (changed: Member) => void;
  readonly onLoneRunReply: (reply: LoneRunReply) => void;
  readonly onSuspicion: (bodyHash: string, isSuspect: boolean) => void;
  /** Receives the datagrams that no part of the member handles itself. */
  readonly onDatagram: (from: string, method: string, params: unknown) => void;
}

/** Creates the parts; nothing runs before the children are started. */
export function wireMember(
  context: ProcessContext,
  settings: Settings,
  hooks: MemberHooks,
): MemberParts {
  const { clocks, random, hashing, rpc, telemetry } = context;
  let answerRetentionMs = DEFAULT_HOLDER_OPTIONS.answerRetentionMs;
  let appliedSinceWallMs = 0;

  const datagrams = createDatagrams(settings.control, context.proof, (from, method, params) => {
    if (method === (RpcMethod.ConfigAnnounce as string))
      configuration.receiveAnnouncement(from, params);
    else if (method.startsWith(MEMBERSHIP_PREFIX)) membership.receive(from, method, params);
    else if (method === (RpcMethod.SuspicionNote as string)) poison.receiveSuspicion(params);
    else hooks.onDatagram(from, method, params);
  });

  const membership: MembershipDriver = createMembershipDriver({
    self: {
      id: context.memberId,
      incarnation: Math.floor(clocks.wallMs() / MS_PER_S),
      kind: hooks.kind,
      failureDomain: settings.failureDomain,
      target: hooks.target,
    },
    peers: context.seeds,
    nowMs: clocks.monotonicMs,
    random,
    hashing,
    datagrams: () => datagrams,
    rpc,
    telemetry,
    hints: () => configuration.hints(),
    onHints: (from, hints, askedAtMs) => {
      configuration.receiveHints(from, hints, askedAtMs);
    },
    onMembers: (changed) => {
      placement.membersChanged();
      holder.placementChanged();
      hooks.onMemberChanged(changed);
    },
  });

  const placement = createPlacementDriver(membership.present, hashing.hash32);
  const isLive = (memberId: string): boolean => {
    const state = membership.find(memberId)?.state;
    return state !== undefined && state !== MemberState.Dead;
  };
  const startedAtMs = clocks.monotonicMs();
  const memberMayBeAlive = (memberId: string): boolean =>
    mayBeAlive(membership.state, memberId, clocks.monotonicMs() - startedAtMs);

  const holder = createHolderDriver({
    selfId: context.memberId,
    nowMs: clocks.monotonicMs,
    rpc,
    telemetry,
    holdersOf: placement.holdersOf,
    placed: placement.placed,
    answerRetentionMs: () => answerRetentionMs,
  });

  const takeClaim = createClaimAggregator({
    nowMs: clocks.monotonicMs,
    random,
    keyValue: context.keyValue,
    telemetry,
  });

  const poison = createPoisonDriver({
    nowMs: clocks.monotonicMs,
    random,
    keyValue: context.keyValue,
    rpc,
    telemetry,
    present: membership.present,
    mayBeAlive: memberMayBeAlive,
    sendDatagram: datagrams.send,
    onLoneRunReply: hooks.onLoneRunReply,
    onSuspicion: hooks.onSuspicion,
  });

  const configuration: ConfigurationDriver = createConfigurationDriver({
    selfId: context.memberId,
    nowMs: clocks.monotonicMs,
    random,
    hashing,
    keyValue: context.keyValue,
    rpc,
    telemetry,
    sendDatagram: datagrams.send,
    isWatcher: () =>
      placement.watcherOf(CONFIGURATION_WATCH, settings.failureDomain) === context.memberId,
    pickPeer: () => pickPeer(membership, random),
    sees: (memberId) => isReachable(membership.find(memberId)),
    answeredRatio: () => answeredRatio(membership.state),
    onInForce: (inForce) => {
      answerRetentionMs = inForce.compiled.limits.answerRetentionMs;
      appliedSinceWallMs = clocks.wallMs();
      context.log.info(`applied configuration ${String(inForce.version)}`);
      hooks.onConfigurationApplied(inForce);
    },
  });

  let gaugesDueAtMs = Infinity;
  let timerLateMaxMs = 0;

  /** Records how late timers fire. A process that gets too little CPU time misses its timeouts. */
  function recordTimerDelay(): void {
    const nowMs = clocks.monotonicMs();
    const lateMs = Math.max(0, nowMs - gaugesDueAtMs);
    gaugesDueAtMs = nowMs + GAUGES_INTERVAL_MS;
    timerLateMaxMs = Math.max(timerLateMaxMs, lateMs);
    telemetry.gauge('timer_late_ms', lateMs);
    telemetry.gauge('timer_late_max_ms', timerLateMaxMs);
  }

  /**
   * Records the resource usage of the process, for operators and the figures in docs/CAPACITY.md.
   */
  function recordGauges(): void {
    recordTimerDelay();
    const tcp = context.traffic.read();
    const { user, system } = process.cpuUsage();
    telemetry.gauge('tcp_received_bytes', tcp.receivedBytes);
    telemetry.gauge('tcp_sent_bytes', tcp.sentBytes);
    telemetry.gauge('datagrams_received_bytes', datagrams.counts.receivedBytes);
    telemetry.gauge('datagrams_sent_bytes', datagrams.counts.sentBytes);
    telemetry.gauge('processor_ms', (user + system) / US_PER_MS);
    telemetry.gauge('resident_bytes', process.memoryUsage.rss());
    telemetry.gauge('configuration_version', configuration.state.inForce?.version ?? 0);
    telemetry.gauge('members_present', membership.present().length);
  }

  return {
    children: [
      datagrams.child,
      membership.child,
      configuration.child,
      holder.child,
      poison.child,
      createPeriodic('process-gauges', () => GAUGES_INTERVAL_MS, recordGauges),
    ],
    handlers: {
      ...holder.handlers,
      [RpcMethod.TimelineRead]: (params): ProcessTimeline => ({
        memberId: context.memberId,
        kind: hooks.kind,
        failureDomain: settings.failureDomain,
        target: hooks.target,
        ...context.timeline.read(params as TimelineQuery),
      }),
      [RpcMethod.MetricsRead]: async (): Promise<ProcessMetrics> => ({
        memberId: context.memberId,
        prometheusText: await telemetry.metricsText(),
      }),
      [RpcMethod.SuspicionRead]: poison.answerRead,
      [RpcMethod.ClaimTake]: (params) => takeClaim(params as ClaimRequest),
      [RpcMethod.MemberSync]: (params) => orThrow(membership.answerSync(params as SyncRequest)),
      [RpcMethod.ConfigFetch]: (params) =>
        orThrow(configuration.serveFetch(params as FetchRequest)),
    },
    membership,
    configuration,
    datagrams,
    placement,
    holder,
    takeClaim,
    poison,
    isLive,
    mayBeAlive: memberMayBeAlive,
    configurationSinceWallMs: () => appliedSinceWallMs,
  };
}

/** Prefix of the method names of membership datagrams. */
const MEMBERSHIP_PREFIX = 'member.';

/**
 * Returns the value of a result.
 * @throws FailureError with the failure of the result; the transport answers the call with it.
 */
export function orThrow<Value>(result: Result<Value, Failure>): Value {
  if (result.isErr()) throw new FailureError(result.error);
  return result.value;
}

/** Creates the time line event that marks the start of a process. */
export function startedEvent(
  kind: MemberKind,
  failureDomain: string,
  target: string,
): UnstampedEvent {
  return {
    kind: EventKind.ProcessStarted,
    target,
    figures: { kind, failureDomain },
  };
}

function isReachable(member: Member | undefined): boolean {
  return member?.state === MemberState.Alive || member?.state === MemberState.Leaving;
}

function pickPeer(membership: MembershipDriver, random: () => number): string | null {
  const peers = membership
    .present()
    .filter((member) => member.id !== membership.state.self.id && isReachable(member));
  return peers[randomBelow(random, peers.length)]?.id ?? null;
}
