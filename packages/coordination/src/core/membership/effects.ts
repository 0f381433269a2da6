/**
 * Effects that the membership protocol returns to its host process, and the context it runs in.
 */
import type { Failure } from '../failures/failure.js';
import type { Hash32 } from '../hashing/hashing.js';
import type { Member, MemberState } from '../model/member.js';
import type { Random } from '../random/random.js';
import type { Hints, MembershipMessage, SyncRequest } from './messages.js';

/** Kinds of membership effects. */
export enum MembershipEffectKind {
  /** Send one datagram. It may be lost. */
  SendDatagram = 'send-datagram',
  /** Call `member.sync`. Pass the answer to `receiveSyncAnswer` and a failure to `syncFailed`. */
  RequestSync = 'request-sync',
  /** The state of a member changed in this process's view. */
  MemberChanged = 'member-changed',
  /** Hints of other subsystems arrived. */
  HintsReceived = 'hints-heard',
  /** An update was rejected; increment the counter. */
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
      readonly kind: MembershipEffectKind.HintsReceived;
      readonly from: string;
      readonly hints: Hints;
      /**
       * Local time at which this member sent the probe that the hints answer, so they are not older
       * than that. Null when they arrived without a request, after an unknown delay.
       */
      readonly askedAtMs: number | null;
    }
  | { readonly kind: MembershipEffectKind.Refused; readonly failure: Failure };

/** Inputs that the host process provides at each step. */
export interface MembershipContext {
  readonly nowMs: number;
  readonly random: Random;
  readonly hash32: Hash32;
  /** Returns the current hints to attach to messages. */
  readonly hints: () => Hints;
}
