/**
 * Messages of the membership protocol. Every message is one JSON-RPC notification in one datagram.
 * Updates are piggybacked on probes and their answers, so the cost per member does not grow with
 * the fleet. The encoding is positional, because field names would take more bytes than their
 * values.
 */
import type { MemberKind, MemberState } from '../model/member.js';

/** JSON-RPC methods of membership datagrams. */
export enum MembershipMethod {
  Ping = 'member.ping',
  Ack = 'member.ack',
  /** Asks the receiver to ping a third member on the sender's behalf. */
  Probe = 'member.probe',
  /** Reports that the sender is alive but got no answer from the third member in time. */
  Nack = 'member.nack',
  /** Carries updates only; sent while updates are queued. */
  Gossip = 'member.gossip',
}

/** Properties of a member. They never change, so only the update about its start carries them. */
export interface MemberDetails {
  readonly kind: MemberKind;
  readonly failureDomain: string;
  /** Empty for an entry. */
  readonly target: string;
}

/** State of one member at one incarnation. The details are null when they are not sent along. */
export interface MemberUpdate {
  readonly id: string;
  readonly state: MemberState;
  readonly incarnation: number;
  readonly details: MemberDetails | null;
}

/**
 * Small numbers that other subsystems attach to messages; membership does not interpret them. The
 * configuration sends `[version, time in ms since it was known to be current]`.
 */
export type Hints = readonly number[];

/** A message between two members. The source address of the datagram identifies the sender. */
export type MembershipMessage =
  | {
      readonly method: MembershipMethod.Ping | MembershipMethod.Ack;
      readonly sequence: number;
      readonly hints: Hints;
      readonly news: readonly MemberUpdate[];
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
      readonly news: readonly MemberUpdate[];
    };

/** Encoded update: `[id, state, incarnation, kind, failure domain, target]`. */
export type EncodedUpdate = readonly unknown[];

/** Request of the RPC `member.sync`: asks a peer for members in buckets whose digests differ. */
export interface SyncRequest {
  /** One digest per bucket of member ids. */
  readonly digests: readonly number[];
  /** First bucket to compare. */
  readonly fromBucket: number;
  /** Entry of the requester, which the peer may not know yet. */
  readonly self: EncodedUpdate;
}

/** Response of the RPC `member.sync`: one page of the peer's view. */
export interface SyncAnswer {
  readonly members: readonly EncodedUpdate[];
  /** Bucket at which the next page starts; null when all buckets were compared. */
  readonly nextBucket: number | null;
}
