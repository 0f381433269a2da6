/**
 * What members say to each other about who is alive. Every message is one JSON-RPC notification in
 * one datagram; news travels on the back of probes and their answers, so that the cost of a member
 * does not grow with the fleet. The encoded form is positional, because a field's name would cost
 * more than its value.
 */
import type { MemberKind, MemberState } from '../model/member.js';

/** JSON-RPC methods of membership datagrams. */
export enum MembershipMethod {
  Ping = 'member.ping',
  Ack = 'member.ack',
  /** Asks the receiver to ping a third member on the sender's behalf. */
  Probe = 'member.probe',
  /** The receiver of a probe request lives, but had no answer from the third member in time. */
  Nack = 'member.nack',
  /** News alone, sent only while there is some. */
  Gossip = 'member.gossip',
}

/** What a member is; sent only with the news of its start, since it never changes afterwards. */
export interface MemberDetails {
  readonly kind: MemberKind;
  readonly failureDomain: string;
  /** Empty for an entry. */
  readonly target: string;
}

/** One piece of news about one member. */
export interface MemberNews {
  readonly id: string;
  readonly state: MemberState;
  readonly incarnation: number;
  readonly details: MemberDetails | null;
}

/**
 * Small numbers of other subsystems that ride along; membership passes them on uninterpreted. The
 * configuration uses them as `[version, age of its freshness in ms]`.
 */
export type Hints = readonly number[];

/** A message between two members; who sent it is known from the datagram's source address. */
export type MembershipMessage =
  | {
      readonly method: MembershipMethod.Ping | MembershipMethod.Ack;
      readonly sequence: number;
      readonly hints: Hints;
      readonly news: readonly MemberNews[];
    }
  | {
      readonly method: MembershipMethod.Probe;
      readonly sequence: number;
      readonly target: string;
    }
  | { readonly method: MembershipMethod.Nack; readonly sequence: number }
  | {
      readonly method: MembershipMethod.Gossip;
      readonly hints: Hints;
      readonly news: readonly MemberNews[];
    };

/** News in its encoded form: `[id, state, incarnation, kind, failure domain, target]`. */
export type EncodedNews = readonly unknown[];

/** Asks a peer, by RPC `member.sync`, for the members whose digests differ from the asker's. */
export interface SyncRequest {
  /** One digest per bucket of member ids. */
  readonly digests: readonly number[];
  /** First bucket that is still to be compared. */
  readonly fromBucket: number;
  /** The asker itself, since it may be a stranger to everybody it knows. */
  readonly self: EncodedNews;
}

/** One page of the peer's view. */
export interface SyncAnswer {
  readonly members: readonly EncodedNews[];
  /** Where to go on, or null when all buckets were compared. */
  readonly nextBucket: number | null;
}
