/**
 * Options of the membership protocol, with the reasons for their defaults at the target size of
 * 1,140 members, and its guards, which a fuzzer can disable one by one.
 */
import type { MemberState } from '../model/member.js';

/** Returns whether an update is newer than the current state of the member. */
export type Supersedes = (
  current: { readonly state: MemberState; readonly incarnation: number },
  update: { readonly state: MemberState; readonly incarnation: number },
) => boolean;

/** Guards of the membership protocol. Each prevents one known failure. */
export interface MembershipGuards {
  /** Orders updates, so that a late or duplicated datagram cannot restore an old state. */
  readonly supersedes: Supersedes;
  /** Wake-up delay above which this process assumes that it was paused itself. */
  readonly pauseThresholdMs: number;
  /**
   * Whether a probe that neither its target nor a helper answered leads only to a local suspicion,
   * because this member itself may be cut off.
   */
  readonly suspectsLocallyWhenIsolated: boolean;
  /** Whether a process refutes updates that report it as suspect or dead. */
  readonly refutes: boolean;
  /** Whether dead members are still probed, so that the sides of a healed partition reconnect. */
  readonly probesDead: boolean;
}

/** Options of the membership protocol. */
export interface MembershipOptions {
  /** Each member sends one probe per interval, so its cost does not grow with the fleet. */
  readonly probeIntervalMs: number;
  /**
   * How long to wait for the direct answer before sending indirect probes; many times the round
   * trip between regions.
   */
  readonly probeTimeoutMs: number;
  /** Number of peers asked for an indirect probe, which covers loss on a single path. */
  readonly indirectProbes: number;
  /**
   * Time that a suspect has to refute the suspicion; longer than common pauses and a few lost
   * datagrams.
   */
  readonly suspicionTimeoutMs: number;
  /**
   * Each member sends an update `retransmitFactor * ceil(ln(members + 1))` times. At a factor of 3
   * and with a tenth of all datagrams lost, fewer than about one member in 10,000 misses an update.
   */
  readonly retransmitFactor: number;
  /** Interval of gossip messages, which are sent in addition to probes while updates are queued. */
  readonly gossipIntervalMs: number;
  readonly gossipFanout: number;
  /** Byte rate of gossip messages; keeps to the bandwidth budget when a failure domain fails. */
  readonly gossipBytesPerS: number;
  /**
   * Bytes of updates in one message, well below the 1,200 bytes up to which no network path
   * fragments a datagram.
   */
  readonly updateBytesPerMessage: number;
  /** Interval of the anti-entropy sync with a random peer, which repairs what gossip missed. */
  readonly syncIntervalMs: number;
  /** Delay between two pages of a sync; spreads the cost of the full view when a member joins. */
  readonly syncPageIntervalMs: number;
  readonly syncPageMembers: number;
  /** Pages that this member serves per second to all requesters together. */
  readonly syncPagesPerS: number;
  /** How long dead members are retained; longer than a partition between regions lasts. */
  readonly deadRetentionMs: number;
  /** Interval at which one of the retained dead members is probed. */
  readonly deadProbeIntervalMs: number;
  /** Maximum number of members in the table, dead ones included. */
  readonly maxMembers: number;
  readonly guards: MembershipGuards;
}
