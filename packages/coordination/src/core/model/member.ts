/**
 * The processes of the system as members see each other.
 */
import type { Address } from './configuration.js';

/** The two kinds of daemon. */
export enum MemberKind {
  Entry = 'entry',
  Sidecar = 'sidecar',
}

/** What the membership believes of a member. */
export enum MemberState {
  Alive = 'alive',
  /** Missed probes; treated as alive for records, avoided for new work. */
  Suspect = 'suspect',
  /** Says itself that it is shutting down: no new work. */
  Leaving = 'leaving',
  Dead = 'dead',
}

/** One process. */
export interface Member {
  /** The process's address as `host:port`; unique, since it is bound exclusively. */
  readonly id: string;
  readonly kind: MemberKind;
  readonly address: Address;
  readonly failureDomain: string;
  /** The target beside a sidecar; empty for an entry. */
  readonly target: string;
  /** Drawn anew at each start and raised to refute suspicion: the higher number is the newer news. */
  readonly incarnation: number;
  readonly state: MemberState;
}
