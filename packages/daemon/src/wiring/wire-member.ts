/**
 * Wires what every member has: datagrams, membership, the configuration and the telemetry, and the
 * calls that members make on each other for these.
 */
import {
  EventKind,
  type Failure,
  FailureError,
  type FetchRequest,
  type Member,
  type MemberConfiguration,
  type MemberKind,
  MemberState,
  type SyncRequest,
  type UnstampedEvent,
  randomBelow,
} from '@cassiamast/coordination';
import type { Result } from 'neverthrow';
import {
  type ConfigurationDriver,
  createConfigurationDriver,
} from '../node/configuration-driver.js';
import type { RpcHandler } from '../node/control-server.js';
import { createDatagrams, type Datagrams } from '../node/datagrams.js';
import { createMembershipDriver, type MembershipDriver } from '../node/membership-driver.js';
import { RpcMethod } from '../protocol/methods.js';
import type { Settings } from '../settings/settings.js';
import type { Child } from '../supervisor/supervisor.js';
import type { ProcessContext } from './process.js';

const MS_PER_S = 1_000;

/** What the kinds of daemon build on. */
export interface MemberParts {
  readonly children: readonly Child[];
  readonly handlers: Readonly<Partial<Record<RpcMethod, RpcHandler>>>;
  readonly membership: MembershipDriver;
  readonly configuration: ConfigurationDriver;
  readonly datagrams: Datagrams;
}

/** What a kind of daemon hears of. */
export interface MemberHooks {
  readonly kind: MemberKind;
  readonly target: string;
  readonly onInForce: (configuration: MemberConfiguration) => void;
  readonly onMembers: (changed: Member) => void;
  /** Datagrams that are neither membership's nor the configuration's. */
  readonly onDatagram: (from: string, method: string, params: unknown) => void;
}

/** Makes the parts; nothing runs before the children are started. */
export function wireMember(
  context: ProcessContext,
  settings: Settings,
  hooks: MemberHooks,
): MemberParts {
  const { clocks, random, hashing, rpc, telemetry } = context;

  const datagrams = createDatagrams(settings.control, context.proof, (from, method, params) => {
    if (method === (RpcMethod.ConfigAnnounce as string)) configuration.announced(from, params);
    else if (method.startsWith(MEMBERSHIP_PREFIX)) membership.receive(from, method, params);
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
      configuration.hintsHeard(from, hints, askedAtMs);
    },
    onMembers: hooks.onMembers,
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
    isWatcher: () => isWatcher(membership, settings.failureDomain, hashing.hash32),
    pickPeer: () => pickPeer(membership, random),
    sees: (memberId) => isReachable(membership.find(memberId)),
    onInForce: (inForce) => {
      context.log.info(`configuration ${String(inForce.version)} is in force`);
      hooks.onInForce(inForce);
    },
  });

  return {
    children: [datagrams.child, membership.child, configuration.child],
    handlers: {
      [RpcMethod.MemberSync]: (params) => orThrow(membership.answerSync(params as SyncRequest)),
      [RpcMethod.ConfigFetch]: (params) =>
        orThrow(configuration.serveFetch(params as FetchRequest)),
    },
    membership,
    configuration,
    datagrams,
  };
}

/** Names of membership's datagrams begin with this. */
const MEMBERSHIP_PREFIX = 'member.';

/** Hands a result's value on, or throws its failure for the transport to answer with. */
export function orThrow<Value>(result: Result<Value, Failure>): Value {
  if (result.isErr()) throw new FailureError(result.error);
  return result.value;
}

/** The event that marks the start of a process on the time line. */
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

/** Whether this member watches the key-value service for its failure domain. */
function isWatcher(
  membership: MembershipDriver,
  failureDomain: string,
  hash32: (text: string) => number,
): boolean {
  const { self } = membership.state;
  const ownRank = hash32(self.id);
  return membership
    .present()
    .filter((member) => member.failureDomain === failureDomain && isReachable(member))
    .every((member) => hash32(member.id) <= ownRank);
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
