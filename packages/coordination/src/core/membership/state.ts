/**
 * State of the membership protocol, its defaults and its creation. Each member takes one record of
 * about 300 bytes. The state does not grow over time: `maxMembers` bounds every collection.
 */
import type { Address } from '../model/configuration.js';
import type { Member } from '../model/member.js';
import { MemberState } from '../model/member.js';
import type { MemberDetails } from './messages.js';
import type { UpdateQueue } from './update-queue.js';
import { createUpdateQueue, enqueueUpdate } from './update-queue.js';
import type { MembershipGuards, MembershipOptions } from './options.js';
import { DIGEST_BUCKETS, toggleInDigest } from './digest.js';
import type { MembershipContext } from './effects.js';

/** Entry of one other member, with its suspicion timers. */
export interface MemberRecord {
  member: Member;
  changedAtMs: number;
  /** When a suspect is declared dead; 0 for others. */
  suspectDeadlineMs: number;
  /** When a suspect is pinged directly next; see `pingSuspects`. */
  nextPingAtMs: number;
  /**
   * State before a local suspicion, to which the member reverts; null without one. A local
   * suspicion is not gossiped. It is formed when this member may be cut off or the member's failure
   * domain is lost.
   */
  stateBeforeLocalSuspicion: MemberState | null;
}

/** The probe in progress. */
export interface PendingProbe {
  readonly target: string;
  readonly sequence: number;
  readonly startedAtMs: number;
  /** When the indirect probes are sent; null once they were sent. */
  indirectAtMs: number | null;
  endsAtMs: number;
  /** Number of helpers that answered, which shows that this member is connected. */
  nacks: number;
}

/** A probe that this member relays for another member. */
export interface RelayedProbe {
  readonly requester: string;
  readonly requesterSequence: number;
  readonly endsAtMs: number;
}

/** The anti-entropy sync in progress. */
export interface PendingSync {
  readonly peer: string;
  requestedAtMs: number;
  /** When the next page is requested; null while a request is pending. */
  nextPageAtMs: number | null;
  nextBucket: number;
}

/** State of the membership protocol in one process. */
export interface MembershipState {
  readonly options: MembershipOptions;
  self: Member;
  readonly records: Map<string, MemberRecord>;
  readonly suspects: Set<string>;
  /** Members suspected locally while this member may be cut off; see `stateBeforeLocalSuspicion`. */
  readonly silent: Set<string>;
  /** Members suspected locally because their failure domain is lost, and until when. */
  readonly domainSuspects: Map<string, number>;
  /** Members whose domain suspicion ended, and until when they are exempt from another one. */
  readonly domainSuspicionExempt: Map<string, number>;
  nextDomainCheckAtMs: number;
  readonly dead: Set<string>;
  /** Order in which members are probed; shuffled after each round. */
  readonly probeOrder: string[];
  probeIndex: number;
  sequence: number;
  probe: PendingProbe | null;
  readonly relayed: Map<number, RelayedProbe>;
  sync: PendingSync | null;
  /** A member marked as dead that sent a message; the next sync goes to it. */
  returnedPeer: string | null;
  /** Until when dead members are probed at the probe interval, because a partition is healing. */
  healingUntilMs: number;
  readonly updateQueue: UpdateQueue;
  readonly digests: Uint32Array;
  readonly timers: {
    probeAtMs: number;
    gossipAtMs: number;
    syncAtMs: number;
    deadProbeAtMs: number;
  };
  /** The requested wake-up time. A much later wake-up shows that this process was paused. */
  wakeAtMs: number;
  /** When the target or a helper last answered one of this member's probes. */
  lastContactMs: number;
  /** Since when such answers have arrived without a long gap. */
  contactSinceMs: number;
  /**
   * Earliest time of the next direct ping to a suspect; bounds the cost when a failure domain
   * fails.
   */
  suspectPingNotBeforeMs: number;
  /** Share of recent probes that were answered, 0 to 1; see `answeredRatio`. */
  answeredRatio: number;
  /**
   * Increases with failed probes and decreases with answered ones; extends this member's timeouts.
   */
  healthPenalty: number;
  gossipBudgetBytes: number;
  gossipRefilledAtMs: number;
  syncPageTokens: number;
  syncRefilledAtMs: number;
  readonly seeds: readonly string[];
}

/** Identity of this process. */
export interface SelfDescription extends MemberDetails {
  /** Control address as `host:port`. */
  readonly id: string;
  /**
   * Chosen at each start, e.g. wall-clock seconds. It is raised when other members hold a higher
   * one for this id.
   */
  readonly incarnation: number;
}

