/**
 * The settings of membership, each with the reason for its default at the target size of 1,140
 * members, and the guards, which are functions so that a fuzzer can take one away.
 */
import type { MemberState } from '../model/member.js';

/** Whether news of `state` at `incarnation` is newer than what is held. */
export type Supersedes = (
  held: { readonly state: MemberState; readonly incarnation: number },
  news: { readonly state: MemberState; readonly incarnation: number },
) => boolean;

/** Guards of membership; each prevents one failure that the design note names. */
export interface MembershipGuards {
  /** Orders news, so that a late or repeated datagram cannot bring old news back. */
  readonly supersedes: Supersedes;
  /** How late, in ms, a wake-up shows that this process itself stood still. */
  readonly pauseThresholdMs: number;
  /** Whether a probe that nobody at all answered may be held against the probed member. */
  readonly silenceIsOwnFault: boolean;
  /** Whether a process contradicts news of its own death or suspicion. */
  readonly refutes: boolean;
  /** Whether dead members are still probed, so that parted halves find each other. */
  readonly probesDead: boolean;
}

/** Settings of membership. */
export interface MembershipOptions {
  /** One probe per interval and member: the cost that does not grow with the fleet. */
  readonly probeIntervalMs: number;
  /** Wait for the direct answer before others are asked; many times a round trip between regions. */
  readonly probeTimeoutMs: number;
  /** Peers asked to probe on this member's behalf, against loss on one path. */
  readonly indirectProbes: number;
  /** Time a suspect has to contradict; longer than common pauses and a few lost datagrams. */
  readonly suspicionTimeoutMs: number;
  /**
   * Each member sends a piece of news `retransmitFactor * ceil(ln(members + 1))` times: at a factor
   * of 3 a tenth of all datagrams may be lost and hardly one member in 10,000 misses the news.
   */
  readonly retransmitFactor: number;
  /** News is pushed at this interval while there is some, on top of probes. */
  readonly gossipIntervalMs: number;
  readonly gossipFanout: number;
  /** Bytes a second that pushed news may cost; holds the budget when a failure domain dies. */
  readonly gossipBytesPerS: number;
  /** Bytes of news in one message, well under the 1,200 of a datagram that no path splits. */
  readonly newsBytesPerMessage: number;
  /** Views are compared with one random peer per interval; repairs what gossip missed. */
  readonly syncIntervalMs: number;
  /** Between two pages of one comparison: a joining member spreads the cost of the full view. */
  readonly syncPageIntervalMs: number;
  readonly syncPageMembers: number;
  /** Pages that this member serves per second, whoever asks. */
  readonly syncPagesPerS: number;
  /** Dead members are remembered this long: longer than regions lose each other. */
  readonly deadRetentionMs: number;
  /** One remembered dead member is probed per interval. */
  readonly deadProbeIntervalMs: number;
  /** Bound on remembered members, dead ones included. */
  readonly maxMembers: number;
  readonly guards: MembershipGuards;
}
