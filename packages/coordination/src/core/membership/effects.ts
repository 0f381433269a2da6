/**
 * What membership asks its process to do, and the context it decides in.
 */
import type { Failure } from '../failures/failure.js';
import type { Hash32 } from '../hashing/hashing.js';
import type { Member, MemberState } from '../model/member.js';
import type { Random } from '../random/random.js';
import type { Hints, MembershipMessage, SyncRequest } from './messages.js';

/** Kinds of membership effects. */
export enum MembershipEffectKind {
  /** Send one datagram; loss is expected. */
  SendDatagram = 'send-datagram',
  /** Call `member.sync`; feed the answer to `receiveSyncAnswer`, a failure to `syncFailed`. */
  RequestSync = 'request-sync',
  /** The belief about a member changed. */
  MemberChanged = 'member-changed',
  /** Hints of other subsystems arrived. */
  HintsHeard = 'hints-heard',
  /** News was not taken; count it. */
  Refused = 'refused',
}

/** An effect of membership. */
export type MembershipEffect =
  | {
      readonly kind: MembershipEffectKind.SendDatagram;
      readonly to: string;
      readonly message: MembershipMessage;
    }
  | {
      readonly kind: MembershipEffectKind.RequestSync;
      readonly to: string;
      readonly request: SyncRequest;
    }
  | {
      readonly kind: MembershipEffectKind.MemberChanged;
      readonly member: Member;
      /** Null when the member was not known before. */
      readonly previous: MemberState | null;
      readonly reason: string;
    }
  | {
      readonly kind: MembershipEffectKind.HintsHeard;
      readonly from: string;
      readonly hints: Hints;
      /**
       * When this member asked for them, on its own clock: the hints are no older. Null when they
       * came unasked, after an unknown delay.
       */
      readonly askedAtMs: number | null;
    }
  | { readonly kind: MembershipEffectKind.Refused; readonly failure: Failure };

/** What membership needs from its process at each step. */
export interface MembershipContext {
  readonly nowMs: number;
  readonly random: Random;
  readonly hash32: Hash32;
  /** The hints to send along now. */
  readonly hints: () => Hints;
}