/** Default guards, all enabled. */
export const MEMBERSHIP_GUARDS: MembershipGuards = {
  supersedes: (current, update) => {
    if (update.incarnation !== current.incarnation) return update.incarnation > current.incarnation;
    return stateRank(update.state) > stateRank(current.state);
  },
  pauseThresholdMs: 500,
  suspectsLocallyWhenIsolated: true,
  refutes: true,
  probesDead: true,
};

/** Default options; see docs/design/membership.md for the arithmetic. */
export const MEMBERSHIP_OPTIONS: MembershipOptions = {
  probeIntervalMs: 1_000,
  probeTimeoutMs: 300,
  indirectProbes: 3,
  suspicionTimeoutMs: 4_000,
  retransmitFactor: 3,
  gossipIntervalMs: 200,
  gossipFanout: 2,
  gossipBytesPerS: 1_500,
  updateBytesPerMessage: 600,
  syncIntervalMs: 30_000,
  syncPageIntervalMs: 500,
  syncPageMembers: 32,
  syncPagesPerS: 2,
  deadRetentionMs: 2 * 60 * 60 * 1_000,
  deadProbeIntervalMs: 10_000,
  maxMembers: 4_096,
  guards: MEMBERSHIP_GUARDS,
};

/**
 * Ranks the states within one incarnation: alive or leaving, then suspect, then dead. Only the
 * member itself moves to a higher incarnation, so the updates of one incarnation are totally
 * ordered.
 */
function stateRank(state: MemberState): number {
  switch (state) {
    case MemberState.Alive:
    case MemberState.Leaving:
      return 0;
    case MemberState.Suspect:
      return 1;
    case MemberState.Dead:
      return 2;
  }
}

/** Parses `host:port`. The port follows the last colon. */
export function parseMemberId(id: string): Address {
  const colon = id.lastIndexOf(':');
  return { host: id.slice(0, colon), port: Number(id.slice(colon + 1)) };
}

/** Returns the details of a member, which the update about its start carries. */
export function detailsOf(member: Member): MemberDetails {
  const { kind, failureDomain, target } = member;
  return { kind, failureDomain, target };
}

/**
 * Creates the state of a member that knows only itself and its seeds. The first probe is sent at a
 * random time within the interval, so that processes that start together do not probe in lockstep.
 */
export function createMembership(
  self: SelfDescription,
  seeds: readonly string[],
  options: MembershipOptions,
  context: Pick<MembershipContext, 'nowMs' | 'random' | 'hash32'>,
): MembershipState {
  const { nowMs } = context;
  const phase = context.random();
  const member: Member = {
    ...self,
    address: parseMemberId(self.id),
    state: MemberState.Alive,
  };
  const digests = new Uint32Array(DIGEST_BUCKETS);
  toggleInDigest(digests, member, context.hash32);
  const news = createUpdateQueue();
  enqueueUpdate(news, {
    id: self.id,
    state: MemberState.Alive,
    incarnation: self.incarnation,
    details: detailsOf(member),
  });
  return {
    options,
    self: member,
    records: new Map(),
    suspects: new Set(),
    silent: new Set(),
    domainSuspects: new Map(),
    domainSuspicionExempt: new Map(),
    nextDomainCheckAtMs: nowMs,
    dead: new Set(),
    probeOrder: [],
    probeIndex: 0,
    sequence: 0,
    probe: null,
    relayed: new Map(),
    sync: null,
    returnedPeer: null,
    healingUntilMs: 0,
    updateQueue: news,
    digests,
    timers: {
      probeAtMs: nowMs + phase * options.probeIntervalMs,
      gossipAtMs: nowMs + phase * options.gossipIntervalMs,
      syncAtMs: nowMs,
      deadProbeAtMs: nowMs + options.deadProbeIntervalMs,
    },
    wakeAtMs: nowMs,
    lastContactMs: nowMs,
    contactSinceMs: nowMs,
    suspectPingNotBeforeMs: nowMs,
    answeredRatio: 1,
    healthPenalty: 0,
    gossipBudgetBytes: options.gossipBytesPerS,
    gossipRefilledAtMs: nowMs,
    syncPageTokens: options.syncPagesPerS,
    syncRefilledAtMs: nowMs,
    seeds: seeds.filter((seed) => seed !== self.id),
  };
}
