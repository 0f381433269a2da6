/**
 * The state of membership and its creation. One record of about 300 bytes a member; nothing here
 * grows with time, and every collection has a bound that follows from `maxMembers`.
 */
import type { Address } from '../model/configuration.js';
import type { Member } from '../model/member.js';
import { MemberState } from '../model/member.js';
import type { MemberDetails } from './messages.js';
import type { NewsQueue } from './news-queue.js';
import { createNewsQueue, enqueueNews } from './news-queue.js';
import type { MembershipGuards, MembershipOptions } from './options.js';
import { DIGEST_BUCKETS, toggleInDigest } from './digest.js';
import type { MembershipContext } from './effects.js';

/** What is held about one member. */
export interface MemberRecord {
  member: Member;
  changedAtMs: number;
  /** When a suspect is declared dead; 0 for others. */
  suspectDeadlineMs: number;
  /** When a suspect is asked itself for the next time; see `lastCalls`. */
  lastCallAtMs: number;
  /**
   * Set while this member alone suspects it, having heard nobody or with its failure domain: told to
   * no one, and taken back to this state.
   */
  stateBeforeSilence: MemberState | null;
}

/** The probe under way. */
export interface PendingProbe {
  readonly target: string;
  readonly sequence: number;
  readonly startedAtMs: number;
  /** When other members are asked, or null after that. */
  indirectAtMs: number | null;
  endsAtMs: number;
  /** Helpers that answered at all: shows that this member is connected. */
  nacks: number;
}

/** A probe on behalf of another member. */
export interface RelayedProbe {
  readonly requester: string;
  readonly requesterSequence: number;
  readonly endsAtMs: number;
}

/** The comparison of views under way. */
export interface PendingSync {
  readonly peer: string;
  askedAtMs: number;
  /** When the next page is asked for; null while one is under way. */
  nextPageAtMs: number | null;
  nextBucket: number;
}

/** Everything membership knows. */
export interface MembershipState {
  readonly options: MembershipOptions;
  self: Member;
  readonly records: Map<string, MemberRecord>;
  readonly suspects: Set<string>;
  /** Suspects that are kept to oneself; see `stateBeforeSilence`. */
  readonly silent: Set<string>;
  /** Members doubted with their failure domain, and until when; see `doubting.ts`. */
  readonly doubted: Map<string, number>;
  /** Members that were heard while their failure domain died, and until when that counts. */
  readonly trusted: Map<string, number>;
  doubtAtMs: number;
  readonly dead: Set<string>;
  /** Order in which members are probed; shuffled anew after each round. */
  readonly probeOrder: string[];
  probeIndex: number;
  sequence: number;
  probe: PendingProbe | null;
  readonly relayed: Map<number, RelayedProbe>;
  sync: PendingSync | null;
  /** A member that was believed dead and was heard: its view is asked for first. */
  returnedPeer: string | null;
  /** Until then dead members are probed every probe interval, since a partition is healing. */
  healingUntilMs: number;
  readonly news: NewsQueue;
  readonly digests: Uint32Array;
  readonly timers: {
    probeAtMs: number;
    gossipAtMs: number;
    syncAtMs: number;
    deadProbeAtMs: number;
  };
  /** The wake-up that was asked for; a later one shows that this process stood still. */
  wakeAtMs: number;
  /** When an own probe was last answered, by its target or by a helper. */
  lastContactMs: number;
  /** Since when such answers have come without a long gap. */
  contactSinceMs: number;
  /** No suspect is asked itself before this; keeps a failure domain's death from costing more. */
  nextLastCallMs: number;
  /** Share of recent probes that were answered, 0 to 1; see `answeredRatio`. */
  answeredRatio: number;
  /** Grows with failed probes, shrinks with answered ones; stretches this member's timeouts. */
  healthPenalty: number;
  gossipBytes: number;
  gossipRefilledAtMs: number;
  syncPages: number;
  syncRefilledAtMs: number;
  readonly seeds: readonly string[];
}

/** Who this process is. */
export interface SelfDescription extends MemberDetails {
  /** Control address as `host:port`. */
  readonly id: string;
  /** Drawn anew at each start, e.g. wall-clock seconds; corrected when others remember a higher. */
  readonly incarnation: number;
}

/** The default guards: all in place. */
export const MEMBERSHIP_GUARDS: MembershipGuards = {
  supersedes: (held, news) => {
    if (news.incarnation !== held.incarnation) return news.incarnation > held.incarnation;
    return stateRank(news.state) > stateRank(held.state);
  },
  pauseThresholdMs: 500,
  silenceIsOwnFault: true,
  refutes: true,
  probesDead: true,
};

/** The default settings; see docs/design/membership.md for the arithmetic. */
export const MEMBERSHIP_OPTIONS: MembershipOptions = {
  probeIntervalMs: 1_000,
  probeTimeoutMs: 300,
  indirectProbes: 3,
  suspicionTimeoutMs: 4_000,
  retransmitFactor: 3,
  gossipIntervalMs: 200,
  gossipFanout: 2,
  gossipBytesPerS: 1_500,
  newsBytesPerMessage: 600,
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
 * At one incarnation a member is either alive or leaving, then suspect, then dead: only the member
 * itself moves to a higher incarnation, so news of one incarnation has a single order.
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

/** Splits `host:port`; the port is what follows the last colon. */
export function parseMemberId(id: string): Address {
  const colon = id.lastIndexOf(':');
  return { host: id.slice(0, colon), port: Number(id.slice(colon + 1)) };
}

/** The details of a member that are sent with the news of its start. */
export function detailsOf(member: Member): MemberDetails {
  const { kind, failureDomain, target } = member;
  return { kind, failureDomain, target };
}

/**
 * A member that knows itself and its seed peers. Its first probe comes at a random moment of the
 * interval, so that processes started together do not act together.
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
  const news = createNewsQueue();
  enqueueNews(news, {
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
    doubted: new Map(),
    trusted: new Map(),
    doubtAtMs: nowMs,
    dead: new Set(),
    probeOrder: [],
    probeIndex: 0,
    sequence: 0,
    probe: null,
    relayed: new Map(),
    sync: null,
    returnedPeer: null,
    healingUntilMs: 0,
    news,
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
    nextLastCallMs: nowMs,
    answeredRatio: 1,
    healthPenalty: 0,
    gossipBytes: options.gossipBytesPerS,
    gossipRefilledAtMs: nowMs,
    syncPages: options.syncPagesPerS,
    syncRefilledAtMs: nowMs,
    seeds: seeds.filter((seed) => seed !== self.id),
  };
}
